package rthedge

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
)

const (
	// budgetWindow is the time over which extra attempts are counted against requests.
	budgetWindow = 10 * time.Second
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

// Decide decides about an extra attempt, but for its budget.
func (s Situation) Decide() Decision {
	switch {
	case !s.Repeatable || s.Begun || s.LastChance || s.Prompt > MaxPrompt:
		return Impossible
	case s.Waiting || s.Backlog > maxBacklog:
		return Loaded
	case !s.RetriesSpare:
		return OverBudget
	default:
		return Send
	}
}

// Budget limits the extra attempts of one service in one process: Ratio for each request
// of the last 10 s. The zero value allows none.
type Budget struct {
	Ratio float64

	requests, extra rtlimit.Window
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.requests.Span = budgetWindow
	b.requests.Add(now)
}

// Take takes one extra attempt. It reports false if the budget is exhausted.
func (b *Budget) Take(now time.Time) bool {
	b.requests.Span, b.extra.Span = budgetWindow, budgetWindow
	if float64(b.extra.Count(now)+1) > b.Ratio*float64(b.requests.Count(now)) {
		return false
	}
	b.extra.Add(now)
	return true
}
