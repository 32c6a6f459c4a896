// Package rtwarm limits the concurrency of a target that may be cold. A cold
// target fails under full load, so the limit starts low, rises only on
// completed work and falls back when completions are slow. It has no clock of
// its own and is not safe for concurrent use.
package rtwarm

import "time"

// Ratios of the measured to the expected time of a completion. The band
// between good and slow changes nothing, so that noise around one threshold
// does not move the limit up and down.
const (
	GoodRatio   = 1.5
	SlowRatio   = 2.5
	SevereRatio = 5.0
)

// minRound is the fewest completions after which the limit doubles. A cold
// target warms up on work done, so a limit that doubled after each single
// completion would outrun it.
const minRound = 8

// A fall needs slowCount slow ratios among the last slowWindow, or one severe
// one. A single slow one is common: one garbage collection at the target is
// enough.
const (
	slowCount  = 3
	slowWindow = 8
)

// slack is added to the expected time, because scheduling noise is large
// beside the service time of the shortest requests.
const slack = 20 * time.Millisecond

// Limit is the most concurrent requests at one target.
type Limit struct {
	cold   int  // limit of a cold target, at least 1
	warm   int  // limit of a warm target, at least cold
	limit  int  // from cold to warm
	good   int  // good completions in this round
	recent uint // one bit per ratio, newest lowest; set if slow
	falls  uint64
}

// New returns the limit of a target that has just started.
func New(cold, warm int) *Limit {
	cold = max(1, cold)
	return &Limit{cold: cold, warm: max(cold, warm), limit: cold}
}

// Now returns the most requests that may run.
func (l *Limit) Current() int { return l.limit }

// Cold reports whether the limit is below that of a warm target.
func (l *Limit) Cold() bool { return l.limit < l.warm }

// Falls counts how often a limit above the cold value fell back to it.
func (l *Limit) Resets() uint64 { return l.falls }

// Reset sets the limit to the cold value, when the target failed or restarted.
func (l *Limit) Reset() {
	if l.limit > l.cold {
		l.falls++
	}
	l.limit = l.cold
	l.good = 0
	l.recent = 0
}

// Ratio compares a measured time with the time that a warm target needs at
// the same load.
func Ratio(measured, expected time.Duration) float64 {
	return float64(measured) / float64(expected+slack)
}

// Complete takes in the ratio of a request that finished. It moves the limit
// up or down.
func (l *Limit) RecordCompletion(ratio float64) {
	l.RecordProgress(ratio)
	if ratio < GoodRatio {
		l.rise()
	}
}

// Observe takes in the ratio of a part of a request that still runs. It only
// moves the limit down.
func (l *Limit) RecordProgress(ratio float64) {
	l.recent = l.recent << 1 & (1<<slowWindow - 1)
	if ratio >= SlowRatio {
		l.recent |= 1
	}
	if ratio >= SevereRatio || l.slowOnes() >= slowCount {
		l.Reset()
	}
}

// rise doubles the limit when a whole round of requests completed well: as
// many as may run at once, and at least minRound.
func (l *Limit) rise() {
	if l.limit == l.warm {
		return
	}
	l.good++
	if l.good < max(l.limit, minRound) {
		return
	}
	l.good = 0
	l.limit = min(2*l.limit, l.warm)
}

func (l *Limit) slowOnes() int {
	count := 0
	for bits := l.recent; bits != 0; bits &= bits - 1 {
		count++
	}
	return count
}
