package rtplacement

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
)

// PoolSizer divides the engines of a service into an interactive pool and a
// long-prompt pool. A long prompt beside interactive requests stretches their
// gaps beyond the SLO, so the pools are kept apart. The load swings between
// short and long prompts within seconds, so pools of fixed size would be too
// small for one of the two kinds at each swing. The zero value is ready to use.
type PoolSizer struct {
	interactive int       // engines of the interactive pool; 0 before the first call
	lastMove    time.Time // when engines last changed their pool
	requests    int       // interactive requests at lastSample
	lastSample  time.Time
	growth      float64 // of interactive requests, per second
}

const (
	// targetOccupancy is the part of the slots in the interactive pool that
	// interactive requests use at its preferred size, maxOccupancy the part that
	// they may use while long prompts need engines. The rest is for requests that
	// arrive before the pools are resized.
	targetOccupancy = 0.6
	maxOccupancy    = 0.6
	// minInteractiveEngines and minLongEngines are the least sizes of the pools
	// while there are enough engines.
	minInteractiveEngines = 2
	minLongEngines        = 2
	// busyBacklog is the mean prefill backlog above which the long-prompt pool
	// gets the engines that the interactive pool can spare.
	busyBacklog = 200 * time.Millisecond
	// moveInterval is the least time between two moves of engines to the other
	// pool while the size of the pools is within their limits: the pools follow a
	// swing of the load within about a second.
	moveInterval = 60 * time.Millisecond
	// enginesPerMove is the number of engines of which one moves at a time. More move
	// together where there are more, so that a swing takes as long to follow.
	enginesPerMove = 20
	// sampleInterval is the time over which the growth of interactive requests is
	// measured, and growthHorizon how far ahead it is extrapolated: engines that
	// join the interactive pool must finish their prefill backlog first.
	sampleInterval = 250 * time.Millisecond
	growthHorizon  = 0.5 // seconds
)

// Resize returns the new size of the interactive pool. It depends on the number
// of engines in both pools, the slots of an engine, the number of interactive
// requests in flight and the mean prefill backlog of the long-prompt pool.
func (p *PoolSizer) Resize(engines, slots, interactiveRequests int, backlog time.Duration, now time.Time) int {
	if engines <= 1 {
		return engines
	}
	p.sample(interactiveRequests, now)
	expected := float64(interactiveRequests) + max(0, p.growth*growthHorizon)
	upper := max(engines-minLongEngines, (engines+1)/2)
	lower := min(upper, max(min(minInteractiveEngines, engines/2), 1+int(expected/(maxOccupancy*float64(slots)))))
	preferred := min(upper, max(lower, 2+int(expected/(targetOccupancy*float64(slots)))))
	if p.interactive == 0 {
		p.interactive = preferred
	}
	want := preferred
	if backlog > busyBacklog {
		want = lower
	}
	step := max(1, engines/enginesPerMove)
	switch {
	case p.interactive < lower:
		p.interactive = lower
	case p.interactive > upper:
		p.interactive = upper
	case now.Sub(p.lastMove) < moveInterval:
	case p.interactive < want:
		p.interactive = min(want, p.interactive+step)
		p.lastMove = now
	case p.interactive > want:
		p.interactive = max(want, p.interactive-step)
		p.lastMove = now
	}
	return p.interactive
}

// sample measures the growth of interactive requests.
func (p *PoolSizer) sample(requests int, now time.Time) {
	elapsed := now.Sub(p.lastSample)
	if elapsed < sampleInterval {
		return
	}
	if !p.lastSample.IsZero() && elapsed < 4*sampleInterval {
		p.growth = float64(requests-p.requests) / elapsed.Seconds()
	}
	p.requests, p.lastSample = requests, now
}

// partCount returns the number of parts that a prompt is split into: enough that
// none takes longer than maxPart, as far as engines and maxHelpers allow.
func partCount(engine *rtcatalog.Engine, work Work, maxPart time.Duration, engines int) int {
	whole := PrefillTime(engine, work.Prompt, 1)
	return max(1, min(int((whole+maxPart-1)/maxPart), engines, 1+maxHelpers))
}

// Size returns the last result of Resize.
func (p *PoolSizer) Size() int { return p.interactive }
