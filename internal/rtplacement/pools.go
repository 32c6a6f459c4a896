package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
)

// Pools divides the engines of a service between requests whose pauses are
// bounded tightly and long reads. It answers the load that swings between short
// and long prompts within seconds: a long read beside short requests stretches
// their pauses past the bound, and engines kept apart for good are too few for
// one of the two at each swing. The zero value is ready to use.
type Pools struct {
	tight  int       // engines of tight requests; 0 before the first call
	shrunk time.Time // when tight went down last
}

const (
	// writersPerEngine are the tight requests that an engine is meant for: half
	// of the usual slots, so that a burst finds room before the pools follow.
	writersPerEngine = 8
	// leastTight and leastLong are the engines that each pool keeps while there
	// are enough.
	leastTight = 2
	leastLong  = 3
	// shrinkInterval is the time between two engines that go back to long
	// reads. The writers there end within about two seconds.
	shrinkInterval = 250 * time.Millisecond
)

// Tight returns how many of the engines are for tight requests, by the number
// of those that are running on all. It grows at once and shrinks step by step.
func (p *Pools) Tight(engines, writers int, now time.Time) int {
	if engines <= 1 {
		return engines
	}
	want := 1 + (writers+writersPerEngine-1)/writersPerEngine
	want = max(want, min(leastTight, engines/2))
	want = min(want, max(engines-leastLong, (engines+1)/2))
	switch {
	case want >= p.tight:
		p.tight = want
	case now.Sub(p.shrunk) >= shrinkInterval:
		p.tight--
		p.shrunk = now
	}
	return min(p.tight, engines)
}

// parts returns over how many engines a prompt is read at most: so many that
// no part is longer than limit.
func parts(engine *rtcatalog.Engine, work Work, limit time.Duration, engines int) int {
	whole := ReadTime(engine, work.Prompt, 1)
	return max(1, min(int((whole+limit-1)/limit), engines, 1+maxHelpers))
}
