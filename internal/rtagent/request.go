package rtagent

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtanswer"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtledger"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// request is a request that was accepted, until its answer is gone.
type request struct {
	item    rtqueue.Item // Item.Deadline is the local deadline
	attempt rtid.Attempt
	kind    rtwire.Kind
	model   rtid.Model
	prefix  []byte      // part of the answer that exists already
	output  rtid.Tokens // most tokens of the answer
	rest    rtid.Tokens // those of output that do not exist yet
	share   rtid.Tokens // KV memory at each other engine; 0 for most prompts
	members int         // other engines that the prompt needs
	buffer  *rtanswer.Buffer

	// The rest is guarded by Agent.mu.
	body    []byte                  // nil once the run has ended
	cancel  context.CancelCauseFunc // nil unless the request runs
	popped  time.Time               // when it left the queue
	ahead   rtid.Tokens             // prefill tokens that ran when it started, and that started since
	gather  int                     // tries to reserve memory at the members
	retry   time.Time               // of the next try to reserve memory at other engines
	silent  map[rtid.Target]bool    // gave no reply in the last try; used by the run only
	settled bool
	read    bool // a reader has got the whole answer, so a stop need not wait for it
}

// outcomes translates the states of the ledger.
var outcomes = [...]rtwire.Outcome{
	rtledger.StateNone:     rtwire.Outcome_OUTCOME_UNKNOWN,
	rtledger.StateAccepted: rtwire.Outcome_OUTCOME_ACCEPTED,
	rtledger.StateRunning:  rtwire.Outcome_OUTCOME_ACCEPTED,
	rtledger.StateDone:     rtwire.Outcome_OUTCOME_DONE,
	rtledger.StateFailed:   rtwire.Outcome_OUTCOME_FAILED,
	rtledger.StateNotRun:   rtwire.Outcome_OUTCOME_NOT_RUN,
	rtledger.StateUnknown:  rtwire.Outcome_OUTCOME_UNKNOWN,
}

// settle records how a request ended and ends its answer. Only the first call
// has an effect on the answer; a result that follows the state unknown still
// reaches the ledger. The caller holds a.mu.
func (a *Agent) settle(r *request, result rtledger.Result) {
	a.ledger.Finish(r.item.ID, result)
	if r.settled {
		return
	}
	r.settled = true
	outcome := outcomes[result.State]
	if !r.buffer.Finish(outcome, result.Reason, result.Detail, time.Now()) {
		return
	}
	a.metrics.Tagged(map[string]string{
		"outcome": outcome.String(),
		"reason":  result.Reason.String(),
	}).Counter("requests_ended").Inc(1)
}

// abandon settles a request that waits as not run and takes it out of the
// queue. The caller holds a.mu.
func (a *Agent) abandon(r *request, reason rtwire.Reason, detail string) {
	a.queue.Remove(r.item.ID)
	r.body = nil
	a.settle(r, rtledger.Result{State: rtledger.StateNotRun, Reason: reason, Detail: detail})
}

// abandonWaiting settles all waiting requests as not run. The caller holds
// a.mu.
func (a *Agent) abandonWaiting(reason rtwire.Reason, detail string) {
	for _, r := range a.requests {
		if !r.settled && r.cancel == nil {
			a.abandon(r, reason, detail)
		}
	}
}
