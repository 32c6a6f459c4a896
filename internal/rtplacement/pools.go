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
type PoolSizer struct {
	tight   int       // engines of tight requests; 0 before the first call
	moved   time.Time // when an engine changed its pool last
	writers int       // tight requests at sampled
	sampled time.Time
	growth  float64 // of writers, a second
}

const (
	// easyShare is the part of an engine's slots that tight requests are meant to
	// take, denseShare what they may take while long reads need engines. The rest
	// is for those that come before the pools follow.
	easyShare  = 0.6
	denseShare = 0.6
	// leastTight and leastLong are the engines that each pool keeps while there
	// are enough.
	leastTight = 2
	leastLong  = 2
	// busyBacklog is the reading for each engine above which the pool of long
	// reads takes engines that the other one can spare.
	busyBacklog = 200 * time.Millisecond
	// moveInterval is the time between two engines that change their pool: all
	// follow a swing of the load within about a second.
	moveInterval = 60 * time.Millisecond
	// sampleInterval is the time over which the growth of writers is measured,
	// and growthTime how far ahead it is taken: a pool that grows has reading to
	// finish first.
	sampleInterval = 250 * time.Millisecond
	growthTime     = 0.5 // seconds
)

// Tight returns how many of the engines are for tight requests, by the slots of
// an engine, the number of those requests that are running on all and the
// reading that waits at the other engines.
func (p *PoolSizer) Resize(engines, slots, writers int, backlog time.Duration, now time.Time) int {
	if engines <= 1 {
		return engines
	}
	p.sample(writers, now)
	expected := float64(writers) + max(0, p.growth*growthTime)
	most := max(engines-leastLong, (engines+1)/2)
	least := min(most, max(min(leastTight, engines/2), 1+int(expected/(denseShare*float64(slots)))))
	easy := min(most, max(least, 2+int(expected/(easyShare*float64(slots)))))
	if p.tight == 0 {
		p.tight = easy
	}
	want := easy
	if backlog > busyBacklog {
		want = least
	}
	switch {
	case p.tight < least:
		p.tight = least
	case p.tight > most:
		p.tight = most
	case now.Sub(p.moved) < moveInterval:
	case p.tight < want:
		p.tight++
		p.moved = now
	case p.tight > want:
		p.tight--
		p.moved = now
	}
	return p.tight
}

// sample measures the growth of writers.
func (p *PoolSizer) sample(writers int, now time.Time) {
	elapsed := now.Sub(p.sampled)
	if elapsed < sampleInterval {
		return
	}
	if !p.sampled.IsZero() && elapsed < 4*sampleInterval {
		p.growth = float64(writers-p.writers) / elapsed.Seconds()
	}
	p.writers, p.sampled = writers, now
}

// parts returns over how many engines a prompt is read at most: so many that
// no part is longer than limit.
func parts(engine *rtcatalog.Engine, work Work, limit time.Duration, engines int) int {
	whole := PrefillTime(engine, work.Prompt, 1)
	return max(1, min(int((whole+limit-1)/limit), engines, 1+maxHelpers))
}

// Now returns the last result of Tight.
func (p *PoolSizer) Size() int { return p.tight }
