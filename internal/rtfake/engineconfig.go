package rtfake

import (
	"cmp"
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// EngineConfig configures an Engine. A zero field takes the default; a
// negative one means none.
type EngineConfig struct {
	Model   rtid.Model    // the only one served; empty: any
	Step    time.Duration // of continuous batching when warm; default 2 ms
	Prefill rtid.Tokens   // prompt tokens computed per step; default 8192
	Memory  rtid.Tokens   // KV memory; default 400,000, so that a prompt of 1M tokens needs more than twice of it
	Slots   int           // most streams in one step; default 64

	Cache      rtid.Tokens   // size of the prefix cache; default 100,000
	EventDelay time.Duration // of cache events; default 500 ms
	EventGap   int           // every EventGap-th cache event is lost; default 10
	LoadLag    time.Duration // age of the figures of GET /load; default 250 ms

	Warm       bool          // the engine starts warm
	WarmAfter  int           // completed requests until a cold engine is warm; default 8
	ColdFactor int           // of the duration of a step when cold; default 4
	ColdLimit  int           // most streams of a cold engine, which fails over with one more; default 2
	ColdGrace  time.Duration // after TurnCold, in which more than ColdLimit streams do no harm; default 1 s

	Downtime time.Duration // after a crash or fail-over; default none
	Fencing  bool          // whether old fencing numbers are rejected
	NoResume bool          // whether GenerateRequest.Prefix is rejected

	Loading time.Duration                                     // of a model, after its weights were read; default none
	Weights func(ctx context.Context, model rtid.Model) error // reads from the weight store; nil: not done
}

// withDefaults returns the configuration with all defaults filled in.
func (c EngineConfig) withDefaults() EngineConfig {
	c.Step = valueOr(c.Step, 2*time.Millisecond)
	c.Prefill = valueOr(c.Prefill, 8192)
	c.Memory = valueOr(c.Memory, 400_000)
	c.Slots = valueOr(c.Slots, 64)
	c.Cache = valueOr(c.Cache, 100_000)
	c.EventDelay = valueOr(c.EventDelay, 500*time.Millisecond)
	c.EventGap = valueOr(c.EventGap, 10)
	c.LoadLag = valueOr(c.LoadLag, 250*time.Millisecond)
	c.WarmAfter = valueOr(c.WarmAfter, 8)
	c.ColdFactor = valueOr(c.ColdFactor, 4)
	c.ColdLimit = valueOr(c.ColdLimit, 2)
	c.ColdGrace = valueOr(c.ColdGrace, time.Second)
	c.Downtime = max(0, c.Downtime)
	c.Loading = max(0, c.Loading)
	return c
}

// valueOr returns standard for 0 and 0 for a negative value.
func valueOr[T cmp.Ordered](value, standard T) T {
	var zero T
	switch {
	case value < zero:
		return zero
	case value == zero:
		return standard
	default:
		return value
	}
}
