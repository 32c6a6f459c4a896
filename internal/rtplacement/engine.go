// Package rtplacement decides which targets serve a request. Its functions
// read what a process believes and return a verdict; they have no clock and no
// sockets.
package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Work is what a request asks of an engine.
type Work struct {
	Prompt         rtid.Tokens
	Output         rtid.Tokens
	LatencySLO     time.Duration // to the first event
	GapSLO         time.Duration // longest pause for full value
	AbandonTimeout time.Duration // wait for the first event after which the caller leaves
	Waited         time.Duration // since the caller sent it
}

// Load is what a process believes of one target.
type Load struct {
	Requests       int           // sent and not ended
	Interactive    int           // of these, requests whose pauses are bounded tightly
	Context        rtid.Tokens   // of all requests
	Memory         rtid.Tokens   // held by requests that were sent to the target
	PrefillBacklog time.Duration // of prompts that were sent and are not read yet
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

// ReadTime returns the time of reading one of several even parts of a prompt.
func PrefillTime(engine *rtcatalog.Engine, prompt rtid.Tokens, parts int) time.Duration {
	tokens := float64(prompt)
	pairs := tokens * tokens / 2 / 1e6
	whole := tokens*float64(engine.PrefillPerToken) + pairs*float64(engine.PrefillPerMillionPairs)
	return time.Duration(whole / float64(parts))
}

// PassTime returns the time of a pass in which nothing is read. It is zero
// where nothing is written.
func DecodePassTime(engine *rtcatalog.Engine, load Load) time.Duration {
	if load.Requests == 0 {
		return 0
	}
	step := engine.StepTime + time.Duration(load.Requests)*engine.StepPerRequest +
		time.Duration(float64(load.Context)/1000*float64(engine.StepPerKilotoken))
	return time.Duration(engine.StepsPerPass) * step
}
