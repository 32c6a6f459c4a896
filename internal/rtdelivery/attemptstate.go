// Package rtdelivery drives one request from its first attempt to its end. It
// decides whether another attempt follows and what the caller may be told, by
// the same rules for all interfaces that callers use. The code of an interface
// selects targets, makes the attempts and relays the answers.
package rtdelivery

import "context"

// AttemptOutcome is the result of one attempt at one target.
type AttemptOutcome int

// The outcomes of an attempt. The comments are the texts of String.
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
	Crashed                             // target crashed, perhaps because of the request
	Unconfirmed                         // answered, but perhaps not to the end
)

// Outcome is what is known of the execution of a request.
type Outcome int

// The outcomes of a request. If attempts lead to different ones, the greatest
// holds.
const (
	NotRun       Outcome = iota // it has not run and never will
	Unknown                     // it may have run
	RanAndFailed                // it ran and failed, as a target reported
)

// EndReason is why no further attempt follows.
type EndReason int

// The end reasons.
const (
	// Answered says that the caller got its whole answer or has disconnected.
	Answered EndReason = iota
	// NoTarget says that no target was selected.
	NoTarget
	// AttemptsExhausted says that the request must not be sent again, or that
	// its context has ended.
	AttemptsExhausted
	// RetryBudgetExhausted says that the retry budget allows no further attempt.
	RetryBudgetExhausted
)

// Limits bound the attempts of one request.
type Limits struct {
	MaxAttempts       int  // attempts that may have reached a target
	MaxRefusals       int  // refusals after which it is sent again
	MaxLosses         int  // lost or failed attempts after which it is sent again
	MaxUndelivered    int  // attempts that reached no target, or the wrong one
	MaxHelperRefusals int  // attempts that a helper refused
	Repeatable        bool // it may run more than once
}

// AttemptRunner is what an interface to callers implements to deliver a request.
type AttemptRunner interface {
	// SelectTarget selects the target of the next attempt. It reports false if
	// there is none, or the caller has disconnected.
	SelectTarget(ctx context.Context) bool
	// Attempt sends the request to the selected target and relays the answer to
	// its end.
	Attempt(ctx context.Context) AttemptOutcome
	// TakeRetry takes one retry after the given outcome from the retry budget.
	// It reports false if the budget is exhausted.
	TakeRetry(after AttemptOutcome) bool
}

// AttemptState is the state of the attempts of one request.
type AttemptState struct {
	Limits

	lastOutcome    AttemptOutcome
	attempts       int
	refusals       int
	losses         int
	undelivered    int
	helperRefusals int
	outcome        Outcome // after all attempts so far
}

// Run makes attempts until the request is answered or must not be sent again.
func (s *AttemptState) Run(ctx context.Context, runner AttemptRunner) EndReason {
	for {
		if !runner.SelectTarget(ctx) {
			return NoTarget
		}
		s.Record(runner.Attempt(ctx))
		switch {
		case s.lastOutcome == Done || s.lastOutcome == CallerGone:
			return Answered
		case ctx.Err() != nil || !s.mayRetry():
			return AttemptsExhausted
		case s.lastOutcome != NotSent && !runner.TakeRetry(s.lastOutcome):
			// An attempt that was not sent adds no load and needs no budget.
			return RetryBudgetExhausted
		}
	}
}

// Record counts the outcome of an attempt.
func (s *AttemptState) Record(outcome AttemptOutcome) {
	s.lastOutcome = outcome
	switch outcome {
	case NotSent, WrongTarget:
		s.undelivered++
	case HelperRefused:
		s.helperRefusals++
	case Refused:
		s.attempts++
		s.refusals++
	case Failed:
		s.attempts++
		s.losses++
		s.outcome = RanAndFailed
	case Lost, Expired, Crashed, Unconfirmed:
		s.attempts++
		s.losses++
		s.outcome = max(s.outcome, Unknown)
	case Infeasible, Done, CallerGone:
	}
}

// RecordExtra counts an attempt that was made beside the current one and whose answer is
// not passed on. It is no loss: either it was cancelled, or the current one follows it.
func (s *AttemptState) RecordExtra(mayHaveRun bool) {
	s.attempts++
	if mayHaveRun {
		s.outcome = max(s.outcome, Unknown)
	}
}

// mayRetry reports whether another attempt may follow the last one.
func (s *AttemptState) mayRetry() bool {
	switch s.lastOutcome {
	case NotSent, WrongTarget:
		return s.undelivered < s.MaxUndelivered
	case HelperRefused:
		return s.helperRefusals < s.MaxHelperRefusals
	case Refused:
		return s.attempts < s.MaxAttempts && s.refusals <= s.MaxRefusals && (s.Repeatable || s.outcome == NotRun)
	case Lost, Failed, Unconfirmed:
		return s.attempts < s.MaxAttempts && s.losses <= s.MaxLosses && s.Repeatable
	default:
		return false
	}
}

// LastOutcome returns the outcome of the last attempt.
func (s *AttemptState) LastOutcome() AttemptOutcome { return s.lastOutcome }

// Outcome returns what the caller may be told. Only NotRun promises that the
// request has not run and never will. Attempts with the outcomes Done and
// CallerGone do not count, because nothing remains to be told after them.
func (s *AttemptState) Outcome() Outcome { return s.outcome }

// HasLoss reports whether an attempt was lost or has failed.
func (s *AttemptState) HasLoss() bool { return s.losses > 0 }

// IsLastAttempt reports whether no further attempt follows if the current one
// is lost.
func (s *AttemptState) IsLastAttempt() bool {
	return !s.Repeatable || s.attempts+1 >= s.MaxAttempts || s.losses >= s.MaxLosses
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=AttemptOutcome -linecomment
