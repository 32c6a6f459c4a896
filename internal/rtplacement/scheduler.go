package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
)

// Scheduler decides about the requests of one engine service. The zero value
// is ready to use. It is not safe for concurrent use.
type Scheduler struct {
	pools Pools
}

// Verdict is a choice and whether to follow it now.
type Verdict struct {
	Choice
	Decision Decision
	Pressure Pressure
}

// Decide returns where a request goes and whether now, by what is believed of
// the candidates. It reports false without a candidate.
func (s *Scheduler) Decide(engine *rtcatalog.Engine, work Work, candidates []Candidate, gateways int,
	now time.Time) (Verdict, bool) {
	writers := 0
	for i := range candidates {
		writers += candidates[i].Load.Writers
	}
	pressure := PressureOf(candidates, s.pools.Now())
	tight := s.pools.Tight(len(candidates), max(1, engine.Slots), writers, pressure.Backlog, now)
	choice, ok := Engine(engine, work, candidates, Sight{Tight: tight, Gateways: gateways})
	if !ok {
		return Verdict{}, false
	}
	return Verdict{Choice: choice, Decision: Admit(work, choice, pressure), Pressure: pressure}, true
}
