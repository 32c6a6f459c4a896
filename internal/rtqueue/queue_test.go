package rtqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const unlimited rtid.Tokens = 1 << 40

var (
	start  = time.UnixMilli(1)
	limits = Limits{MaxWaiting: 1 << 20, MaxBytes: 1 << 30, MaxLongPrefill: 200_000}
)

func item(id string, organisation rtid.Organisation, tokens rtid.Tokens, arrived time.Duration) Item {
	return Item{
		ID:           rtid.Request(id),
		Organisation: organisation,
		Weight:       1,
		Class:        rtid.ClassOf(tokens),
		Tokens:       tokens,
		Memory:       tokens,
		Arrived:      start.Add(arrived),
		Deadline:     start.Add(arrived + time.Hour),
	}
}

// popAll pops at one time until nothing may start and returns the IDs in order.
func popAll(q *Queue, now time.Time, slots int, free rtid.Tokens) string {
	var order string
	for {
		next, ok, _ := q.Pop(now, slots, free)
		if !ok {
			return order
		}
		free -= next.Memory
		order += string(next.ID)
	}
}

// Guards against short requests that wait behind long ones, long ones that use
// the slots or memory reserved for short ones, and younger requests that
// overtake aged ones.
func TestPopOrder(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name  string
		items []Item
		at    time.Duration
		slots int
		free  rtid.Tokens
		want  string
	}{
		{"short first", []Item{item("l", "o", 100_000, 0), item("m", "o", 10_000, 0), item("s", "o", 10, second)}, second, 8, unlimited, "sml"},
		{"arrival penalty is limited", []Item{item("m", "o", 10_000, 0), item("s", "o", 10, 3*second)}, 3 * second, 8, unlimited, "ms"},
		{"aged first", []Item{item("l", "o", 100_000, 0), item("s", "o", 10, 15*second)}, AgeLimit, 8, unlimited, "ls"},
		{"reserved slot", []Item{item("k", "o", 90_000, 0), item("l", "o", 90_000, 0), item("m", "o", 10_000, 0)}, 0, 2, unlimited, "m"},
		{"a single slot is not reserved", []Item{item("l", "o", 90_000, 0)}, 0, 1, unlimited, "l"},
		{"long prefill is bounded", []Item{item("k", "o", 150_000, 0), item("l", "o", 150_000, 0)}, 0, 8, unlimited, "k"},
		{"largest prompt runs alone", []Item{item("k", "o", 400_000, 0)}, 0, 8, 400_000, "k"},
		{"reserved memory", []Item{item("m", "o", 10_000, 0), item("n", "o", 10_000, 0), item("s", "o", 4000, 0)}, 0, 8, 24_000, "sm"},
		{"aged waits for memory", []Item{item("m", "o", 60_000, 0), item("n", "x", 10_000, second)}, AgeLimit, 8, 50_000, ""},
		{"aged leave a slot", []Item{item("k", "o", 60_000, 0), item("m", "o", 60_000, 1), item("s", "o", 10, 15*second)}, AgeLimit + 1, 2, unlimited, "ks"},
		{"back in the queue", []Item{item("b", "o", 1000, second), item("a", "o", 1000, 0)}, second, 8, unlimited, "ab"},
		{"fair share", []Item{item("a", "x", 1000, 0), item("b", "x", 1000, 1), item("c", "x", 1000, 2), item("d", "y", 1000, 3)}, 4, 8, unlimited, "adbc"},
	}
	for _, test := range tests {
		q := New(limits)
		for _, added := range test.items {
			if !q.Push(added) {
				t.Fatalf("%s: push refused", test.name)
			}
		}
		if got := popAll(q, start.Add(test.at), test.slots, test.free); got != test.want {
			t.Errorf("%s: started %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against requests that start after their deadline, and against counters
// that still include removed requests.
func TestExpired(t *testing.T) {
	q := New(Limits{MaxWaiting: 3, MaxBytes: 100})
	early := item("early", "o", 10, 0)
	early.Deadline = start.Add(time.Second)
	late := item("late", "o", 10, 0)
	late.BodySize = 60
	for _, added := range []Item{late, early} {
		if !q.Push(added) {
			t.Fatal("push refused")
		}
	}
	large := item("large", "o", 10, 0)
	large.BodySize = 41
	if q.Push(large) || q.Push(late) {
		t.Error("Push accepted a body over the limit or a second copy of a request")
	}
	next, ok, refused := q.Pop(early.Deadline, 8, unlimited)
	if !ok || next.ID != "late" || len(refused) != 1 || refused[0].ID != "early" {
		t.Errorf("started %v and refused %v, want late and one refusal of early", next.ID, refused)
	}
	if q.Remove("late") {
		t.Error("Remove removed a running request")
	}
	q.Finish("late", start)
	if q.Waiting() != 0 || q.Running() != 0 || q.PrefillBacklog() != 0 || q.WaitingTokens() != 0 || len(q.entries) != 0 {
		t.Errorf("empty queue: %d waiting, %d running, %d tokens of prefill backlog, want 0 of each and no entries", q.Waiting(), q.Running(), q.PrefillBacklog())
	}
}

// Guards against blocking short requests while a running long prompt uses the
// memory that an aged request waits for, and against younger long prompts that
// overtake an aged one because they are smaller.
func TestAgedBesideRunning(t *testing.T) {
	tests := []struct {
		name    string
		running Item
		aged    Item
		young   Item
		free    rtid.Tokens
		want    string
	}{
		{"long request uses the memory", item("r", "o", 60_000, 0), item("a", "o", 50_000, 0), item("s", "o", 10, 1), 40_000, "s"},
		{"medium must wait", item("r", "o", 60_000, 0), item("a", "o", 50_000, 0), item("m", "x", 10_000, 1), 40_000, ""},
		{"short request uses the memory", item("r", "o", 4000, 0), item("a", "o", 50_000, 0), item("s", "o", 10, 1), 46_000, ""},
		{"smaller long prompt", item("r", "o", 100_000, 0), item("a", "o", 150_000, 0), item("l", "x", 90_000, 1), unlimited, ""},
		{"short beside long prefill", item("r", "o", 100_000, 0), item("a", "o", 150_000, 0), item("s", "o", 10, 1), unlimited, "s"},
	}
	for _, test := range tests {
		q := New(limits)
		q.Push(test.running)
		if started := popAll(q, start, 8, unlimited); started != "r" {
			t.Fatalf("%s: started %q", test.name, started)
		}
		q.Push(test.aged)
		q.Push(test.young)
		if got := popAll(q, start.Add(AgeLimit), 8, test.free); got != test.want {
			t.Errorf("%s: started %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against an organisation that gets more or less than its planned share
// while others wait, and against one that starts late and catches up at their
// expense.
func TestFairShare(t *testing.T) {
	q := New(limits)
	shares := map[rtid.Organisation]float64{"large": 0.6, "small": 0.2, "tiny": 0.2}
	for organisation, share := range shares {
		for i := range 400 {
			added := item(fmt.Sprint(organisation, i), organisation, rtid.Tokens(500+i%7*100), 0)
			added.Weight = share
			q.Push(added)
		}
	}
	got := map[rtid.Organisation]rtid.Tokens{}
	var sum rtid.Tokens
	for range 400 {
		next, ok, _ := q.Pop(start, 1, unlimited)
		if !ok {
			t.Fatal("no request starts")
		}
		got[next.Organisation] += next.Tokens
		sum += next.Tokens
		q.Finish(next.ID, start)
	}
	for organisation, share := range shares {
		if part := float64(got[organisation]) / float64(sum); part < share-0.02 || part > share+0.02 {
			t.Errorf("%s got %.3f of the tokens, want %.3f", organisation, part, share)
		}
	}
	for i := range 100 {
		q.Push(item(fmt.Sprint("late", i), "late", 800, 0))
	}
	late := 0
	for range 20 {
		next, _, _ := q.Pop(start, 1, unlimited)
		if next.Organisation == "late" {
			late++
		}
		q.Finish(next.ID, start)
	}
	if late > 12 {
		t.Errorf("an organisation that arrived late got %d of 20 starts, want at most 12", late)
	}
}

// Guards against a long prompt that never starts while short ones keep
// arriving. The bound is the one in the package comment.
func TestLongPromptStarts(t *testing.T) {
	const shortDuration = 500 * time.Millisecond
	q := New(limits)
	q.Push(item("long", "o", 300_000, 0))
	free := rtid.Tokens(310_000)
	type run struct {
		Item
		end time.Duration
	}
	var running []run
	for now := time.Duration(0); now <= AgeLimit+shortDuration; now += 10 * time.Millisecond {
		kept := running[:0]
		for _, r := range running {
			if r.end > now {
				kept = append(kept, r)
				continue
			}
			q.Finish(r.ID, start.Add(now))
			free += r.Memory
		}
		running = kept
		q.Push(item(fmt.Sprint("s", now), "o", 4000, now))
		for {
			next, ok, _ := q.Pop(start.Add(now), 8, free)
			if !ok {
				break
			}
			if next.ID == "long" {
				return
			}
			free -= next.Memory
			running = append(running, run{next, now + shortDuration})
		}
	}
	t.Errorf("the long prompt did not start within %v", AgeLimit+shortDuration)
}

func BenchmarkPushPop(b *testing.B) {
	for _, waiting := range []int{20, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := New(limits)
			for i := range waiting {
				organisation := rtid.Organisation(fmt.Sprint("o", i%220))
				q.Push(item(fmt.Sprint(i), organisation, rtid.Tokens(100*(1+i%1000)), 0))
			}
			b.ReportAllocs()
			for b.Loop() {
				next, ok, _ := q.Pop(start, 8, unlimited)
				if !ok {
					b.Fatal("no request starts")
				}
				q.Finish(next.ID, start)
				q.Push(next)
			}
		})
	}
}
