package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
)

// Scheduler places the requests of one engine service. The zero value is ready
// to use. It is not safe for concurrent use.
type Scheduler struct {
	// Forecaster corrects the predictions; nil for none. It may be replaced at any time.
	Forecaster Forecaster

	pools PoolSizer
}

// ScheduleResult is a placement and whether to send the request now.
type ScheduleResult struct {
	Placement
	Decision Decision
	LongPool LongPoolLoad
}

// Decide returns the placement of a request, and whether to send it now, by the
// known loads of the candidates. It reports false if there are no candidates.
func (s *Scheduler) Decide(engine *rtcatalog.Engine, work Work, candidates []Candidate, gateways int,
	now time.Time) (ScheduleResult, bool) {
	interactiveRequests := 0
	for i := range candidates {
		interactiveRequests += candidates[i].Load.Interactive
	}
	pool := LongPoolLoadOf(candidates, s.pools.Size())
	interactiveEngines := s.pools.Resize(len(candidates), max(1, engine.Slots), interactiveRequests, pool.PrefillBacklog, now)
	placement, ok := PlaceOnEngines(engine, work, candidates, PoolState{InteractiveEngines: interactiveEngines, Gateways: gateways})
	if !ok {
		return ScheduleResult{}, false
	}
	if s.Forecaster != nil {
		placement = placement.forecast(work, s.Forecaster, now)
	}
	return ScheduleResult{Placement: placement, Decision: Admit(work, placement, pool), LongPool: pool}, true
}
