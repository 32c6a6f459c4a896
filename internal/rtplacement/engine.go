// Package rtplacement decides which targets serve a request. Its functions
// compute placements from the known loads; they read no clock and use no
// sockets.
package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Work is what a request requires of an engine.
type Work struct {
	Prompt         rtid.Tokens
	Output         rtid.Tokens
	LatencySLO     time.Duration // time to the first event
	GapSLO         time.Duration // longest gap between events
	AbandonTimeout time.Duration // time to the first event, or between two events, after which the caller gives up
	Waited         time.Duration // since the caller sent it, or received the last event
	Begun          bool          // the caller has received a part of the answer
}

// Load is the known load on one target.
type Load struct {
	Requests       int           // in flight
	Interactive    int           // of these, interactive requests
	Context        rtid.Tokens   // tokens of context that each decode step processes
	Memory         rtid.Tokens   // used by requests whose target it is
	PrefillBacklog time.Duration // prefill time of parts that were sent and are not done
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{
		Requests:       l.Requests + other.Requests,
		Interactive:    l.Interactive + other.Interactive,
		Context:        l.Context + other.Context,
		Memory:         l.Memory + other.Memory,
		PrefillBacklog: l.PrefillBacklog + other.PrefillBacklog,
	}
}

// PrefillTime returns the prefill time of one of several equal parts of a prompt.
func PrefillTime(engine *rtcatalog.Engine, prompt rtid.Tokens, parts int) time.Duration {
	tokens := float64(prompt)
	pairs := tokens * tokens / 2 / 1e6
	whole := tokens*float64(engine.PrefillPerToken) + pairs*float64(engine.PrefillPerMillionPairs)
	return time.Duration(whole / float64(parts))
}

// DecodePassTime returns the time of a pass without prefill. It is zero if there
// are no requests to decode for.
func DecodePassTime(engine *rtcatalog.Engine, load Load) time.Duration {
	if load.Requests == 0 {
		return 0
	}
	step := engine.StepTime + time.Duration(load.Requests)*engine.StepPerRequest +
		time.Duration(float64(load.Context)/1000*float64(engine.StepPerKilotoken))
	return time.Duration(engine.StepsPerPass) * step
}
