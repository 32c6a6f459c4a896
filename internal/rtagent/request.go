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

// request is an accepted request. The agent keeps it until its answer is freed.
type request struct {
	item            rtqueue.Item // Item.Deadline is a time of this process's clock
	attempt         rtid.Attempt
	kind            rtwire.Kind
	model           rtid.Model
	prefix          []byte      // part of the answer that an earlier attempt delivered
	maxOutput       rtid.Tokens // limit of the whole answer
	remainingOutput rtid.Tokens // maxOutput without the tokens delivered already
	memberTokens    rtid.Tokens // KV memory at each member; 0 if the prompt fits this engine
	memberCount     int         // number of other engines that the prompt needs
	buffer          *rtanswer.Buffer

	// The fields below are guarded by Agent.mu.
	body            []byte                  // nil after the run has ended
	cancel          context.CancelCauseFunc // nil unless the request is running
	poppedAt        time.Time               // when it left the queue
	prefillAhead    rtid.Tokens             // prefill tokens in progress when it started, and started since
	reserveAttempts int                     // failed attempts to reserve memory at the members
	retryAt         time.Time               // time of the next attempt to reserve memory at other engines
	// unresponsive holds the targets that gave no reply in the last attempt. It is
	// not guarded, because only the run uses it.
	unresponsive map[rtid.Target]bool
	settled      bool
	answerRead   bool // a reader received the whole answer, so draining need not wait for it
}

// outcomes maps ledger states to outcomes of the wire protocol.
var outcomes = [...]rtwire.Outcome{
	rtledger.StateNone:     rtwire.Outcome_OUTCOME_UNKNOWN,
	rtledger.StateAccepted: rtwire.Outcome_OUTCOME_ACCEPTED,
	rtledger.StateRunning:  rtwire.Outcome_OUTCOME_ACCEPTED,
	rtledger.StateDone:     rtwire.Outcome_OUTCOME_DONE,
	rtledger.StateFailed:   rtwire.Outcome_OUTCOME_FAILED,
	rtledger.StateNotRun:   rtwire.Outcome_OUTCOME_NOT_RUN,
	rtledger.StateUnknown:  rtwire.Outcome_OUTCOME_UNKNOWN,
}

// settle records the result of a request in the ledger and ends its answer. Only
// the first call affects the answer; a result that follows StateUnknown is still
// recorded in the ledger. The caller holds a.mu.
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

// settleNotRun removes a waiting request from the queue and settles it as not
// run. The caller holds a.mu.
func (a *Agent) settleNotRun(r *request, reason rtwire.Reason, detail string) {
	a.queue.Remove(r.item.ID)
	r.body = nil
	a.settle(r, rtledger.Result{State: rtledger.StateNotRun, Reason: reason, Detail: detail})
}

// settleWaitingNotRun settles all waiting requests as not run. The caller holds
// a.mu.
func (a *Agent) settleWaitingNotRun(reason rtwire.Reason, detail string) {
	for _, r := range a.requests {
		if !r.settled && r.cancel == nil {
			a.settleNotRun(r, reason, detail)
		}
	}
}
