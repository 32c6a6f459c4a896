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
	Model          rtid.Model    // the only one served; empty: any
	PassTime       time.Duration // of continuous batching when warm; default 2 ms
	PrefillPerPass rtid.Tokens   // prompt tokens computed per step; default 8192
	Memory         rtid.Tokens   // KV memory; default 400,000, so that a prompt of 1M tokens needs more than twice of it
	Slots          int           // most streams in one step; default 64

	CacheSize         rtid.Tokens   // size of the prefix cache; default 100,000
	EventDelay        time.Duration // of cache events; default 500 ms
	EventLossInterval int           // every EventGap-th cache event is lost; default 10
	LoadLag           time.Duration // age of the figures of GET /load; default 250 ms

	Warm         bool          // the engine starts warm
	WarmAfter    int           // completed requests until a cold engine is warm; default 8
	ColdSlowdown int           // of the duration of a step when cold; default 4
	ColdLimit    int           // most streams of a cold engine, which fails over with one more; default 2
	ColdGrace    time.Duration // after TurnCold, in which more than ColdLimit streams do no harm; default 1 s

	Downtime time.Duration // after a crash or fail-over; default none
	Fencing  bool          // whether old fencing numbers are rejected
	NoResume bool          // whether GenerateRequest.Prefix is rejected

	ModelLoadTime time.Duration                                     // of a model, after its weights were read; default none
	ReadWeights   func(ctx context.Context, model rtid.Model) error // reads from the weight store; nil: not done
}

// withDefaults returns the configuration with all defaults filled in.
func (c EngineConfig) withDefaults() EngineConfig {
	c.PassTime = valueOr(c.PassTime, 2*time.Millisecond)
	c.PrefillPerPass = valueOr(c.PrefillPerPass, 8192)
	c.Memory = valueOr(c.Memory, 400_000)
	c.Slots = valueOr(c.Slots, 64)
	c.CacheSize = valueOr(c.CacheSize, 100_000)
	c.EventDelay = valueOr(c.EventDelay, 500*time.Millisecond)
	c.EventLossInterval = valueOr(c.EventLossInterval, 10)
	c.LoadLag = valueOr(c.LoadLag, 250*time.Millisecond)
	c.WarmAfter = valueOr(c.WarmAfter, 8)
	c.ColdSlowdown = valueOr(c.ColdSlowdown, 4)
	c.ColdLimit = valueOr(c.ColdLimit, 2)
	c.ColdGrace = valueOr(c.ColdGrace, time.Second)
	c.Downtime = max(0, c.Downtime)
	c.ModelLoadTime = max(0, c.ModelLoadTime)
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
