package rtlimit

import (
	"slices"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

var limited = rtid.TargetIncarnation{ID: "t1", Born: 1}

// at returns a time of the tests.
func at(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

// said returns a statement that the target made between two times.
func said(rate Rate, sent, heard int) Statement {
	return Statement{Target: limited, Rate: rate, Sent: at(sent), Heard: at(heard)}
}

// Guards against a response that was sent before the target named its limit and
// lifts or raises it, and against a limit that is never lifted.
func TestOvertakingResponses(t *testing.T) {
	tests := []struct {
		name       string
		statements []Statement
		want       Rate
	}{
		{"named", []Statement{said(2, 0, 100)}, 2},
		{"no limit, never named", []Statement{said(Unlimited, 0, 100)}, Unlimited},
		{"overtaken response without a limit", []Statement{said(2, 50, 100), said(Unlimited, 0, 150)}, 2},
		{"a request that was sent before the limit was heard", []Statement{said(2, 50, 100), said(Unlimited, 90, 150)}, 2},
		{"a request that was sent after the limit was heard", []Statement{said(2, 50, 100), said(Unlimited, 110, 150)}, Unlimited},
		{"overtaken higher limit", []Statement{said(2, 50, 100), said(9, 0, 150)}, 2},
		{"later higher limit", []Statement{said(2, 50, 100), said(9, 110, 150)}, 9},
		{"lower limit at once", []Statement{said(9, 50, 100), said(2, 0, 150)}, 2},
		{"older limit from a peer", []Statement{said(2, 0, 100), said(Unlimited, 110, 150), said(2, 0, 90)}, Unlimited},
		{"older lower limit from a peer", []Statement{said(9, 200, 300), said(2, 0, 90)}, 9},
		{"another incarnation", []Statement{{Target: rtid.TargetIncarnation{ID: "t1", Born: 2}, Rate: 2, Heard: at(100)}}, Unlimited},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var limits TargetLimits
			for i, s := range test.statements {
				limits.Record(s, Source(i%2), s.Heard)
			}
			got := Unlimited
			for _, limit := range limits.Limits() {
				if limit.Target == limited {
					got = limit.Rate
				}
			}
			if got != test.want {
				t.Errorf("limit %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against statements whose effect depends on the order in which they arrive
// from peers, if the times show in which order the target made them.
func TestStatementsInAnyOrder(t *testing.T) {
	statements := []Statement{said(2, 0, 100), said(Unlimited, 110, 150), said(5, 160, 200), said(1, 210, 260), said(3, 270, 300)}
	for _, order := range [][]int{{0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 0, 4, 1, 3}, {1, 4, 0, 2, 3}} {
		var limits TargetLimits
		for _, i := range order {
			limits.Record(statements[i], FromPeer, at(300))
		}
		if got := limits.Limits(); len(got) != 1 || got[0].Rate != 3 {
			t.Errorf("order %v: limits %+v, want 3", order, got)
		}
	}
}

// Guards against limits of peers that are passed on, which would never grow old,
// and against one that has been lifted and that peers do not learn of.
func TestReportedStatements(t *testing.T) {
	var limits TargetLimits
	limits.Record(said(2, 0, 100), FromPeer, at(100))
	if got := limits.Statements(at(100)); len(got) != 0 {
		t.Errorf("the limit of a peer is passed on: %+v", got)
	}
	limits.Record(said(2, 110, 150), FromTarget, at(150))
	limits.Record(said(Unlimited, 160, 200), FromTarget, at(200))
	if got := limits.Statements(at(300)); len(got) != 1 || got[0].Rate != Unlimited {
		t.Errorf("statements %+v, want that there is no limit", got)
	}
	if got := limits.Statements(at(200).Add(liftedRetention + time.Second)); len(got) != 0 {
		t.Errorf("statements %+v long after the limit was lifted, want none", got)
	}
}

// Guards against a target that gets no request because of a very low limit, and
// could never lift it, and against short requests that take each place of a limit
// before a long one can.
func TestLimitWaits(t *testing.T) {
	one := Share{Processes: 1}
	tests := []struct {
		name  string
		rate  Rate
		share Share
		short bool
		sends int // before the limit was named
		after time.Duration
		want  time.Duration
	}{
		{"just named", 2, one, false, 0, 0, 500 * time.Millisecond},
		{"a place", 2, one, false, 0, 500 * time.Millisecond, 0},
		{"sends without the limit count", 2, one, false, 20, 2 * time.Second, 2 * time.Second},
		{"almost no requests", 0.0001, one, false, 0, 0, 10 * time.Second},
		{"not a sender", 1, Share{Rank: 5, Processes: 29}, false, 0, time.Hour, Never},
		{"a sender", 1, Share{Rank: 4, Processes: 29}, false, 0, 5 * time.Second, 0},
		{"few processes all send", 1, Share{Rank: 3, Processes: 4}, false, 0, 4 * time.Second, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var limits TargetLimits
			sends := Window{Span: TargetWindow}
			for range test.sends {
				sends.Add(startTime)
			}
			limits.Record(said(test.rate, 0, 0), FromTarget, startTime)
			if got := limits.Wait(limited, test.share, test.short, &sends, startTime.Add(test.after)); got != test.want {
				t.Errorf("wait %v, want %v", got, test.want)
			}
		})
	}
	t.Run("short requests leave a place for a while", func(t *testing.T) {
		var limits TargetLimits
		sends := Window{Span: TargetWindow}
		limits.Record(said(1, 0, 0), FromTarget, startTime)
		many := Share{Processes: 5}
		limits.Wait(limited, many, false, &sends, at(5000))
		limits.Take(limited, many, at(5000))
		for _, step := range []struct {
			short bool
			after int
			want  time.Duration
		}{{false, 10000, 0}, {true, 10000, 1250 * time.Millisecond}, {true, 11250, 0}} {
			if got := limits.Wait(limited, many, step.short, &sends, at(step.after)); got != step.want {
				t.Errorf("short %v after %d ms: wait %v, want %v", step.short, step.after, got, step.want)
			}
		}
	})
}

// Guards against limits of targets that have ended and use memory for ever.
func TestManyLimitedTargets(t *testing.T) {
	var limits TargetLimits
	for i := range 2 * maxTargetLimits {
		s := Statement{Target: rtid.TargetIncarnation{ID: "t", Born: rtid.Incarnation(i)}, Rate: 1, Heard: at(i)}
		limits.Record(s, FromTarget, at(i))
	}
	got := limits.Limits()
	newest := slices.ContainsFunc(got, func(l TargetLimit) bool { return l.Target.Born == 2*maxTargetLimits-1 })
	if len(got) != maxTargetLimits || !newest {
		t.Errorf("%d limits, the newest among them: %v; want %d with the newest", len(got), newest, maxTargetLimits)
	}
	limits.Forget(func(Statement) bool { return true })
	if got := limits.Limits(); len(got) != 0 {
		t.Errorf("%d limits are left", len(got))
	}
}
