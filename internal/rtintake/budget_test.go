package rtintake

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const piece = 64 << 10

// upload is a caller's body in a replay.
type upload struct {
	holder string
	size   int64 // that its caller sends
	whole  bool  // the body ends there; otherwise the caller stops and stays
	rate   int64 // bytes per second
	start  time.Duration

	draw     *Draw
	arrived  int64
	credit   int64
	sentAt   time.Duration // when it was sent to a target; 0 if it was not
	evicted  bool
	finished bool
}

// replay plays uploads against a budget in steps of 10 ms. A target takes serviceTime
// for each request. It checks the invariants at each step.
func replay(t *testing.T, limit int64, length time.Duration, uploads []*upload) {
	t.Helper()
	const step, serviceTime = 10 * time.Millisecond, 200 * time.Millisecond
	begin := time.Unix(1000, 0)
	budget := &Budget{Limit: limit}
	for at := time.Duration(0); at < length; at += step {
		now := begin.Add(at)
		for _, u := range uploads {
			if u.start > at || u.finished {
				continue
			}
			if u.draw == nil {
				u.draw = budget.Begin(u.holder, now)
				budget.BeginBody(u.draw, u.holder, now)
			}
			u.receive(t, budget, now, at, step)
			if u.sentAt > 0 && at >= u.sentAt+serviceTime || u.draw.Evicted() {
				u.evicted, u.finished = u.draw.Evicted(), true
				budget.End(u.draw)
			}
		}
		if sum := sumOf(budget); sum != budget.Used() || limit > 0 && sum > limit {
			t.Fatalf("at %v: holds %d bytes, counts %d, want the same and at most %d", at, sum, budget.Used(), limit)
		}
	}
}

func sumOf(b *Budget) int64 {
	sum := int64(0)
	for d := range b.draws {
		sum += d.held
	}
	return sum
}

// receive plays one step of an upload.
func (u *upload) receive(t *testing.T, budget *Budget, now time.Time, at, step time.Duration) {
	t.Helper()
	if u.sentAt > 0 || u.draw.Evicted() {
		if u.sentAt > 0 && u.draw.Evicted() {
			t.Errorf("at %v: a request of %s that was sent is evicted", at, u.holder)
		}
		return
	}
	u.credit = min(u.credit+u.rate*int64(step)/int64(time.Second), u.size-u.arrived)
	for u.credit > 0 {
		room := u.draw.Held() - u.arrived
		if room == 0 {
			if !budget.Take(u.draw, piece, now) {
				budget.MakeRoom(now)
				return
			}
			room = piece
		}
		n := min(room, u.credit)
		budget.Progress(u.draw, int(n), now)
		u.arrived += n
		u.credit -= n
	}
	if u.whole && u.arrived == u.size {
		if !budget.Send(u.draw, now.Add(time.Second)) {
			t.Errorf("at %v: cannot be sent without having been evicted", at)
		}
		u.sentAt = max(at, 1)
	}
}

func crowd(n int, u upload) []*upload {
	var all []*upload
	for range n {
		each := u
		all = append(all, &each)
	}
	return all
}

// Guards against crowds that keep the memory from others: each load pattern of bodies is
// replayed beside callers whose requests must be sent.
func TestPatterns(t *testing.T) {
	const mib = 1 << 20
	full := func(holder string, start time.Duration) *upload {
		return &upload{holder: holder, size: 4 * mib, whole: true, rate: 40 * mib, start: start}
	}
	tests := []struct {
		name      string
		crowd     []*upload
		sound     []*upload
		wantCrowd int // of the crowd at least so many are sent
	}{
		{"short of the end", crowd(48, upload{holder: "a", size: 4*mib - 1, rate: 40 * mib}), []*upload{full("b", 2*time.Second)}, 0},
		{"short of the end, same holder", crowd(48, upload{holder: "a", size: 4*mib - 1, rate: 40 * mib}), []*upload{full("a", 4*time.Second)}, 0},
		{"trickle", crowd(200, upload{holder: "a", size: 4 * mib, rate: 100 << 10}), []*upload{full("b", 12*time.Second)}, 0},
		{"at once", crowd(48, upload{holder: "a", size: 4 * mib, whole: true, rate: 20 * mib}), []*upload{full("b", 500*time.Millisecond)}, 7},
		{"many holders at once", manyHolders(48), nil, 7},
		{"waves", append(crowd(24, upload{holder: "a", size: 3 * mib, rate: 40 * mib}),
			crowd(24, upload{holder: "a", size: 3 * mib, rate: 40 * mib, start: 3 * time.Second})...), []*upload{full("b", 5*time.Second)}, 0},
		{"calm, slow", nil, []*upload{{holder: "b", size: mib, whole: true, rate: 64 << 10}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			all := append(test.crowd, test.sound...)
			replay(t, 30*mib, 20*time.Second, all)
			for _, u := range test.sound {
				if u.sentAt == 0 {
					t.Errorf("request of %s that starts at %v was not sent (evicted %v, %d bytes arrived)", u.holder, u.start, u.evicted, u.arrived)
				}
			}
			sent := 0
			for _, u := range test.crowd {
				if u.sentAt > 0 {
					sent++
				}
			}
			if sent < test.wantCrowd {
				t.Errorf("%d of the crowd were sent, want at least %d", sent, test.wantCrowd)
			}
		})
	}
}

func manyHolders(n int) []*upload {
	var all []*upload
	for i := range n {
		all = append(all, &upload{holder: fmt.Sprint("h", i), size: 4 << 20, whole: true, rate: 20 << 20})
	}
	return all
}

// Guards against bodies that are evicted though nobody needs their memory, and against
// time that a caller waits for memory and that is taken for a stall.
func TestWaitingIsNoStall(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := &Budget{Limit: 2 * piece}
	sent := budget.Begin("a", now)
	budget.Take(sent, 2*piece, now)
	budget.Send(sent, now.Add(time.Minute))
	waits := budget.Begin("b", now)
	budget.BeginBody(waits, "b", now)
	if budget.Take(waits, piece, now) {
		t.Fatal("got memory over the limit")
	}
	if victim := budget.Stalled(now.Add(10 * time.Second)); victim != nil {
		t.Error("a body that waits for memory is taken for stalled")
	}
	budget.Return(sent)
	if !budget.Take(waits, piece, now.Add(10*time.Second)) {
		t.Fatal("got no memory after a return")
	}
	if victim := budget.Stalled(now.Add(10*time.Second + StallTime/2)); victim != nil {
		t.Error("the time in which a body waited counts as a stall")
	}
}

// Guards against connections that are kept by callers who do not read their responses.
func TestStalledReaders(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := &Budget{Limit: piece}
	reader := budget.Begin("a", now)
	budget.Send(reader, now.Add(4*time.Second))
	budget.Return(reader)
	if budget.Stalled(now.Add(4*time.Second)) != nil {
		t.Error("a request before its deadline is taken for stalled")
	}
	if budget.Stalled(now.Add(4*time.Second+StallTime)) != reader {
		t.Error("a response that is not read after its deadline keeps its connection")
	}
}

// Guards against short requests that are evicted in favour of bodies of the same holder.
func TestShortRequestBesideBodies(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := &Budget{Limit: 8 << 20}
	bodies := make(map[*Draw]bool)
	for i := range 2 {
		d := budget.Begin("a", now.Add(time.Duration(i)))
		budget.BeginBody(d, "a", now.Add(time.Duration(i)))
		budget.Take(d, 4<<20, now)
		bodies[d] = true
	}
	short := budget.Begin("a", now.Add(time.Millisecond))
	budget.Take(short, piece, now.Add(time.Millisecond))
	if victim, cause := budget.MakeRoom(now.Add(time.Millisecond + yieldTime)); !bodies[victim] || cause != Largest {
		t.Errorf("got victim %v for %v, want one of the bodies for %v", victim, cause, Largest)
	}
	if victim, _ := budget.MakeRoom(now.Add(time.Second / 2)); victim != nil {
		t.Error("a second request is evicted before the memory of the first one is back")
	}
}

// Guards against a loss of the order in which connections are closed for new ones.
func TestConnections(t *testing.T) {
	now := time.Unix(1000, 0)
	connections := Connections[string]{Limit: 4}
	for i, name := range []string{"header", "later header", "idle", "active"} {
		connections.Add(name, now.Add(time.Duration(i)*time.Second))
	}
	connections.Set("idle", Idle, now.Add(5*time.Second))
	connections.Set("active", Active, now.Add(5*time.Second))
	if !connections.Full() {
		t.Error("4 of 4 connections are not full")
	}
	for _, want := range []string{"idle", "header", "later header"} {
		victim, ok := connections.Victim()
		if !ok || victim != want {
			t.Errorf("got victim %q, %v, want %q", victim, ok, want)
		}
		connections.Remove(victim)
	}
	if victim, ok := connections.Victim(); ok {
		t.Errorf("got victim %q, want none of the active", victim)
	}
}

// Guards against limits that callers within the published limits reach, or that exceed
// what the VM has.
func TestLimitsOf(t *testing.T) {
	const mb = 1_000_000
	tests := []struct {
		memory, descriptors int
		want                Limits
	}{
		{0, 0, Limits{}},
		{136 * mb, 0, Limits{Memory: 29_920_000, Responses: 17_000_000, Connections: 1037}},
		{136 * mb, 2870, Limits{Memory: 29_920_000, Responses: 17_000_000, Connections: 1037}},
		{536 * mb, 2870, Limits{Memory: 117_920_000, Responses: 32 << 20, Connections: 1285}},
		{536 * mb, 8192, Limits{Memory: 117_920_000, Responses: 32 << 20, Connections: 3946}},
		{0, 600, Limits{Connections: 150}},
		{0, 10, Limits{Connections: 16}},
	}
	for _, test := range tests {
		if got := LimitsOf(rtid.Bytes(test.memory), test.descriptors); got != test.want {
			t.Errorf("%d bytes, %d descriptors: got %+v, want %+v", test.memory, test.descriptors, got, test.want)
		}
	}
}

// Guards against a wrong choice of the request to evict: bodies without progress go before
// those that arrive, slow ones before fast ones, and of the holder that holds most the
// newest, so that the oldest completes.
func TestWhoGivesWay(t *testing.T) {
	const mib = 1 << 20
	type body struct {
		holder   string
		held     int64
		age      time.Duration
		received int64
		quiet    time.Duration // since its last byte
		sent     bool
	}
	tests := []struct {
		name   string
		bodies []body
		waited time.Duration
		want   int // index of the body, the one that waits is the last; -1 for none
		cause  Cause
	}{
		{"stalled", []body{{"a", 4 * mib, 3 * time.Second, 4 * mib, 0, false}, {"b", mib, 3 * time.Second, mib, StallTime, false}}, 0, 1, Stalled},
		{"longest stalled", []body{{"a", mib, 9 * time.Second, mib, 2 * time.Second, false}, {"b", mib, 9 * time.Second, mib, 3 * time.Second, false}}, 0, 1, Stalled},
		{"not yet stalled", []body{{"a", mib, 3 * time.Second, mib, StallTime - 1, false}}, 0, -1, None},
		{"slow", []body{{"a", 4 * mib, 3 * time.Second, 4 * mib, 0, false}, {"b", mib, 3 * time.Second, 3*minRate - 1, 0, false}}, 0, 1, Slow},
		{"slowest", []body{{"a", mib, 3 * time.Second, 1000, 0, false}, {"b", mib, 3 * time.Second, 900, 0, false}}, 0, 1, Slow},
		{"too early to be slow", []body{{"a", mib, slowAfter - 1, 1, 0, false}}, 0, -1, None},
		{"fast", []body{{"a", 4 * mib, 3 * time.Second, 3 * minRate, 0, false}}, yieldTime - 1, -1, None},
		{"largest holder", []body{{"a", 2 * mib, time.Second / 2, mib, 0, false}, {"b", mib, time.Second / 3, mib, 0, false}, {"a", mib, time.Second / 4, mib, 0, false}}, yieldTime, 2, Largest},
		{"newest", []body{{"b", mib, time.Second / 4, mib, 0, false}, {"b", mib, time.Second / 3, mib, 0, false}}, yieldTime, 0, Largest},
		{"sent", []body{{"a", 4 * mib, 9 * time.Second, 4 * mib, 8 * time.Second, true}}, 0, -1, None},
		{"all sent", []body{{"a", 4 * mib, 9 * time.Second, 4 * mib, 8 * time.Second, true}}, yieldTime, 1, Largest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var budget Budget
			var draws []*Draw
			for _, b := range test.bodies {
				d := budget.Begin(b.holder, now.Add(-b.age))
				budget.BeginBody(d, b.holder, now.Add(-b.age))
				budget.Take(d, b.held, now.Add(-b.age))
				budget.Progress(d, int(b.received), now.Add(-b.quiet))
				if b.sent {
					budget.Send(d, now)
				}
				draws = append(draws, d)
			}
			budget.Limit = max(1, budget.Used())
			waiting := budget.Begin("w", now.Add(-test.waited))
			draws = append(draws, waiting)
			if budget.Take(waiting, piece, now.Add(-test.waited)) {
				t.Fatal("got memory over the limit")
			}
			victim, cause := budget.MakeRoom(now)
			want := (*Draw)(nil)
			if test.want >= 0 {
				want = draws[test.want]
			}
			if victim != want || cause != test.cause {
				t.Errorf("got %+v for %v, want %+v for %v", victim, cause, want, test.cause)
			}
		})
	}
}

// Guards against memory that is never returned: a request whose connection is closed for
// another one, while it waits for memory, must not get any afterwards.
func TestEndedRequestGetsNoMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := &Budget{Limit: piece}
	sent, waiting := budget.Begin("a", now), budget.Begin("b", now)
	budget.Take(sent, piece, now)
	if budget.Take(waiting, piece, now) {
		t.Fatal("got memory over the limit")
	}
	budget.End(waiting)
	budget.End(sent)
	if budget.Take(waiting, piece, now) || budget.Send(waiting, now) || budget.Used() != 0 {
		t.Errorf("a request that has ended got memory or may be sent; %d bytes are used, want none", budget.Used())
	}
}
