package rtagent

import (
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Guards against a dispatch that no longer makes sense when the process runs
// again: virtual time cannot stop a process between two statements, so the
// request is handed over with the times that a pause leaves behind.
func TestLateDispatch(t *testing.T) {
	inWorld(t, func(w *world) {
		w.engine(1, rtfake.EngineConfig{})
		agent := w.agent(settings(1))
		now := time.Now()
		tests := []struct {
			name     string
			popped   time.Time
			deadline time.Time
			reason   rtwire.Reason
		}{
			{"paused", now.Add(-pauseLimit - 1), now.Add(time.Minute), rtwire.Reason_REASON_PAUSED},
			{"expired", now, now, late},
		}
		for _, test := range tests {
			r := &request{item: rtqueue.Item{Deadline: test.deadline}, popped: test.popped}
			// A run that is not refused ends at the ledger, which does not
			// know the request, with another reason.
			if result := agent.run(w.t.Context(), r); result.Reason != test.reason {
				t.Errorf("%s: %v, want %v", test.name, result.Reason, test.reason)
			}
		}
	})
}

// Guards against work at the engine that cannot be done in time any more,
// because the request waited for its slot almost until its deadline.
func TestTooLateAfterQueue(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{})
		agent := w.agent(settings(1))
		agent.accept(agent.draft("endless", 100_000, time.Second))
		queued := agent.draft(strings.Repeat("long ", 40_000), 1, time.Second+5*time.Millisecond)
		agent.accept(queued)
		agent.want(queued.Request, notRunOutcome, late)
		if executions := engine.Executions(rtid.Request(queued.Request)); executions != 0 {
			t.Errorf("ran %d times", executions)
		}
	})
}
