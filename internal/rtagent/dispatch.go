package rtagent

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtledger"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// dispatch starts waiting requests until the context ends.
func (a *Agent) dispatch(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return a.stopTasks()
		case <-a.wake:
		case <-ticker.C:
		}
		a.step(ctx, time.Now())
	}
}

// step does all that can be done at one moment.
func (a *Agent) step(ctx context.Context, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noticePause(now)
	a.expireAnswers(now)
	a.expireHolds(now)
	a.requeueGroups(now)
	for a.startNext(ctx, now) {
		continue
	}
	a.reapTasks()
}

// expireAnswers forgets answers that were acknowledged or kept long enough.
func (a *Agent) expireAnswers(now time.Time) {
	a.kept = 0
	for id, r := range a.requests {
		if r.settled && r.cancel == nil && r.buffer.Expire(now) {
			delete(a.requests, id)
			continue
		}
		a.kept += r.buffer.Size()
	}
}

// startNext starts one request if one may start.
func (a *Agent) startNext(ctx context.Context, now time.Time) bool {
	limit := a.warm.Current()
	if a.suspect {
		limit = 0
	}
	item, ok, refused := a.queue.Pop(now, limit, a.memory.Free())
	for i := range refused {
		a.abandon(a.requests[refused[i].ID], rtwire.Reason_REASON_DEADLINE, "the time limit passed in the queue")
	}
	if !ok {
		return false
	}
	r := a.requests[item.ID]
	if detail := a.lateBy(r, now); detail != "" {
		a.queue.Finish(item.ID, now)
		a.abandon(r, rtwire.Reason_REASON_DEADLINE, detail)
		return true
	}
	a.launch(ctx, r, now)
	return true
}

// lateBy returns why a request that leaves the queue cannot finish in time,
// if so.
func (a *Agent) lateBy(r *request, now time.Time) string {
	remaining := r.item.Deadline.Sub(now)
	if a.pace.prefill(r.item.Tokens, now)+a.pace.answer(r.rest, now) > remaining {
		return "too little time remains after the queue"
	}
	return ""
}

// launch runs a request that left the queue. The caller holds a.mu.
func (a *Agent) launch(ctx context.Context, r *request, now time.Time) {
	id := r.item.ID
	// The engine frees the memory of an expired request within cleanupTimeout.
	a.memory.Reserve(id, r.item.Memory, r.item.Deadline.Add(cleanupTimeout))
	r.popped = now
	for _, other := range a.requests {
		if other.cancel != nil {
			other.ahead += r.item.Tokens
		}
	}
	r.ahead = a.queue.PrefillBacklog()
	running, cancel := context.WithCancelCause(ctx)
	r.cancel = cancel
	a.tasks = append(a.tasks, rttask.Start(running, string(id), func(ctx context.Context) error {
		defer cancel(nil)
		if r.members > 0 {
			a.executeGroup(ctx, r)
		} else {
			a.execute(ctx, r)
		}
		return nil
	}))
}

// execute runs a request whose memory is reserved, to its end.
func (a *Agent) execute(ctx context.Context, r *request) {
	result := rtledger.Result{State: rtledger.StateUnknown, Reason: rtwire.Reason_REASON_TARGET, Detail: "the run ended early"}
	defer func() { a.endRun(r, result) }()
	result = a.run(ctx, r)
}

// run executes a request at the target, unless its dispatch was delayed.
func (a *Agent) run(ctx context.Context, r *request) rtledger.Result {
	now := time.Now()
	if now.Sub(r.popped) > pauseLimit {
		return notRun(rtwire.Reason_REASON_PAUSED, "the agent was paused before dispatch")
	}
	if !now.Before(r.item.Deadline) {
		return notRun(rtwire.Reason_REASON_DEADLINE, "the time limit passed before dispatch")
	}
	if !a.startInLedger(r) {
		return notRun(rtwire.Reason_REASON_CANCELLED, "cancelled before its start")
	}
	if r.kind == rtwire.Kind_KIND_ORDER {
		return a.runOrder(ctx, r)
	}
	return a.runDraft(ctx, r)
}

func (a *Agent) startInLedger(r *request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Start(r.item.ID)
}

// endRun settles a request whose run has ended and frees what it used.
func (a *Agent) endRun(r *request, result rtledger.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finishRun(r, result)
	a.signal()
}

// finishRun is endRun for callers that hold a.mu.
func (a *Agent) finishRun(r *request, result rtledger.Result) {
	now := time.Now()
	a.queue.Finish(r.item.ID, now)
	a.memory.Release(r.item.ID)
	r.cancel = nil
	r.body = nil
	a.settle(r, result)
}

// reapTasks reads the ends of tasks that are done. The caller holds a.mu.
func (a *Agent) reapTasks() {
	running := a.tasks[:0]
	for _, task := range a.tasks {
		select {
		case err := <-task.Done():
			a.reportTask(err)
		default:
			running = append(running, task)
		}
	}
	clear(a.tasks[len(running):])
	a.tasks = running
}

// stopTasks waits for the tasks that are left when the agent stops. Their
// contexts have ended.
func (a *Agent) stopTasks() error {
	a.mu.Lock()
	tasks := a.tasks
	a.tasks = nil
	a.mu.Unlock()
	for _, task := range tasks {
		a.reportTask(task.Stop())
	}
	return nil
}

func (a *Agent) reportTask(err error) {
	if err != nil {
		a.log.Error(err, "Run of a request failed.")
	}
}

// find returns the running request of an id, nil if there is none. The caller
// holds a.mu.
func (a *Agent) find(id rtid.Request) *request {
	if r := a.requests[id]; r != nil && r.cancel != nil {
		return r
	}
	return nil
}
