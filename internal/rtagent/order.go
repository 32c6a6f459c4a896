package rtagent

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtanswer"
	"github.com/rhubarbtally/rhubarbtally/internal/rtledger"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwarm"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// lateReplyTimeout is how long after the deadline of an order the agent waits
// for the service's reply, to record the true outcome in the ledger.
const lateReplyTimeout = 30 * time.Second

// runOrder sends an order to the plain service, at most once.
func (a *Agent) runOrder(ctx context.Context, r *request) rtledger.Result {
	ctx, cancel := context.WithDeadline(ctx, r.item.Deadline.Add(lateReplyTimeout))
	defer cancel()
	deadlineTimer := time.AfterFunc(time.Until(r.item.Deadline), func() { a.expireOrder(r) })
	defer deadlineTimer.Stop()
	sent := time.Now()
	trace := &connectionTrace{}
	reply, err := a.service.Run(trace.attach(ctx), rttarget.RunRequest{
		ID:    r.item.ID,
		Body:  r.body,
		Fence: a.node.Incarnation(),
	})
	if err != nil {
		return a.runFailure(ctx, trace, err)
	}
	a.recordOrderDuration(r, time.Since(sent))
	if err := r.buffer.Append(reply.Result); err != nil && !errors.Is(err, rtanswer.ErrEnded) {
		return rtledger.Result{State: rtledger.StateDone, Detail: "the service executed the order, but the result is too large to store"}
	}
	return rtledger.Result{State: rtledger.StateDone, Body: reply.Result}
}

// expireOrder ends the answer of an order whose deadline passes while it runs.
// If the service replies later, the ledger records the true result.
func (a *Agent) expireOrder(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(r, rtledger.Result{
		State:  rtledger.StateUnknown,
		Reason: rtwire.Reason_REASON_DEADLINE,
		Detail: "the time limit passed while the service executed the order",
	})
}

// runFailure returns the result of a Run call that failed. The order is known
// not to have run only if the service refused it or no connection was made. A
// service that reports an internal error may have executed the order before the
// error.
func (a *Agent) runFailure(ctx context.Context, trace *connectionTrace, err error) rtledger.Result {
	var status *rttarget.StatusError
	if errors.As(err, &status) && status.Refused() {
		return notRunResult(a.handleTargetRefusal(status), err.Error())
	}
	if ctx.Err() == nil {
		a.recordTargetFailure(err)
	}
	if !trace.wasConnected() {
		return notRunResult(endReason(ctx), err.Error())
	}
	return rtledger.Result{State: rtledger.StateUnknown, Reason: endReason(ctx), Detail: err.Error()}
}

func (a *Agent) recordOrderDuration(r *request, measured time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	expected := a.speed.meanDuration[r.item.Class]
	if expected == 0 {
		expected = measured
	}
	a.speed.recordDuration(r.item.Class, measured)
	a.updateWarmUp(func() { a.warmUp.RecordCompletion(rtwarm.Ratio(measured, expected)) })
}
