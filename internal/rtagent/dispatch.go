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
		a.tick(ctx, time.Now())
	}
}

// tick handles pauses, expiries and due retries, then starts all requests that
// may start.
func (a *Agent) tick(ctx context.Context, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handlePause(now)
	a.expireAnswers(now)
	a.expireReservations(now)
	a.requeueGroups(now)
	for a.startNext(ctx, now) {
		continue
	}
	a.reapTasks()
}

// expireAnswers removes requests whose answer was acknowledged or has passed its
// retention time. The caller holds a.mu.
func (a *Agent) expireAnswers(now time.Time) {
	a.answerBytes = 0
	for id, r := range a.requests {
		if r.settled && r.cancel == nil && r.buffer.Expire(now) {
			delete(a.requests, id)
			continue
		}
		a.answerBytes += r.buffer.Size()
	}
}

// startNext starts the next request that may start. It reports whether it took
// one from the queue. The caller holds a.mu.
func (a *Agent) startNext(ctx context.Context, now time.Time) bool {
	limit := a.warmUp.Current()
	if a.checkPending {
		limit = 0
	}
	item, ok, refused := a.queue.Pop(now, limit, a.memory.Free())
	for i := range refused {
		a.settleNotRun(a.requests[refused[i].ID], rtwire.Reason_REASON_DEADLINE, "the time limit passed while the request was queued")
	}
	if !ok {
		return false
	}
	r := a.requests[item.ID]
	if detail := a.tooLateDetail(r, now); detail != "" {
		a.queue.Finish(item.ID, now)
		a.settleNotRun(r, rtwire.Reason_REASON_DEADLINE, detail)
		return true
	}
	a.launch(ctx, r, now)
	return true
}

// tooLateDetail returns the detail of the refusal if a request that leaves the
// queue cannot finish before its deadline, else an empty string.
func (a *Agent) tooLateDetail(r *request, now time.Time) string {
	remaining := r.item.Deadline.Sub(now)
	if a.speed.predictPrefill(r.item.Tokens, now)+a.speed.predictDecode(r.remainingOutput, now) > remaining {
		return "the time that remains after queueing is shorter than the predicted run"
	}
	return ""
}

// launch starts the run of a request that left the queue. The caller holds a.mu.
func (a *Agent) launch(ctx context.Context, r *request, now time.Time) {
	id := r.item.ID
	// After the deadline the engine frees the memory within cleanupTimeout.
	a.memory.Reserve(id, r.item.Memory, r.item.Deadline.Add(cleanupTimeout))
	r.poppedAt = now
	for _, other := range a.requests {
		if other.cancel != nil {
			other.prefillAhead += r.item.Tokens
		}
	}
	r.prefillAhead = a.queue.PrefillBacklog()
	runCtx, cancel := context.WithCancelCause(ctx)
	r.cancel = cancel
	a.tasks = append(a.tasks, rttask.Start(runCtx, string(id), func(ctx context.Context) error {
		defer cancel(nil)
		if r.memberCount > 0 {
			a.executeGroup(ctx, r)
		} else {
			a.execute(ctx, r)
		}
		return nil
	}))
}

// execute runs a request whose memory is reserved and records its result, also
// if the run panics.
func (a *Agent) execute(ctx context.Context, r *request) {
	result := rtledger.Result{State: rtledger.StateUnknown, Reason: rtwire.Reason_REASON_TARGET, Detail: "the run ended without a result"}
	defer func() { a.endRun(r, result) }()
	result = a.runAtTarget(ctx, r)
}

// runAtTarget sends a request to the target. It refuses a request whose deadline
// has passed or whose dispatch was delayed by a pause of the process.
func (a *Agent) runAtTarget(ctx context.Context, r *request) rtledger.Result {
	now := time.Now()
	if now.Sub(r.poppedAt) > pauseThreshold {
		return notRunResult(rtwire.Reason_REASON_PAUSED, "the agent process was paused before dispatch")
	}
	if !now.Before(r.item.Deadline) {
		return notRunResult(rtwire.Reason_REASON_DEADLINE, "the time limit passed before dispatch")
	}
	if !a.startInLedger(r) {
		return notRunResult(rtwire.Reason_REASON_CANCELLED, "cancelled before the request started")
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

// endRun settles a request whose run has ended and frees its slot and memory.
func (a *Agent) endRun(r *request, result rtledger.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finishRun(r, result)
	a.wakeDispatcher()
}

// finishRun does the work of endRun. The caller holds a.mu.
func (a *Agent) finishRun(r *request, result rtledger.Result) {
	now := time.Now()
	a.queue.Finish(r.item.ID, now)
	a.memory.Release(r.item.ID)
	r.cancel = nil
	r.body = nil
	a.settle(r, result)
}

// reapTasks removes tasks that have ended and logs their errors. The caller
// holds a.mu.
func (a *Agent) reapTasks() {
	running := a.tasks[:0]
	for _, task := range a.tasks {
		select {
		case err := <-task.Done():
			a.logTaskError(err)
		default:
			running = append(running, task)
		}
	}
	clear(a.tasks[len(running):])
	a.tasks = running
}

// stopTasks waits for the remaining tasks when the agent stops, after their
// contexts were cancelled.
func (a *Agent) stopTasks() error {
	a.mu.Lock()
	tasks := a.tasks
	a.tasks = nil
	a.mu.Unlock()
	for _, task := range tasks {
		a.logTaskError(task.Stop())
	}
	return nil
}

func (a *Agent) logTaskError(err error) {
	if err != nil {
		a.log.Error(err, "Background task failed.")
	}
}

// findRunning returns the running request with an ID, or nil. The caller holds
// a.mu.
func (a *Agent) findRunning(id rtid.Request) *request {
	if r := a.requests[id]; r != nil && r.cancel != nil {
		return r
	}
	return nil
}
