// Package rtdelivery carries one request from its first offer to its end. It
// decides what follows an offer and what its caller may be told, alike for all
// interfaces: an interface chooses targets, offers and relays.
package rtdelivery

import "context"

// Verdict is what one offer led to.
type AttemptOutcome int

// The verdicts.
const (
	Lost          AttemptOutcome = iota // lost
	NotSent                             // not sent
	Refused                             // not run
	WrongTarget                         // another target has the address
	HelperRefused                       // a helper refused
	Infeasible                          // no target can run it
	Failed                              // failed
	Done                                // done
	CallerGone                          // caller gone
	Expired                             // expired
)

// Outcome is what is known of a request.
type Outcome int

// The outcomes, in the order in which one goes before those before it.
const (
	NotRun Outcome = iota // it has not run and never will
	Unknown
	RanAndFailed // it ran and failed, by the word of a target
)

// Ending is why a delivery is over.
type EndReason int

// The endings.
const (
	// Answered says that the caller has its whole answer or has left.
	Answered EndReason = iota
	// NoTarget says that no target was chosen.
	NoTarget
	// Spent says that the request may not be offered once more.
	AttemptsExhausted
	// OverBudget says that the retry budget does not allow one more offer.
	RetryBudgetExhausted
)

// Limits bound the offers of one request.
type Limits struct {
	MaxAttempts       int  // that targets may have got
	MaxRefusals       int  // after which it is offered once more
	MaxLosses         int  // offers lost or failed after which it is offered once more
	MaxUndelivered    int  // offers that reached no target, or one that was not meant
	MaxHelperRefusals int  // offers that a helper refused
	Repeatable        bool // it may run more than once
}

// Carrier is an interface's part of a delivery.
type AttemptRunner interface {
	// Choose chooses the target of the next offer. It reports false if there is
	// none, or the caller has left.
	SelectTarget(ctx context.Context) bool
	// Offer makes the offer and relays the answer to its end.
	Attempt(ctx context.Context) AttemptOutcome
	// Spend takes one more offer after a verdict from the retry budget.
	TakeRetry(after AttemptOutcome) bool
}

// Course is the way of one request.
type AttemptState struct {
	Limits

	last     AttemptOutcome // of the last offer
	offers   int
	refusals int
	losses   int
	misses   int
	unhelped int
	outcome  Outcome // by all offers so far
}

// Run offers a request until it has an end.
func (c *AttemptState) Run(ctx context.Context, carrier AttemptRunner) EndReason {
	for {
		if !carrier.SelectTarget(ctx) {
			return NoTarget
		}
		c.Record(carrier.Attempt(ctx))
		switch {
		case c.last == Done || c.last == CallerGone:
			return Answered
		case ctx.Err() != nil || !c.mayRepeat():
			return AttemptsExhausted
		case c.last != NotSent && !carrier.TakeRetry(c.last):
			// What was not sent has cost no target anything.
			return RetryBudgetExhausted
		}
	}
}

// Record takes in the verdict of an offer.
func (c *AttemptState) Record(verdict AttemptOutcome) {
	c.last = verdict
	switch verdict {
	case NotSent, WrongTarget:
		c.misses++
	case HelperRefused:
		c.unhelped++
	case Refused:
		c.offers++
		c.refusals++
	case Failed:
		c.offers++
		c.losses++
		c.outcome = RanAndFailed
	case Lost, Expired:
		c.offers++
		c.losses++
		c.outcome = max(c.outcome, Unknown)
	case Infeasible, Done, CallerGone:
	}
}

// mayRepeat reports whether the request may be offered once more after the
// last verdict.
func (c *AttemptState) mayRepeat() bool {
	switch c.last {
	case NotSent, WrongTarget:
		return c.misses < c.MaxUndelivered
	case HelperRefused:
		return c.unhelped < c.MaxHelperRefusals
	case Refused:
		return c.offers < c.MaxAttempts && c.refusals <= c.MaxRefusals && (c.Repeatable || c.outcome == NotRun)
	case Lost, Failed:
		return c.offers < c.MaxAttempts && c.losses <= c.MaxLosses && c.Repeatable
	default:
		return false
	}
}

// Last returns the verdict of the last offer.
func (c *AttemptState) LastOutcome() AttemptOutcome { return c.last }

// Outcome returns what the caller may be told. Only NotRun promises that the
// request never runs.
func (c *AttemptState) Outcome() Outcome { return c.outcome }

// LastChance reports whether an offer that is lost now is not repeated.
func (c *AttemptState) IsLastAttempt() bool {
	return !c.Repeatable || c.offers+1 >= c.MaxAttempts || c.losses >= c.MaxLosses
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=AttemptOutcome -linecomment
