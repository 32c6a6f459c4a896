package rtmodel

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// Pooled is the policy of the gateway. The zero value is ready to use.
type Pooled struct {
	scheduler rtplacement.Scheduler
}

// Decide decides as the gateway does.
func (p *Pooled) Decide(engine *rtcatalog.Engine, work rtplacement.Work, candidates []rtplacement.Candidate,
	gateways int, now time.Time) (rtplacement.Placement, rtplacement.Decision, time.Duration) {
	verdict, ok := p.scheduler.Decide(engine, work, candidates, gateways, now)
	if !ok {
		return rtplacement.Placement{}, rtplacement.Refuse, 0
	}
	return verdict.Placement, verdict.Decision, rtplacement.RetryAfter(verdict.Placement, verdict.LongPool)
}

// LeastInFlight sends each request at once to the engine with the fewest
// requests, first come first served: the baseline.
type LeastInFlight struct{}

// Decide returns the engine with the least in flight.
func (LeastInFlight) Decide(engine *rtcatalog.Engine, work rtplacement.Work, candidates []rtplacement.Candidate,
	_ int, _ time.Time) (rtplacement.Placement, rtplacement.Decision, time.Duration) {
	return least(engine, work, candidates), rtplacement.Send, 0
}

// StaticSplit keeps a fixed part of the engines for tight requests.
type StaticSplit struct {
	Tight float64 // part of the engines, 0 to 1
}

// Decide returns the engine with the least in flight of the part.
func (s StaticSplit) Decide(engine *rtcatalog.Engine, work rtplacement.Work, candidates []rtplacement.Candidate,
	_ int, _ time.Time) (rtplacement.Placement, rtplacement.Decision, time.Duration) {
	border := int(s.Tight * float64(len(candidates)))
	if work.Interactive() {
		candidates = candidates[:border]
	} else {
		candidates = candidates[border:]
	}
	return least(engine, work, candidates), rtplacement.Send, 0
}

// least returns the candidate with the least in flight.
func least(engine *rtcatalog.Engine, work rtplacement.Work, candidates []rtplacement.Candidate) rtplacement.Placement {
	best := slices.MinFunc(candidates, func(a, b rtplacement.Candidate) int {
		return cmp.Or(cmp.Compare(a.Load.Requests, b.Load.Requests), cmp.Compare(a.TieBreak, b.TieBreak))
	})
	return rtplacement.Placement{Target: best.Instance, PartPrefill: rtplacement.PrefillTime(engine, work.Prompt, 1)}
}
