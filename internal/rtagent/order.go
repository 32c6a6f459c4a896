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

// lateOrderTime is how long past its time limit the answer of an order is
// awaited, so that the ledger can still learn what happened.
const lateOrderTime = 30 * time.Second

// runOrder executes an order at the plain service, at most once.
func (a *Agent) runOrder(ctx context.Context, r *request) rtledger.Result {
	ctx, cancel := context.WithDeadline(ctx, r.item.Deadline.Add(lateOrderTime))
	defer cancel()
	expiry := time.AfterFunc(time.Until(r.item.Deadline), func() { a.expireOrder(r) })
	defer expiry.Stop()
	sent := time.Now()
	trace := &connectionTrace{}
	reply, err := a.service.Run(trace.watch(ctx), rttarget.RunRequest{
		ID:    r.item.ID,
		Body:  r.body,
		Fence: a.node.Incarnation(),
	})
	if err != nil {
		return a.notExecuted(ctx, trace, err)
	}
	a.measureOrder(r, time.Since(sent))
	if err := r.buffer.Append(reply.Result); err != nil && !errors.Is(err, rtanswer.ErrEnded) {
		return rtledger.Result{State: rtledger.StateDone, Detail: "the result is too large to keep"}
	}
	return rtledger.Result{State: rtledger.StateDone, Body: reply.Result}
}

// expireOrder answers an order whose time limit passes while it runs. The
// ledger takes the true result when the service answers later.
func (a *Agent) expireOrder(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(r, rtledger.Result{
		State:  rtledger.StateUnknown,
		Reason: rtwire.Reason_REASON_DEADLINE,
		Detail: "the time limit passed while the service worked",
	})
}

// notExecuted returns the result of a call that got no answer. Only a call
// that was refused or never written is known not to have run; a service that
// reports a fault of its own may have run it before the fault.
func (a *Agent) notExecuted(ctx context.Context, trace *connectionTrace, err error) rtledger.Result {
	var status *rttarget.StatusError
	if errors.As(err, &status) && status.Refused() {
		return notRun(a.refusedByTarget(status), err.Error())
	}
	if ctx.Err() == nil {
		a.targetFailed(err)
	}
	if !trace.wasConnected() {
		return notRun(reasonOf(ctx), err.Error())
	}
	return rtledger.Result{State: rtledger.StateUnknown, Reason: reasonOf(ctx), Detail: err.Error()}
}

func (a *Agent) measureOrder(r *request, measured time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	expected := a.pace.duration[r.item.Class]
	if expected == 0 {
		expected = measured
	}
	a.pace.served(r.item.Class, measured)
	a.moveWarm(func() { a.warm.RecordCompletion(rtwarm.Ratio(measured, expected)) })
}
