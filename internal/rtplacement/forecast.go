package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Forecaster corrects predictions by how far earlier ones were off.
type Forecaster interface {
	// Correct returns the median and the optimistic end of the time to the first event of
	// a prompt that is split into parts, for a predicted time.
	Correct(prompt rtid.Tokens, parts int, predicted time.Duration, now time.Time) (median, optimistic time.Duration)
}

// forecast replaces the prediction of a placement by the one by passes, and corrects
// it.
func (p Placement) forecast(work Work, forecaster Forecaster, now time.Time) Placement {
	p.PredictedFirstEvent = p.predictedByPasses
	p.Corrected, p.optimistic = forecaster.Correct(work.Prompt, 1+len(p.Helpers), p.PredictedFirstEvent, now)
	return p
}

// firstEvent returns the time to the first event by which admission judges whether a
// request is in time.
func (p Placement) firstEvent() time.Duration {
	if p.Corrected > 0 {
		return p.Corrected
	}
	return p.PredictedFirstEvent
}

// earliestFirstEvent returns the time after which a request is refused if its caller
// gives up before.
func (p Placement) earliestFirstEvent() time.Duration {
	if p.optimistic > 0 {
		return p.optimistic
	}
	return p.PredictedFirstEvent
}

// predictByPasses predicts the first event of a prompt that is split over the chosen
// candidates. An engine works in passes: the current one ends, the next one prefills
// what is waiting and decodes for all running requests, and at the end of a further one
// of the target the first event is sent. That one decodes for the requests that the
// target has, too.
func predictByPasses(engine *rtcatalog.Engine, work Work, chosen []Candidate, target int, partPrefill time.Duration) time.Duration {
	var longest time.Duration
	for _, c := range chosen {
		longest = max(longest, prefillDelay(engine, c)+DecodePassTime(engine, c.Load))
	}
	load := chosen[target].Load
	var join time.Duration
	if len(chosen) > 1 {
		// The last part often ends elsewhere, in the middle of a pass of the target.
		join = DecodePassTime(engine, load) / 2
	}
	load.Requests++
	load.Context += work.Prompt / rtid.Tokens(len(chosen))
	return longest + partPrefill + join + DecodePassTime(engine, load)
}
