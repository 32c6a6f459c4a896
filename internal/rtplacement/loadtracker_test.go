package rtplacement

import (
	"testing"
	"time"

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
