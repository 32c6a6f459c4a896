package rtbaseline

import (
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
	"github.com/rhubarbtally/rhubarbtally/internal/rtroute"
)

// Guards against a baseline that is not first come first served, which would
// make comparisons with it worthless.
func TestQueueOrder(t *testing.T) {
	now := time.Now()
	q := NewQueue(rtqueue.Limits{MaxWaiting: 3, MaxBytes: 100})
	for _, item := range []rtqueue.Item{
		{ID: "long", Class: rtid.ClassLong, Tokens: 100, Memory: 100, Deadline: now.Add(time.Minute)},
		{ID: "late", Tokens: 1, Memory: 1, Deadline: now.Add(time.Second)},
		{ID: "short", Tokens: 1, Memory: 1, Deadline: now.Add(time.Minute)},
	} {
		if !q.Push(item) || q.Push(item) {
			t.Fatalf("%s: not added exactly once", item.ID)
		}
	}
	if _, ok, _ := q.Pop(now, 1, 50); ok {
		t.Error("a request overtook one that lacked memory")
	}
	if next, _, _ := q.Pop(now, 1, 100); next.ID != "long" {
		t.Errorf("started %q first, want long", next.ID)
	}
	if q.PrefillBacklog() != 100 || q.Running() != 1 || q.WaitingTokens() != 2 {
		t.Errorf("prefill %d, running %d, waiting tokens %d", q.PrefillBacklog(), q.Running(), q.WaitingTokens())
	}
	q.Finish("long", now)
	next, _, refused := q.Pop(now.Add(time.Second), 1, 100)
	if next.ID != "short" || len(refused) != 1 || refused[0].ID != "late" {
		t.Errorf("started %q, refused %v", next.ID, refused)
	}
}

// Guards against choosers that offer a request again to a target that has
// refused it, or that do not spread load.
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
					t.Errorf("%s: chose %s again", name, target)
				}
			}
			request.Exclude = append(request.Exclude, target)
		}
		if len(request.Exclude) < 2 {
			t.Errorf("%s: offered only to %v", name, request.Exclude)
		}
	}
}
