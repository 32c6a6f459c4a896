package rtnotice

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
					time.Sleep(time.Until(start.Add(w.after)))
					backoffs.Record(target, w.length, time.Now())
				}
				if backoffs.Remaining(other, time.Now()) > 0 {
					t.Error("the pause holds for another start of the target")
				}
				if got := time.Since(start) + backoffs.Remaining(target, time.Now()); got != test.end {
					t.Errorf("the pause ends after %v, want %v", got, test.end)
				}
				time.Sleep(time.Until(start.Add(test.end)))
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

// pausingTarget asks for pauses, by responses that take a while and overtake each other.
type pausingTarget struct {
	random   *rand.Rand
	arrivals []time.Time
	ends     []time.Time // of the pause that each of the arrivals was answered with
	pending  []pauseResponse
}

// pauseResponse is a response that is on its way.
type pauseResponse struct {
	at   time.Time
	wish time.Duration
}

// arrive answers a request that arrives now.
func (p *pausingTarget) arrive(now time.Time) {
	wish := time.Duration(p.random.IntN(6000)) * time.Millisecond
	p.arrivals, p.ends = append(p.arrivals, now), append(p.ends, now.Add(wish))
	p.pending = append(p.pending, pauseResponse{at: now.Add(time.Duration(p.random.IntN(400)) * time.Millisecond), wish: wish})
}

// deliver returns the wishes of the responses that have been received by now.
func (p *pausingTarget) deliver(now time.Time) []time.Duration {
	var wishes []time.Duration
	p.pending = slices.DeleteFunc(p.pending, func(r pauseResponse) bool {
		received := !now.Before(r.at)
		if received {
			wishes = append(wishes, r.wish)
		}
		return received
	})
	return wishes
}

// worst returns the most requests that arrived in one pause, from notice after it was
// asked for.
func (p *pausingTarget) worst(notice time.Duration) int {
	most := 0
	for i, asked := range p.arrivals {
		count := 0
		for _, at := range p.arrivals {
			if at.Sub(asked) > notice && at.Before(p.ends[i]) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
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
			var backoffs Backoffs
			target := &pausingTarget{random: rand.New(rand.NewPCG(seed, 0))}
			id := rtid.TargetIncarnation{ID: "i-1"}
			for begun := time.Now(); time.Since(begun) < time.Minute; time.Sleep(10 * time.Millisecond) {
				now := time.Now()
				for _, wish := range target.deliver(now) {
					backoffs.Record(id, wish, now)
				}
				if backoffs.Remaining(id, now) == 0 {
					target.arrive(now)
				}
			}
			if got := target.worst(notice); got > allowed {
				t.Errorf("seed %d: %d requests in a pause, want at most %d", seed, got, allowed)
			}
		})
	}
}
