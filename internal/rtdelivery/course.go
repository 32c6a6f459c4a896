// Package rtdelivery carries one request from its first offer to its end. It
// decides what follows an offer and what its caller may be told, alike for all
// interfaces: an interface chooses targets, offers and relays.
package rtdelivery

import "context"

// Verdict is what one offer led to.
type Verdict int

// The verdicts.
const (
	Lost       Verdict = iota // lost
	Unsent                    // not sent
	Refused                   // not run
	Elsewhere                 // another target has the address
	Unhelped                  // a helper refused
	Impossible                // no target can run it
	Failed                    // failed
	Done                      // done
	CallerGone                // caller gone
	Expired                   // expired
)

// Outcome is what is known of a request.
type Outcome int

// The outcomes, in the order in which one goes before those before it.
const (
	NotRun Outcome = iota // it has not run and never will
	Unknown
	FailedOnce // it ran and failed, by the word of a target
)

// Ending is why a delivery is over.
type Ending int

// The endings.
const (
	// Answered says that the caller has its whole answer or has left.
	Answered Ending = iota
	// NoTarget says that no target was chosen.
	NoTarget
	// Spent says that the request may not be offered once more.
	Spent
	// OverBudget says that the retry budget does not allow one more offer.
	OverBudget
)

// Limits bound the offers of one request.
type Limits struct {
	Offers     int  // that targets may have got
	Refusals   int  // after which it is offered once more
	Losses     int  // offers lost or failed after which it is offered once more
	Misses     int  // offers that reached no target, or one that was not meant
	Unhelped   int  // offers that a helper refused
	Repeatable bool // it may run more than once
}

// Carrier is an interface's part of a delivery.
type Carrier interface {
	// Choose chooses the target of the next offer. It reports false if there is
	// none, or the caller has left.
	Choose(ctx context.Context) bool
	// Offer makes the offer and relays the answer to its end.
	Offer(ctx context.Context) Verdict
	// Spend takes one more offer after a verdict from the retry budget.
	Spend(after Verdict) bool
}

// Course is the way of one request.
type Course struct {
	Limits

	last     Verdict // of the last offer
	offers   int
	refusals int
	losses   int
	misses   int
	unhelped int
	outcome  Outcome // by all offers so far
}

// Run offers a request until it has an end.
func (c *Course) Run(ctx context.Context, carrier Carrier) Ending {
	for {
		if !carrier.Choose(ctx) {
			return NoTarget
		}
		c.Record(carrier.Offer(ctx))
		switch {
		case c.last == Done || c.last == CallerGone:
			return Answered
		case ctx.Err() != nil || !c.mayRepeat():
			return Spent
		case c.last != Unsent && !carrier.Spend(c.last):
			// What was not sent has cost no target anything.
			return OverBudget
		}
	}
}

// Record takes in the verdict of an offer.
func (c *Course) Record(verdict Verdict) {
	c.last = verdict
	switch verdict {
	case Unsent, Elsewhere:
		c.misses++
	case Unhelped:
		c.unhelped++
	case Refused:
		c.offers++
		c.refusals++
	case Failed:
		c.offers++
		c.losses++
		c.outcome = FailedOnce
	case Lost, Expired:
		c.offers++
		c.losses++
		c.outcome = max(c.outcome, Unknown)
	case Impossible, Done, CallerGone:
	}
}

// mayRepeat reports whether the request may be offered once more after the
// last verdict.
func (c *Course) mayRepeat() bool {
	switch c.last {
	case Unsent, Elsewhere:
		return c.misses < c.Misses
	case Unhelped:
		return c.unhelped < c.Unhelped
	case Refused:
		return c.offers < c.Offers && c.refusals <= c.Refusals && (c.Repeatable || c.outcome == NotRun)
	case Lost, Failed:
		return c.offers < c.Offers && c.losses <= c.Losses && c.Repeatable
	default:
		return false
	}
}

// Last returns the verdict of the last offer.
func (c *Course) Last() Verdict { return c.last }

// Outcome returns what the caller may be told. Only NotRun promises that the
// request never runs.
func (c *Course) Outcome() Outcome { return c.outcome }

// LastChance reports whether an offer that is lost now is not repeated.
func (c *Course) LastChance() bool {
	return !c.Repeatable || c.offers+1 >= c.Offers || c.losses >= c.Losses
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Verdict -linecomment
