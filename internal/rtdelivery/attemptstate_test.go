package rtdelivery

import (
	"context"
	"testing"

	"pgregory.net/rapid"
)

// scriptedRunner is a runner whose attempts have given outcomes.
type scriptedRunner struct {
	outcomes []AttemptOutcome
	budget   int
	made     []AttemptOutcome
}

func (s *scriptedRunner) SelectTarget(context.Context) bool { return len(s.made) < len(s.outcomes) }

func (s *scriptedRunner) Attempt(context.Context) AttemptOutcome {
	outcome := s.outcomes[len(s.made)]
	s.made = append(s.made, outcome)
	return outcome
}

func (s *scriptedRunner) TakeRetry(AttemptOutcome) bool {
	s.budget--
	return s.budget >= 0
}

var (
	orderLimits      = Limits{MaxAttempts: 1, MaxRefusals: 1, MaxLosses: 1, MaxUndelivered: 3, MaxHelperRefusals: 2}
	twoAttemptLimits = Limits{MaxAttempts: 2, MaxRefusals: 2, MaxLosses: 2, MaxUndelivered: 3, MaxHelperRefusals: 2}
	streamLimits     = Limits{MaxAttempts: 2, MaxRefusals: 2, MaxLosses: 2, MaxUndelivered: 3, MaxHelperRefusals: 2, Repeatable: true}
	draftLimits      = Limits{MaxAttempts: 4, MaxRefusals: 2, MaxLosses: 1, Repeatable: true}
)

// Guards against another attempt of a request that must run only once and may
// have run already, and against a request that is given up although another
// attempt is allowed.
func TestRun(t *testing.T) {
	tests := []struct {
		name     string
		limits   Limits
		budget   int
		outcomes []AttemptOutcome
		attempts int
		reason   EndReason
		outcome  Outcome
	}{
		{"answered", orderLimits, 9, []AttemptOutcome{Done}, 1, Answered, NotRun},
		{"caller disconnected", streamLimits, 9, []AttemptOutcome{CallerGone, Done}, 1, Answered, NotRun},
		{"order lost", orderLimits, 9, []AttemptOutcome{Lost, Done}, 1, AttemptsExhausted, Unknown},
		{"order of two attempts lost", twoAttemptLimits, 9, []AttemptOutcome{Lost, Done}, 1, AttemptsExhausted, Unknown},
		{"order of two attempts refused", twoAttemptLimits, 9, []AttemptOutcome{Refused, Done}, 2, Answered, NotRun},
		{"order of two attempts refused, then lost", twoAttemptLimits, 9, []AttemptOutcome{Refused, Lost, Done}, 2, AttemptsExhausted, Unknown},
		{"order refused", orderLimits, 9, []AttemptOutcome{Refused, Done}, 1, AttemptsExhausted, NotRun},
		{"order not sent", orderLimits, 0, []AttemptOutcome{NotSent, NotSent, Done}, 3, Answered, NotRun},
		{"order not sent to any", orderLimits, 0, []AttemptOutcome{NotSent, NotSent, NotSent, Done}, 3, AttemptsExhausted, NotRun},
		{"order reached the wrong target", orderLimits, 9, []AttemptOutcome{WrongTarget, Done}, 2, Answered, NotRun},
		{"order failed", orderLimits, 9, []AttemptOutcome{Failed, Done}, 1, AttemptsExhausted, RanAndFailed},
		{"stream lost", streamLimits, 9, []AttemptOutcome{Lost, Done}, 2, Answered, Unknown},
		{"stream lost twice", streamLimits, 9, []AttemptOutcome{Lost, Lost, Done}, 2, AttemptsExhausted, Unknown},
		{"stream lost, then refused", streamLimits, 9, []AttemptOutcome{Lost, Refused, Done}, 2, AttemptsExhausted, Unknown},
		{"stream lost, no budget", streamLimits, 0, []AttemptOutcome{Lost, Done}, 1, RetryBudgetExhausted, Unknown},
		{"stream failed, then lost", streamLimits, 9, []AttemptOutcome{Failed, Lost}, 2, AttemptsExhausted, RanAndFailed},
		{"helpers refuse", streamLimits, 9, []AttemptOutcome{HelperRefused, Done}, 2, Answered, NotRun},
		{"helpers refuse again", streamLimits, 9, []AttemptOutcome{HelperRefused, HelperRefused, Done}, 2, AttemptsExhausted, NotRun},
		{"infeasible at all targets", streamLimits, 9, []AttemptOutcome{Infeasible, Done}, 1, AttemptsExhausted, NotRun},
		{"expired", streamLimits, 9, []AttemptOutcome{Expired, Done}, 1, AttemptsExhausted, Unknown},
		{"draft refused twice", draftLimits, 9, []AttemptOutcome{Refused, Refused, Done}, 3, Answered, NotRun},
		{"draft refused three times", draftLimits, 9, []AttemptOutcome{Refused, Refused, Refused, Done}, 3, AttemptsExhausted, NotRun},
		{"draft refused, lost and refused", draftLimits, 9, []AttemptOutcome{Refused, Lost, Refused, Done}, 4, Answered, Unknown},
		{"draft lost twice", draftLimits, 9, []AttemptOutcome{Lost, Lost, Done}, 2, AttemptsExhausted, Unknown},
		{"stream crashed its target", streamLimits, 9, []AttemptOutcome{Crashed, Done}, 1, AttemptsExhausted, Unknown},
		{"stream refused, then crashed its target", streamLimits, 9, []AttemptOutcome{Refused, Crashed, Done}, 2, AttemptsExhausted, Unknown},
		{"no target left", draftLimits, 9, []AttemptOutcome{Refused}, 1, NoTarget, NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := AttemptState{Limits: test.limits}
			runner := &scriptedRunner{outcomes: test.outcomes, budget: test.budget}
			reason := state.Run(context.Background(), runner)
			if len(runner.made) != test.attempts || reason != test.reason || state.Outcome() != test.outcome {
				t.Errorf("%d attempts, end reason %v, outcome %v; want %d, %v, %v",
					len(runner.made), reason, state.Outcome(), test.attempts, test.reason, test.outcome)
			}
		})
	}
}

// disconnectingRunner is a runner whose caller disconnects during the first
// attempt.
type disconnectingRunner struct {
	scriptedRunner
	disconnect context.CancelFunc
}

func (d *disconnectingRunner) Attempt(ctx context.Context) AttemptOutcome {
	d.disconnect()
	return d.scriptedRunner.Attempt(ctx)
}

// Guards against attempts for a caller that has disconnected, and against
// retries that are taken from the budget for it.
func TestRunEndsWithItsCaller(t *testing.T) {
	for _, outcome := range []AttemptOutcome{NotSent, WrongTarget, HelperRefused, Refused, Lost, Failed} {
		ctx, cancel := context.WithCancel(context.Background())
		runner := &disconnectingRunner{scriptedRunner: scriptedRunner{outcomes: []AttemptOutcome{outcome, Done}, budget: 1}, disconnect: cancel}
		state := AttemptState{Limits: streamLimits}
		if reason := state.Run(ctx, runner); reason != AttemptsExhausted || len(runner.made) != 1 || runner.budget != 1 {
			t.Errorf("%v: end reason %v after %d attempts, budget %d; want AttemptsExhausted after 1, budget 1", outcome, reason, len(runner.made), runner.budget)
		}
	}
}

// Guards against a second run of a request that may run only once, and against
// the outcome NotRun for a request that has run, under all sequences of
// attempt outcomes and all limits.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 4)
		state := AttemptState{Limits: Limits{
			MaxAttempts: count.Draw(t, "attempts"), MaxRefusals: count.Draw(t, "refusals"), MaxLosses: count.Draw(t, "losses"),
			MaxUndelivered: count.Draw(t, "undelivered"), MaxHelperRefusals: count.Draw(t, "helper refusals"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
		}}
		outcome := rapid.Custom(func(t *rapid.T) AttemptOutcome {
			return AttemptOutcome(rapid.IntRange(int(Lost), int(Crashed)).Draw(t, "outcome"))
		})
		runner := &scriptedRunner{outcomes: rapid.SliceOfN(outcome, 1, 20).Draw(t, "outcomes"), budget: 20}
		state.Run(context.Background(), runner)
		ran, reached := 0, 0
		for _, made := range runner.made {
			switch made {
			case Lost, Failed, Expired, Crashed, CallerGone, Done:
				ran++
				reached++
			case Refused:
				reached++
			}
		}
		if ran > 1 && !state.Repeatable {
			t.Fatalf("not repeatable, but may have run %d times after %v", ran, runner.made)
		}
		if reached > max(1, state.MaxAttempts) {
			t.Fatalf("%d targets may have received it, want at most %d, after %v", reached, state.MaxAttempts, runner.made)
		}
		last := state.LastOutcome()
		if state.Outcome() == NotRun && ran > 0 && last != Done && last != CallerGone {
			t.Fatalf("outcome NotRun after %v", runner.made)
		}
	})
}
