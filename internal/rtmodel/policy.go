package rtmodel

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// GatewayPolicy is the policy of the gateway. The zero value is ready to use.
type GatewayPolicy struct {
	scheduler rtplacement.Scheduler
}

// Decide decides as the gateway does.
func (p *GatewayPolicy) Decide(engine *rtcatalog.Engine, work rtplacement.Work, candidates []rtplacement.Candidate,
	gateways int, now time.Time) (rtplacement.Placement, rtplacement.Decision, time.Duration) {
	result, ok := p.scheduler.Decide(engine, work, candidates, gateways, now)
	if !ok {
		return rtplacement.Placement{}, rtplacement.Refuse, 0
	}
	return result.Placement, result.Decision, rtplacement.RetryAfter(result.Placement, result.LongPool)
}

// LeastInFlight is a baseline: it sends each request at once, first come, first
// served, to the engine with the fewest in-flight requests.
type LeastInFlight struct{}

// Decide returns the engine with the fewest in-flight requests.
func (LeastInFlight) Decide(engine *rtcatalog.Engine, work rtplacement.Work, candidates []rtplacement.Candidate,
	_ int, _ time.Time) (rtplacement.Placement, rtplacement.Decision, time.Duration) {
	return leastInFlight(engine, work, candidates), rtplacement.Send, 0
}

// StaticSplit is a baseline with an interactive pool of fixed size.
type StaticSplit struct {
	InteractiveShare float64 // part of the engines, 0 to 1
}

// Decide returns the engine of the pool with the fewest in-flight requests.
func (s StaticSplit) Decide(engine *rtcatalog.Engine, work rtplacement.Work, candidates []rtplacement.Candidate,
	_ int, _ time.Time) (rtplacement.Placement, rtplacement.Decision, time.Duration) {
	border := int(s.InteractiveShare * float64(len(candidates)))
	if work.Interactive() {
		candidates = candidates[:border]
	} else {
		candidates = candidates[border:]
	}
	return leastInFlight(engine, work, candidates), rtplacement.Send, 0
}

// leastInFlight returns a placement on the candidate with the fewest in-flight
// requests.
func leastInFlight(engine *rtcatalog.Engine, work rtplacement.Work, candidates []rtplacement.Candidate) rtplacement.Placement {
	best := slices.MinFunc(candidates, func(a, b rtplacement.Candidate) int {
		return cmp.Or(cmp.Compare(a.Load.Requests, b.Load.Requests), cmp.Compare(a.TieBreak, b.TieBreak))
	})
	return rtplacement.Placement{Target: best.Instance, PartPrefill: rtplacement.PrefillTime(engine, work.Prompt, 1)}
}
