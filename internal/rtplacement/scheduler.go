package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
)

// Scheduler decides about the requests of one engine service. The zero value
// is ready to use. It is not safe for concurrent use.
type Scheduler struct {
	pools PoolSizer
}

// Verdict is a choice and whether to follow it now.
type ScheduleResult struct {
	Placement
	Decision Decision
	LongPool LongPoolLoad
}

// Decide returns where a request goes and whether now, by what is believed of
// the candidates. It reports false without a candidate.
func (s *Scheduler) Decide(engine *rtcatalog.Engine, work Work, candidates []Candidate, gateways int,
	now time.Time) (ScheduleResult, bool) {
	writers := 0
	for i := range candidates {
		writers += candidates[i].Load.Interactive
	}
	pressure := LongPoolLoadOf(candidates, s.pools.Size())
	tight := s.pools.Resize(len(candidates), max(1, engine.Slots), writers, pressure.PrefillBacklog, now)
	choice, ok := PlaceOnEngines(engine, work, candidates, PoolState{InteractiveEngines: tight, Gateways: gateways})
	if !ok {
		return ScheduleResult{}, false
	}
	return ScheduleResult{Placement: choice, Decision: Admit(work, choice, pressure), LongPool: pressure}, true
}
