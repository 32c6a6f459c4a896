package rthedge

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// maxBurst limits the extra attempts that accumulate while none is needed, so that
	// requests of calm times pay for few in a burst, in which they harm most.
	maxBurst = 2.0
	// maxBacklog is the mean backlog of the engines above which they are the cause of slow
	// answers, and an extra attempt makes all of them slower.
	maxBacklog = 100 * time.Millisecond
)

// Decision is whether a request gets an extra attempt.
type Decision int

// The decisions. The comments are the texts of String.
const (
	Send       Decision = iota // sent
	Impossible                 // not possible
	Loaded                     // targets loaded
	OverBudget                 // refused by budget
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Decision -linecomment

// Situation is what is known when the delay of a request is over.
type Situation struct {
	Repeatable bool // it may run more than once
	Begun      bool // a part of an event has been received, or the caller has a part of the response
	LastChance bool // the route allows no further attempt
	Prompt     rtid.Tokens
	Waiting    bool          // requests of the service wait for capacity
	Backlog    time.Duration // mean backlog of the engines of the service
	// RetriesSpare says that the retry budget over all processes is at most half used.
	RetriesSpare bool
}

// HasRoom reports whether engines with a mean backlog can take an extra attempt.
func HasRoom(backlog time.Duration) bool { return backlog <= maxBacklog }

// Decide decides about an extra attempt, but for its budget.
func (s Situation) Decide() Decision {
	switch {
	case !s.Repeatable || s.Begun || s.LastChance || s.Prompt > MaxPrompt:
		return Impossible
	case s.Waiting || !HasRoom(s.Backlog):
		return Loaded
	case !s.RetriesSpare:
		return OverBudget
	default:
		return Send
	}
}

// Budget limits the extra attempts of one service in one process to a ratio of its
// requests. It accumulates over time rather than in a window: one of many gateways gets
// too few requests in a window for one extra attempt. The zero value allows none.
type Budget struct {
	tokens float64 // extra attempts that may be made, in [0, maxBurst]
}

// RecordRequest counts a request, which allows ratio extra attempts.
func (b *Budget) RecordRequest(ratio float64) { b.tokens = min(maxBurst, b.tokens+max(0, ratio)) }

// Take takes one extra attempt. It reports false if the budget is exhausted.
func (b *Budget) Take() bool {
	const almostOne = 1 - 1e-9 // rounding must not cost an attempt
	if b.tokens < almostOne {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}
