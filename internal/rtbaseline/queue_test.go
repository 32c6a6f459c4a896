package rtbaseline

import (
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
	"github.com/rhubarbtally/rhubarbtally/internal/rtroute"
)

// Guards against a baseline queue that is not first come, first served:
// comparisons with it would be meaningless.
func TestQueueOrder(t *testing.T) {
	now := time.Now()
	q := NewQueue(rtqueue.Limits{MaxWaiting: 3, MaxBytes: 100})
	for _, item := range []rtqueue.Item{
		{ID: "long", Class: rtid.ClassLong, Tokens: 100, Memory: 100, Deadline: now.Add(time.Minute)},
		{ID: "late", Tokens: 1, Memory: 1, Deadline: now.Add(time.Second)},
		{ID: "short", Tokens: 1, Memory: 1, Deadline: now.Add(time.Minute)},
	} {
		if !q.Push(item) || q.Push(item) {
			t.Fatalf("%s: want the first Push to add it and the second to return false", item.ID)
		}
	}
	if _, ok, _ := q.Pop(now, 1, 50); ok {
		t.Error("got a request although the oldest one lacks memory, want none")
	}
	if next, _, _ := q.Pop(now, 1, 100); next.ID != "long" {
		t.Errorf("got %q first, want long", next.ID)
	}
	if q.PrefillBacklog() != 100 || q.Running() != 1 || q.WaitingTokens() != 2 {
		t.Errorf("prefill backlog %d, running %d, waiting tokens %d, want 100, 1 and 2", q.PrefillBacklog(), q.Running(), q.WaitingTokens())
	}
	q.Finish("long", now)
	next, _, refused := q.Pop(now.Add(time.Second), 1, 100)
	if next.ID != "short" || len(refused) != 1 || refused[0].ID != "late" {
		t.Errorf("got %q, refused %v, want short and late refused", next.ID, refused)
	}
}

// Guards against choosers that choose a target again that has refused the
// request, or that always choose the same target.
func TestChoosers(t *testing.T) {
	reports := []rtroute.Report{{Target: "a"}, {Target: "b"}, {Target: "c"}}
	for name, chooser := range map[string]interface {
		Choose([]rtroute.Report, *rtroute.Request) (rtid.Target, bool)
	}{
		"shared": &SharedPool{}, "round": &RoundRobin{}, "least": LeastLoaded{}, "split": &StaticSplit{},
	} {
		request := rtroute.Request{Tokens: 10_000, Class: rtid.ClassMedium}
		for range 4 {
			target, ok := chooser.Choose(reports, &request)
			if !ok {
				break
			}
			for _, refused := range request.Exclude {
				if target == refused {
					t.Errorf("%s: chose %s again, which has refused the request", name, target)
				}
			}
			request.Exclude = append(request.Exclude, target)
		}
		if len(request.Exclude) < 2 {
			t.Errorf("%s: chose only %v, want at least two targets", name, request.Exclude)
		}
	}
}
