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
	goodRatio   = 1.5
	slowRatio   = 2.5
	severeRatio = 5.0
)

// A fall needs slowCount slow completions among the last slowWindow, or one
// severe one. A single slow completion is common: one packet loss between
// agent and reader or one garbage collection at the target is enough.
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
	recent uint // one bit per completion, newest lowest; set if slow
	falls  uint64
}

// New returns the limit of a target that has just started.
func New(cold, warm int) *Limit {
	cold = max(1, cold)
	return &Limit{cold: cold, warm: max(cold, warm), limit: cold}
}

// Now returns the most requests that may run.
func (l *Limit) Now() int { return l.limit }

// Cold reports whether the limit is below that of a warm target.
func (l *Limit) Cold() bool { return l.limit < l.warm }

// Falls counts how often a limit above the cold value fell back to it.
func (l *Limit) Falls() uint64 { return l.falls }

// Reset sets the limit to the cold value, when the target failed or restarted.
func (l *Limit) Reset() {
	if l.limit > l.cold {
		l.falls++
	}
	l.limit = l.cold
	l.good = 0
	l.recent = 0
}

// Complete takes in a request that finished, with the measured time and the
// time that a warm target needs for it at the same load.
func (l *Limit) Complete(measured, expected time.Duration) {
	ratio := float64(measured) / float64(expected+slack)
	slow := ratio >= slowRatio
	l.recent = l.recent << 1 & (1<<slowWindow - 1)
	if slow {
		l.recent |= 1
	}
	switch {
	case ratio >= severeRatio, l.slowCompletions() >= slowCount:
		l.Reset()
	case ratio < goodRatio:
		l.rise()
	}
}

// rise doubles the limit when a whole round of requests completed well: as
// many as may run at once.
func (l *Limit) rise() {
	if l.limit == l.warm {
		return
	}
	l.good++
	if l.good < l.limit {
		return
	}
	l.good = 0
	l.limit = min(2*l.limit, l.warm)
}

func (l *Limit) slowCompletions() int {
	count := 0
	for bits := l.recent; bits != 0; bits &= bits - 1 {
		count++
	}
	return count
}
