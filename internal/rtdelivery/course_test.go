package rtdelivery

import (
	"context"
	"testing"

	"pgregory.net/rapid"
)

// scripted is a carrier whose offers lead to given verdicts.
type scripted struct {
	verdicts []AttemptOutcome
	budget   int
	made     []AttemptOutcome
}

func (s *scripted) SelectTarget(context.Context) bool { return len(s.made) < len(s.verdicts) }

func (s *scripted) Attempt(context.Context) AttemptOutcome {
	verdict := s.verdicts[len(s.made)]
	s.made = append(s.made, verdict)
	return verdict
}

func (s *scripted) TakeRetry(AttemptOutcome) bool {
	s.budget--
	return s.budget >= 0
}

var (
	order  = Limits{MaxAttempts: 1, MaxRefusals: 1, MaxLosses: 1, MaxUndelivered: 3, MaxHelperRefusals: 2}
	twice  = Limits{MaxAttempts: 2, MaxRefusals: 2, MaxLosses: 2, MaxUndelivered: 3, MaxHelperRefusals: 2}
	stream = Limits{MaxAttempts: 2, MaxRefusals: 2, MaxLosses: 2, MaxUndelivered: 3, MaxHelperRefusals: 2, Repeatable: true}
	draft  = Limits{MaxAttempts: 4, MaxRefusals: 2, MaxLosses: 1, Repeatable: true}
)

// Guards against a request that is offered once more where it may have run
// already, and against one that is given up while it may go on.
func TestRun(t *testing.T) {
	tests := []struct {
		name     string
		limits   Limits
		budget   int
		verdicts []AttemptOutcome
		offers   int
		ending   EndReason
		outcome  Outcome
	}{
		{"answered", order, 9, []AttemptOutcome{Done}, 1, Answered, NotRun},
		{"caller left", stream, 9, []AttemptOutcome{CallerGone, Done}, 1, Answered, NotRun},
		{"order lost", order, 9, []AttemptOutcome{Lost, Done}, 1, AttemptsExhausted, Unknown},
		{"order of two attempts lost", twice, 9, []AttemptOutcome{Lost, Done}, 1, AttemptsExhausted, Unknown},
		{"order of two attempts refused", twice, 9, []AttemptOutcome{Refused, Done}, 2, Answered, NotRun},
		{"order of two attempts refused, then lost", twice, 9, []AttemptOutcome{Refused, Lost, Done}, 2, AttemptsExhausted, Unknown},
		{"order refused", order, 9, []AttemptOutcome{Refused, Done}, 1, AttemptsExhausted, NotRun},
		{"order not sent", order, 0, []AttemptOutcome{NotSent, NotSent, Done}, 3, Answered, NotRun},
		{"order not sent to any", order, 0, []AttemptOutcome{NotSent, NotSent, NotSent, Done}, 3, AttemptsExhausted, NotRun},
		{"order met another target", order, 9, []AttemptOutcome{WrongTarget, Done}, 2, Answered, NotRun},
		{"order failed", order, 9, []AttemptOutcome{Failed, Done}, 1, AttemptsExhausted, RanAndFailed},
		{"stream lost", stream, 9, []AttemptOutcome{Lost, Done}, 2, Answered, Unknown},
		{"stream lost twice", stream, 9, []AttemptOutcome{Lost, Lost, Done}, 2, AttemptsExhausted, Unknown},
		{"stream lost, then refused", stream, 9, []AttemptOutcome{Lost, Refused, Done}, 2, AttemptsExhausted, Unknown},
		{"stream lost, no budget", stream, 0, []AttemptOutcome{Lost, Done}, 1, RetryBudgetExhausted, Unknown},
		{"stream failed, then lost", stream, 9, []AttemptOutcome{Failed, Lost}, 2, AttemptsExhausted, RanAndFailed},
		{"helpers refuse", stream, 9, []AttemptOutcome{HelperRefused, Done}, 2, Answered, NotRun},
		{"helpers refuse again", stream, 9, []AttemptOutcome{HelperRefused, HelperRefused, Done}, 2, AttemptsExhausted, NotRun},
		{"too large for all", stream, 9, []AttemptOutcome{Infeasible, Done}, 1, AttemptsExhausted, NotRun},
		{"time over", stream, 9, []AttemptOutcome{Expired, Done}, 1, AttemptsExhausted, Unknown},
		{"draft refused twice", draft, 9, []AttemptOutcome{Refused, Refused, Done}, 3, Answered, NotRun},
		{"draft refused three times", draft, 9, []AttemptOutcome{Refused, Refused, Refused, Done}, 3, AttemptsExhausted, NotRun},
		{"draft moved and refused", draft, 9, []AttemptOutcome{Refused, Lost, Refused, Done}, 4, Answered, Unknown},
		{"draft lost twice", draft, 9, []AttemptOutcome{Lost, Lost, Done}, 2, AttemptsExhausted, Unknown},
		{"no target left", draft, 9, []AttemptOutcome{Refused}, 1, NoTarget, NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			course := AttemptState{Limits: test.limits}
			carrier := &scripted{verdicts: test.verdicts, budget: test.budget}
			ending := course.Run(context.Background(), carrier)
			if len(carrier.made) != test.offers || ending != test.ending || course.Outcome() != test.outcome {
				t.Errorf("%d offers, ending %v, outcome %v; want %d, %v, %v",
					len(carrier.made), ending, course.Outcome(), test.offers, test.ending, test.outcome)
			}
		})
	}
}

// leaving is a carrier whose caller leaves during the first offer.
type leaving struct {
	scripted
	leave context.CancelFunc
}

func (l *leaving) Attempt(ctx context.Context) AttemptOutcome {
	l.leave()
	return l.scripted.Attempt(ctx)
}

// Guards against work for a caller that has left, and against a retry that is
// taken from the budget for it.
func TestRunEndsWithItsCaller(t *testing.T) {
	for _, verdict := range []AttemptOutcome{NotSent, WrongTarget, HelperRefused, Refused, Lost, Failed} {
		ctx, cancel := context.WithCancel(context.Background())
		carrier := &leaving{scripted: scripted{verdicts: []AttemptOutcome{verdict, Done}, budget: 1}, leave: cancel}
		course := AttemptState{Limits: stream}
		if ending := course.Run(ctx, carrier); ending != AttemptsExhausted || len(carrier.made) != 1 || carrier.budget != 1 {
			t.Errorf("%v: ending %v after %d offers, budget %d", verdict, ending, len(carrier.made), carrier.budget)
		}
	}
}

// Guards against a second run of what may run once, and against a promise that
// is not true, for all sequences of verdicts and all limits.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 4)
		course := AttemptState{Limits: Limits{
			MaxAttempts: count.Draw(t, "offers"), MaxRefusals: count.Draw(t, "refusals"), MaxLosses: count.Draw(t, "losses"),
			MaxUndelivered: count.Draw(t, "misses"), MaxHelperRefusals: count.Draw(t, "unhelped"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
		}}
		verdict := rapid.Custom(func(t *rapid.T) AttemptOutcome {
			return AttemptOutcome(rapid.IntRange(int(Lost), int(Expired)).Draw(t, "verdict"))
		})
		carrier := &scripted{verdicts: rapid.SliceOfN(verdict, 1, 20).Draw(t, "verdicts"), budget: 20}
		course.Run(context.Background(), carrier)
		ran, reached := 0, 0
		for _, made := range carrier.made {
			switch made {
			case Lost, Failed, Expired, CallerGone, Done:
				ran++
				reached++
			case Refused:
				reached++
			}
		}
		if ran > 1 && !course.Repeatable {
			t.Fatalf("may have run %d times after %v", ran, carrier.made)
		}
		if reached > max(1, course.MaxAttempts) {
			t.Fatalf("%d targets may have got it, %d are allowed, after %v", reached, course.MaxAttempts, carrier.made)
		}
		last := course.LastOutcome()
		if course.Outcome() == NotRun && ran > 0 && last != Done && last != CallerGone {
			t.Fatalf("promised not to have run after %v", carrier.made)
		}
	})
}
