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

// Guards against sending a request to the target when the process was paused
// between the queue and the dispatch, or when the deadline has passed
// meanwhile. Virtual time cannot stop a process between two statements, so the
// test sets the times that a pause would leave in the request.
func TestLateDispatch(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.startEngine(1, rtfake.EngineConfig{})
		agent := c.startReadyAgent(settings(1))
		now := time.Now()
		tests := []struct {
			name     string
			popped   time.Time
			deadline time.Time
			reason   rtwire.Reason
		}{
			{"paused", now.Add(-pauseThreshold - 1), now.Add(time.Minute), rtwire.Reason_REASON_PAUSED},
			{"expired", now, now, deadlineReason},
		}
		for _, test := range tests {
			r := &request{item: rtqueue.Item{Deadline: test.deadline}, poppedAt: test.popped}
			// If runAtTarget does not refuse the request, it returns another
			// reason, because the ledger has no record of it.
			if result := agent.runAtTarget(c.t.Context(), r); result.Reason != test.reason {
				t.Errorf("%s: got reason %v, want %v", test.name, result.Reason, test.reason)
			}
		}
	})
}

// Guards against starting a request that can no longer finish in time, because
// it waited for its slot almost until its deadline.
func TestTooLateAfterQueue(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{})
		agent := c.startReadyAgent(settings(1))
		agent.wantAccepted(agent.draftOffer("endless", 100_000, time.Second))
		queued := agent.draftOffer(strings.Repeat("long ", 40_000), 1, time.Second+5*time.Millisecond)
		agent.wantAccepted(queued)
		agent.wantEnd(queued.Request, notRunOutcome, deadlineReason)
		if executions := engine.Executions(rtid.Request(queued.Request)); executions != 0 {
			t.Errorf("the request ran %d times, want 0", executions)
		}
	})
}
