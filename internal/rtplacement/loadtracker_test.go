package rtplacement

import (
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against a load that stays after its peer has reported that it has ended, and
// against one that counts twice or for too long.
func TestPeerLoads(t *testing.T) {
	var tracker LoadTracker
	load := func(requests int) Load { return Load{Requests: requests, PrefillBacklog: time.Second} }
	tracker.SetPeerLoads("a", map[rtid.Target]Load{"e1": load(1), "e2": load(2)}, now)
	tracker.SetPeerLoads("b", map[rtid.Target]Load{"e1": load(4)}, now.Add(time.Second))
	tracker.SetPeerLoads("b", map[rtid.Target]Load{"e1": load(4)}, now.Add(time.Second))
	steps := []struct {
		target   rtid.Target
		after    time.Duration
		requests int
		backlog  time.Duration
	}{
		{"e1", time.Second, 5, time.Second},
		{"e1", 1500 * time.Millisecond, 5, 500 * time.Millisecond},
		{"e1", 2500 * time.Millisecond, 4, 0},
		{"e2", time.Second, 2, 0},
		{"e3", 0, 0, 0},
	}
	for _, step := range steps {
		got := tracker.Load(step.target, now.Add(step.after))
		if got.Requests != step.requests || got.PrefillBacklog != step.backlog {
			t.Errorf("%s after %v: %+v, want %d requests and a backlog of %v", step.target, step.after, got, step.requests, step.backlog)
		}
	}
	tracker.SetPeerLoads("a", map[rtid.Target]Load{"e2": load(3)}, now.Add(time.Second))
	if got := tracker.Load("e1", now.Add(time.Second)); got.Requests != 4 {
		t.Errorf("e1 after its load at one peer has ended: %+v, want 4 requests", got)
	}
	tracker.SetPeerLoads("a", nil, now.Add(time.Second))
	tracker.SetPeerLoads("b", nil, now.Add(time.Second))
	if len(tracker.placed) > 0 {
		t.Errorf("%d targets are kept without loads", len(tracker.placed))
	}
}

// Guards against memory reserved for a prompt that does not count as used at the engine
// that holds it, or counts after its request has ended.
func TestReservedMemory(t *testing.T) {
	engines := idleEngines(4)
	work := Work{Prompt: 600_000, Output: 1000}
	var tracker LoadTracker
	request := tracker.Start(Placement{Target: engines[0].Instance, Helpers: []*rtcatalog.Instance{engines[1].Instance}, PartPrefill: time.Second}, work, now)
	check := func(when string, want ...rtid.Tokens) {
		t.Helper()
		for i, c := range engines {
			if got := tracker.Load(c.Instance.ID, now).Memory; got != want[i] {
				t.Errorf("%s: %d tokens at %s, want %d", when, got, c.Instance.ID, want[i])
			}
		}
	}
	check("sent", 601_000, 0, 0, 0)
	tracker.Reserve(request, []Reservation{{Target: engines[3].Instance, Tokens: 150_000}})
	tracker.Reserve(request, []Reservation{{Target: engines[1].Instance, Tokens: 200_000}, {Target: engines[2].Instance, Tokens: 100_000}})
	check("reserved elsewhere", 301_000, 200_000, 100_000, 0)
	if got := tracker.Load(engines[2].Instance.ID, now); got.PrefillBacklog != 0 || got.Requests != 0 {
		t.Errorf("engine with memory only: %+v, want neither a backlog nor a request", got)
	}
	tracker.PrefillDone(request)
	check("answer begun", 301_000, 200_000, 100_000, 0)
	tracker.Finish(request)
	check("ended", 0, 0, 0, 0)
	if len(tracker.local) > 0 {
		t.Errorf("%d targets are kept without requests", len(tracker.local))
	}
}
