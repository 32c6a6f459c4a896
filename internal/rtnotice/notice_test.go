package rtnotice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against a leave that ends by itself, by another report of it, or by the next
// start of the target, and against one that is taken for that of the next start.
func TestLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leaves Leaves
		first, next := rtid.TargetIncarnation{ID: "i-1", Born: 1}, rtid.TargetIncarnation{ID: "i-1", Born: 2}
		heard := time.Now()
		if !leaves.Record(Leave{Target: first, Heard: heard}) {
			t.Error("the first report is not new")
		}
		time.Sleep(24 * time.Hour)
		if leaves.Record(Leave{Target: first, Heard: time.Now(), Source: FromPeer}) {
			t.Error("a repeated report is new")
		}
		if !leaves.Leaving(first) || leaves.Leaving(next) {
			t.Errorf("first start leaving %v, next %v; want true, false", leaves.Leaving(first), leaves.Leaving(next))
		}
		leaves.Record(Leave{Target: next, Heard: time.Now()})
		if got := leaves.List(); len(got) != 2 || got[0].Target != next || got[1].Heard != heard || got[1].Source != FromTarget {
			t.Errorf("leaves %+v, want the next start, then the first as first heard", got)
		}
		leaves.Forget(func(l Leave) bool { return l.Target == first })
		if leaves.Leaving(first) || !leaves.Leaving(next) {
			t.Error("want only the first start forgotten")
		}
	})
}

// Guards against the memory that targets with ever new IDs fill.
func TestBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leaves Leaves
		var backoffs Backoffs
		target := func(i int) rtid.TargetIncarnation {
			return rtid.TargetIncarnation{ID: rtid.Target(fmt.Sprint("i-", i))}
		}
		for i := range maxTargets + 10 {
			time.Sleep(time.Millisecond)
			leaves.Record(Leave{Target: target(i), Heard: time.Now()})
			backoffs.Record(target(i), time.Hour, time.Now())
		}
		if got := leaves.Len(); got != maxTargets || leaves.Leaving(target(9)) || !leaves.Leaving(target(10)) {
			t.Errorf("%d leaves, want the newest %d", got, maxTargets)
		}
		if got := len(backoffs.List(time.Now())); got != maxTargets || backoffs.Remaining(target(9), time.Now()) > 0 {
			t.Errorf("%d pauses, want the %d that end last", got, maxTargets)
		}
	})
}

// Guards against a pause that ends before the last of those that its target has asked
// for, in whatever order the responses come, and against one that does not end.
func TestBackoffs(t *testing.T) {
	target, other := rtid.TargetIncarnation{ID: "i-1", Born: 1}, rtid.TargetIncarnation{ID: "i-1", Born: 2}
	type wish struct{ after, length time.Duration }
	const s = time.Second
	tests := []struct {
		name   string
		wishes []wish
		end    time.Duration
	}{
		{"one", []wish{{0, 3 * s}}, 3 * s},
		{"longer", []wish{{0, 3 * s}, {s, 5 * s}}, 6 * s},
		{"shorter", []wish{{0, 5 * s}, {s, s}}, 5 * s},
		{"none", []wish{{0, 5 * s}, {s, 0}}, 5 * s},
		{"negative", []wish{{0, 5 * s}, {s, -9 * s}}, 5 * s},
		{"after the end", []wish{{0, s}, {3 * s, 2 * s}}, 5 * s},
		{"longer than any", []wish{{0, 365 * 24 * time.Hour}}, MaxBackoff},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var backoffs Backoffs
				start := time.Now()
				for _, w := range test.wishes {
					time.Sleep(start.Add(w.after).Sub(time.Now()))
					backoffs.Record(target, w.length, time.Now())
				}
				if backoffs.Remaining(other, time.Now()) > 0 {
					t.Error("the pause holds for another start of the target")
				}
				if got := time.Since(start) + backoffs.Remaining(target, time.Now()); got != test.end {
					t.Errorf("the pause ends after %v, want %v", got, test.end)
				}
				time.Sleep(start.Add(test.end).Sub(time.Now()))
				if got := backoffs.Remaining(target, time.Now()); got > 0 {
					t.Errorf("the pause lasts %v longer, want it over", got)
				}
				backoffs.Forget(time.Now())
				if got := len(backoffs.ends); got > 0 {
					t.Errorf("%d pauses are kept after their end", got)
				}
			})
		})
	}
}

// Guards against more than two requests within a pause that a target has asked for:
// one process sends whenever it may, responses take up to 400 ms and overtake each
// other.
func TestBackoffArrivals(t *testing.T) {
	const (
		notice  = 500 * time.Millisecond
		allowed = 2
	)
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			var backoffs Backoffs
			var arrivals, asked []time.Time
			var ends []time.Time
			type response struct {
				at   time.Time
				wish time.Duration
			}
			var pending []response
			target := rtid.TargetIncarnation{ID: "i-1"}
			for begun := time.Now(); time.Since(begun) < time.Minute; time.Sleep(10 * time.Millisecond) {
				now := time.Now()
				for i := 0; i < len(pending); i++ {
					if !now.Before(pending[i].at) {
						backoffs.Record(target, pending[i].wish, now)
						pending = append(pending[:i], pending[i+1:]...)
						i--
					}
				}
				if backoffs.Remaining(target, now) > 0 {
					continue
				}
				arrivals = append(arrivals, now)
				wish := time.Duration(random.IntN(6000)) * time.Millisecond
				asked, ends = append(asked, now), append(ends, now.Add(wish))
				pending = append(pending, response{at: now.Add(time.Duration(random.IntN(400)) * time.Millisecond), wish: wish})
			}
			for i := range asked {
				count := 0
				for _, at := range arrivals {
					if at.Sub(asked[i]) > notice && at.Before(ends[i]) {
						count++
					}
				}
				if count > allowed {
					t.Errorf("seed %d: %d requests in a pause, want at most %d", seed, count, allowed)
				}
			}
		})
	}
}
