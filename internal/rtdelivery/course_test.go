package rtdelivery

import (
	"context"
	"testing"

	"pgregory.net/rapid"
)

// scripted is a carrier whose offers lead to given verdicts.
type scripted struct {
	verdicts []Verdict
	budget   int
	made     []Verdict
}

func (s *scripted) Choose(context.Context) bool { return len(s.made) < len(s.verdicts) }

func (s *scripted) Offer(context.Context) Verdict {
	verdict := s.verdicts[len(s.made)]
	s.made = append(s.made, verdict)
	return verdict
}

func (s *scripted) Spend(Verdict) bool {
	s.budget--
	return s.budget >= 0
}

var (
	order  = Limits{Offers: 1, Refusals: 1, Losses: 1, Misses: 3, Unhelped: 2}
	twice  = Limits{Offers: 2, Refusals: 2, Losses: 2, Misses: 3, Unhelped: 2}
	stream = Limits{Offers: 2, Refusals: 2, Losses: 2, Misses: 3, Unhelped: 2, Repeatable: true}
	draft  = Limits{Offers: 4, Refusals: 2, Losses: 1, Repeatable: true}
)

// Guards against a request that is offered once more where it may have run
// already, and against one that is given up while it may go on.
func TestRun(t *testing.T) {
	tests := []struct {
		name     string
		limits   Limits
		budget   int
		verdicts []Verdict
		offers   int
		ending   Ending
		outcome  Outcome
	}{
		{"answered", order, 9, []Verdict{Done}, 1, Answered, NotRun},
		{"caller left", stream, 9, []Verdict{CallerGone, Done}, 1, Answered, NotRun},
		{"order lost", order, 9, []Verdict{Lost, Done}, 1, Spent, Unknown},
		{"order of two attempts lost", twice, 9, []Verdict{Lost, Done}, 1, Spent, Unknown},
		{"order of two attempts refused", twice, 9, []Verdict{Refused, Done}, 2, Answered, NotRun},
		{"order of two attempts refused, then lost", twice, 9, []Verdict{Refused, Lost, Done}, 2, Spent, Unknown},
		{"order refused", order, 9, []Verdict{Refused, Done}, 1, Spent, NotRun},
		{"order not sent", order, 0, []Verdict{Unsent, Unsent, Done}, 3, Answered, NotRun},
		{"order not sent to any", order, 0, []Verdict{Unsent, Unsent, Unsent, Done}, 3, Spent, NotRun},
		{"order met another target", order, 9, []Verdict{Elsewhere, Done}, 2, Answered, NotRun},
		{"order failed", order, 9, []Verdict{Failed, Done}, 1, Spent, FailedOnce},
		{"stream lost", stream, 9, []Verdict{Lost, Done}, 2, Answered, Unknown},
		{"stream lost twice", stream, 9, []Verdict{Lost, Lost, Done}, 2, Spent, Unknown},
		{"stream lost, then refused", stream, 9, []Verdict{Lost, Refused, Done}, 2, Spent, Unknown},
		{"stream lost, no budget", stream, 0, []Verdict{Lost, Done}, 1, OverBudget, Unknown},
		{"stream failed, then lost", stream, 9, []Verdict{Failed, Lost}, 2, Spent, FailedOnce},
		{"helpers refuse", stream, 9, []Verdict{Unhelped, Done}, 2, Answered, NotRun},
		{"helpers refuse again", stream, 9, []Verdict{Unhelped, Unhelped, Done}, 2, Spent, NotRun},
		{"too large for all", stream, 9, []Verdict{Impossible, Done}, 1, Spent, NotRun},
		{"time over", stream, 9, []Verdict{Expired, Done}, 1, Spent, Unknown},
		{"draft refused twice", draft, 9, []Verdict{Refused, Refused, Done}, 3, Answered, NotRun},
		{"draft refused three times", draft, 9, []Verdict{Refused, Refused, Refused, Done}, 3, Spent, NotRun},
		{"draft moved and refused", draft, 9, []Verdict{Refused, Lost, Refused, Done}, 4, Answered, Unknown},
		{"draft lost twice", draft, 9, []Verdict{Lost, Lost, Done}, 2, Spent, Unknown},
		{"no target left", draft, 9, []Verdict{Refused}, 1, NoTarget, NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			course := Course{Limits: test.limits}
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

func (l *leaving) Offer(ctx context.Context) Verdict {
	l.leave()
	return l.scripted.Offer(ctx)
}

// Guards against work for a caller that has left, and against a retry that is
// taken from the budget for it.
func TestRunEndsWithItsCaller(t *testing.T) {
	for _, verdict := range []Verdict{Unsent, Elsewhere, Unhelped, Refused, Lost, Failed} {
		ctx, cancel := context.WithCancel(context.Background())
		carrier := &leaving{scripted: scripted{verdicts: []Verdict{verdict, Done}, budget: 1}, leave: cancel}
		course := Course{Limits: stream}
		if ending := course.Run(ctx, carrier); ending != Spent || len(carrier.made) != 1 || carrier.budget != 1 {
			t.Errorf("%v: ending %v after %d offers, budget %d", verdict, ending, len(carrier.made), carrier.budget)
		}
	}
}

// Guards against a second run of what may run once, and against a promise that
// is not true, for all sequences of verdicts and all limits.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 4)
		course := Course{Limits: Limits{
			Offers: count.Draw(t, "offers"), Refusals: count.Draw(t, "refusals"), Losses: count.Draw(t, "losses"),
			Misses: count.Draw(t, "misses"), Unhelped: count.Draw(t, "unhelped"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
		}}
		verdict := rapid.Custom(func(t *rapid.T) Verdict { return Verdict(rapid.IntRange(int(Lost), int(Expired)).Draw(t, "verdict")) })
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
		if reached > max(1, course.Offers) {
			t.Fatalf("%d targets may have got it, %d are allowed, after %v", reached, course.Offers, carrier.made)
		}
		last := course.Last()
		if course.Outcome() == NotRun && ran > 0 && last != Done && last != CallerGone {
			t.Fatalf("promised not to have run after %v", carrier.made)
		}
	})
}
