package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// EngineTime returns the engine time that a request takes: the prefill of its whole
// prompt, and its slot's part of the steps of a typical answer.
func EngineTime(engine *rtcatalog.Engine, prompt rtid.Tokens) time.Duration {
	steps := time.Duration(engine.TypicalAnswer) * engine.StepTime
	return PrefillTime(engine, prompt, 1) + steps/time.Duration(max(1, engine.Slots))
}

// AllowedBacklog returns the mean backlog up to which Admit sends a request with parts of
// this length in time.
func (p Placement) AllowedBacklog() time.Duration {
	return max(maxLongPass-decodeOnlyPass-p.PartPrefill, negligibleBacklog)
}

// LatestInTime returns the longest wait after which Admit still takes a request with
// this placement for one that meets its latency SLO.
func (p Placement) LatestInTime(work Work) time.Duration {
	return time.Duration(sloShare*float64(work.LatencySLO)) - p.PredictedFirstEvent
}
