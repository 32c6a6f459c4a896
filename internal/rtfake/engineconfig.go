package rtfake

import (
	"cmp"
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// EngineConfig configures an Engine. A zero field takes the default value, a
// negative one means zero.
type EngineConfig struct {
	Model          rtid.Model    // the only model served; empty: any
	PassTime       time.Duration // duration of one iteration of the batch when warm; default 2 ms
	PrefillPerPass rtid.Tokens   // prompt tokens prefilled per pass; default 8192
	Memory         rtid.Tokens   // KV memory; default 400,000, so that a prompt of 1M tokens needs more than two engines
	Slots          int           // most streams that run in one pass; default 64

	CacheSize         rtid.Tokens   // size of the prefix cache; default 100,000
	EventDelay        time.Duration // of cache events; default 500 ms
	EventLossInterval int           // every n-th cache event is lost; default 10
	LoadLag           time.Duration // age of the load that GET /load reports; default 250 ms

	Warm         bool          // the engine starts warm
	WarmAfter    int           // completed requests until a cold engine is warm; default 8
	ColdSlowdown int           // factor of PassTime when cold; default 4
	ColdLimit    int           // most streams of a cold engine, which fails under load on one more; default 2
	ColdGrace    time.Duration // time after TurnCold in which the engine does not fail under load; default 1 s

	Downtime time.Duration // after a crash or a failure under load; default none
	Fencing  bool          // reject calls with a lower fencing number than an earlier call
	NoResume bool          // reject a GenerateRequest.Prefix

	ModelLoadTime time.Duration                                     // after the weights of the model were read; default none
	ReadWeights   func(ctx context.Context, model rtid.Model) error // reads weights from the weight store; nil: none are read
}

// withDefaults returns the configuration with default values for zero fields.
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

// valueOr returns defaultValue for 0, and 0 for a negative value.
func valueOr[T cmp.Ordered](value, defaultValue T) T {
	var zero T
	switch {
	case value < zero:
		return zero
	case value == zero:
		return defaultValue
	default:
		return value
	}
}
