// Package rtwarm limits the concurrency of a target that may be cold. A cold
// target fails under full load, so the limit starts low, increases only with
// completed work and is reset when completions are slow. It reads no clock and
// is not safe for concurrent use.
package rtwarm

import "time"

// Thresholds for the ratio of the measured to the expected time of a
// completion. Ratios between GoodRatio and SlowRatio do not change the limit,
// so that noise around one threshold does not move it up and down.
const (
	GoodRatio   = 1.5
	SlowRatio   = 2.5
	SevereRatio = 5.0
)

// minRoundSize is the fewest completions after which the limit doubles. A cold
// target warms up with completed work. A limit that doubled after each single
// completion would grow faster than the target warms up.
const minRoundSize = 8

// The limit is reset after slowThreshold slow ratios among the last slowWindow,
// or one severe ratio. A single slow ratio is common: one garbage collection at
// the target is enough.
const (
	slowThreshold = 3
	slowWindow    = 8
)

// schedulingSlack is added to the expected time, because scheduling delays are
// large compared with the service time of the shortest requests.
const schedulingSlack = 20 * time.Millisecond

// Limit is the warm-up limit of one target: the most requests that may run
// there at once.
type Limit struct {
	cold        int  // limit of a cold target, at least 1
	warm        int  // limit of a warm target, at least cold
	limit       int  // from cold to warm
	goodInRound int  // good completions in the current round
	recentSlow  uint // one bit per ratio, newest lowest; set if slow
	resets      uint64
}

// New returns the limit of a target that has just started.
func New(cold, warm int) *Limit {
	cold = max(1, cold)
	return &Limit{cold: cold, warm: max(cold, warm), limit: cold}
}

// Current returns the most requests that may run at this moment.
func (l *Limit) Current() int { return l.limit }

// Cold reports whether the limit is below that of a warm target.
func (l *Limit) Cold() bool { return l.limit < l.warm }

// Resets returns how often a limit above the cold value was reset to it.
func (l *Limit) Resets() uint64 { return l.resets }

// Reset sets the limit to the cold value. It is called when the target has
// failed or restarted.
func (l *Limit) Reset() {
	if l.limit > l.cold {
		l.resets++
	}
	l.limit = l.cold
	l.goodInRound = 0
	l.recentSlow = 0
}

// Ratio compares a measured time with the time that a warm target needs at the
// same load.
func Ratio(measured, expected time.Duration) float64 {
	return float64(measured) / float64(expected+schedulingSlack)
}

// RecordCompletion records the ratio of a completed request. It may increase
// or reset the limit.
func (l *Limit) RecordCompletion(ratio float64) {
	l.RecordProgress(ratio)
	if ratio < GoodRatio {
		l.increase()
	}
}

// RecordProgress records the ratio of some of the work of a request that still
// runs. It may reset the limit but never increases it.
func (l *Limit) RecordProgress(ratio float64) {
	l.recentSlow = l.recentSlow << 1 & (1<<slowWindow - 1)
	if ratio >= SlowRatio {
		l.recentSlow |= 1
	}
	if ratio >= SevereRatio || l.countSlow() >= slowThreshold {
		l.Reset()
	}
}

// increase doubles the limit after a round of good completions: as many as may
// run at once, and at least minRoundSize.
func (l *Limit) increase() {
	if l.limit == l.warm {
		return
	}
	l.goodInRound++
	if l.goodInRound < max(l.limit, minRoundSize) {
		return
	}
	l.goodInRound = 0
	l.limit = min(2*l.limit, l.warm)
}

// countSlow counts the slow ratios among the last slowWindow.
func (l *Limit) countSlow() int {
	count := 0
	for bits := l.recentSlow; bits != 0; bits &= bits - 1 {
		count++
	}
	return count
}
