package rtshare

import (
	"slices"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against requests that are tried out of order, and against one that holds up the
// others because it has left, been sent or does not respond.
func TestTurns(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	standings := map[rtid.Organisation]Standing{
		"noisy": {Use: 10 * time.Second, Share: time.Second},
		"court": {Use: 900 * time.Millisecond, Share: time.Second},
		"quiet": {Share: time.Second},
	}
	standing := func(o rtid.Organisation) Standing { return standings[o] }
	waiters := []*Waiter{
		{Rank: 1, Organisation: "quiet", Arrived: start},
		{Rank: 0, Organisation: "noisy", Arrived: start},
		{Rank: 0, Organisation: "court", Arrived: start.Add(2)},
		{Rank: 0, Organisation: "court", Arrived: start.Add(1)},
		{Rank: 0, Organisation: "quiet", Arrived: start.Add(3)},
	}
	want := []int{4, 3, 2, 1, 0}
	tests := []struct {
		name string
		end  func(q *Queue, w *Waiter, now time.Time) *Waiter // of a turn
		left int
	}{
		{"all wait on", (*Queue).Tried, 5},
		{"all leave", (*Queue).Leave, 0},
		{"none responds", func(q *Queue, _ *Waiter, now time.Time) *Waiter {
			if next := q.Begin(now.Add(turnTimeout/2), standing); next != nil {
				t.Error("a turn was taken at once")
			}
			return q.Begin(now.Add(turnTimeout), standing)
		}, 5},
		{"others leave first", func(q *Queue, w *Waiter, now time.Time) *Waiter {
			if next := q.Leave(&Waiter{}, now); next != nil {
				t.Error("a request that does not wait has passed a turn on")
			}
			return q.Tried(w, now)
		}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var q Queue
			for _, w := range waiters {
				q.Join(w)
				q.Join(w)
			}
			var got []int
			now := start.Add(time.Second)
			for w := q.Begin(now, standing); w != nil; w = test.end(&q, w, now) {
				got = append(got, slices.Index(waiters, w))
				if len(got) > 1 {
					now = now.Add(turnTimeout)
				}
			}
			if !slices.Equal(got, want) || q.Len() != test.left {
				t.Errorf("tried %v, want %v; %d wait, want %d", got, want, q.Len(), test.left)
			}
			if next := q.Begin(now.Add(roundInterval), standing); (next != nil) != (test.left > 0) {
				t.Errorf("next round begins with %v", next)
			}
		})
	}
}

// Guards against a round that never ends because the request that has its turn leaves
// out of order.
func TestLeaveInsideRound(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var q Queue
	first, second, third := &Waiter{Arrived: now}, &Waiter{Arrived: now.Add(1)}, &Waiter{Arrived: now.Add(2)}
	for _, w := range []*Waiter{first, second, third} {
		q.Join(w)
	}
	standing := func(rtid.Organisation) Standing { return Standing{} }
	if got := q.Begin(now, standing); got != first {
		t.Fatal("not the first")
	}
	if q.Leave(second, now) != nil {
		t.Error("a request without a turn has passed one on")
	}
	if q.Leave(first, now) != third {
		t.Error("the turn is lost")
	}
	if q.Tried(third, now) != nil || q.Begin(now.Add(roundInterval), standing) != third {
		t.Error("no next round")
	}
}

// Guards against uses that count for longer than they are valid: of a peer that is lost,
// frozen or cut off, and against ones that a digest without uses takes back.
func TestPeersExpire(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	weight := func(rtid.Organisation) float64 { return 1 }
	var l Ledger
	l.Add("talk", "court", time.Second, now)
	l.SetPeer("vm", []Use{{Service: "talk", Organisation: "noisy", Time: 9 * time.Second}, {Service: "talk", Time: time.Second}}, []rtid.Service{"talk"}, now)
	l.SetPeer("vm", nil, []rtid.Service{"talk"}, now.Add(100*time.Millisecond))
	tests := []struct {
		after  time.Duration
		total  time.Duration
		scarce bool
	}{
		{200 * time.Millisecond, 10933 * time.Millisecond, true},
		{1100 * time.Millisecond, 10683 * time.Millisecond, false},
		{2 * time.Second, 500 * time.Millisecond, false},
	}
	for _, test := range tests {
		at := now.Add(test.after)
		total := l.Snapshot("talk", weight, at).Total.Round(time.Millisecond)
		if scarce := l.Scarce("talk", at); scarce != test.scarce || (total-test.total).Abs() > time.Millisecond {
			t.Errorf("after %v: total %v, scarce %v; want %v and %v", test.after, total, scarce, test.total, test.scarce)
		}
	}
}

// Guards against a ledger that grows with the number of names that peers invent.
func TestLedgerIsBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var l Ledger
	for i := range 2 * maxPeers {
		l.SetPeer(rtid.VM(rune(i)+1), []Use{{Service: "talk", Organisation: "noisy", Time: MaxUse}}, nil, now)
	}
	if len(l.peers) > maxPeers {
		t.Errorf("%d peers are kept", len(l.peers))
	}
	l.Lack("talk", "court", now)
	for i := range 300 {
		l.Add("talk", rtid.Organisation(rune(i)+1), time.Second, now)
	}
	if uses := l.Report(1000, now); len(uses) != MaxReported+1 {
		t.Errorf("%d uses are reported", len(uses))
	}
	l.ScarceHere(now.Add(time.Hour))
	if len(l.own) != 0 {
		t.Errorf("%d accounts are kept after an hour", len(l.own))
	}
}

// Guards against weights that do not count, and against unused shares that are lost.
func TestLevel(t *testing.T) {
	tests := []struct {
		name    string
		demands []demand
		want    float64
	}{
		{"one waits beside quiet ones", []demand{{use: 10, weight: 1, unbounded: true}, {use: 1, weight: 1}, {use: 1, weight: 1}}, 10},
		{"two wait", []demand{{use: 10, weight: 1, unbounded: true}, {use: 2, weight: 1, unbounded: true}, {use: 2, weight: 1}}, 6},
		{"weights", []demand{{use: 6, weight: 2, unbounded: true}, {use: 6, weight: 1, unbounded: true}}, 4},
		{"a large one that does not wait", []demand{{use: 10, weight: 1}, {use: 2, weight: 1, unbounded: true}}, 6},
		{"nobody waits", []demand{{use: 10, weight: 1}, {use: 2, weight: 1}}, 10},
		{"nobody", nil, 0},
	}
	for _, test := range tests {
		total := 0.0
		for _, d := range test.demands {
			total += d.use
		}
		if got := level(test.demands, total); got != test.want {
			t.Errorf("%s: %g, want %g", test.name, got, test.want)
		}
	}
}
