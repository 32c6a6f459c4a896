package rtagent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtledger"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwarm"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// cleanupTimeout bounds calls that free memory at the engine. What fails is
// repeated by reconciliation.
const cleanupTimeout = 2 * time.Second

// Causes of the end of a run's context.
var (
	errCancelled = errors.New("cancelled by the caller")
	errRestarted = errors.New("the engine has restarted")
	errLease     = errors.New("memory at another engine was lost")
	errStopped   = errors.New("the agent has reached its drain limit")
)

// paceWindow is the tokens of a running answer that are measured together, so
// that a target that turns cold is noticed before its answers end.
const paceWindow rtid.Tokens = 32

// progress is the measured course of one generation.
type progress struct {
	sent   time.Time
	first  time.Time // zero before the first token
	last   time.Time
	tokens rtid.Tokens // after those of the first chunk
	marked time.Time   // start of the current window
	window rtid.Tokens // tokens in it
}

// runDraft generates an answer at the engine.
func (a *Agent) runDraft(ctx context.Context, r *request) rtledger.Result {
	ctx, cancel := context.WithDeadline(ctx, r.item.Deadline)
	defer cancel()
	trace := &connectionTrace{}
	course := &progress{sent: time.Now()}
	stream, err := a.engine.Generate(trace.watch(ctx), rttarget.GenerateRequest{
		ID:       r.item.ID,
		Model:    r.model,
		Prompt:   r.body,
		Prefix:   r.prefix,
		Output:   r.output,
		Priority: a.priority(r),
		Remote:   r.share * rtid.Tokens(r.members),
		Fence:    a.node.Incarnation(),
	})
	if err != nil {
		return a.notGenerated(ctx, r, trace, err)
	}
	defer func() { _ = stream.Close() }()
	result := a.relay(ctx, r, stream, course)
	if result.State != rtledger.StateDone {
		a.cancelStream(ctx, r.item.ID)
	}
	a.measure(r, course, result)
	return result
}

// notGenerated returns the result of a generation that got no stream.
func (a *Agent) notGenerated(ctx context.Context, r *request, trace *connectionTrace, err error) rtledger.Result {
	var status *rttarget.StatusError
	if errors.As(err, &status) {
		return notRun(a.refusedByTarget(status), err.Error())
	}
	if ctx.Err() == nil {
		a.targetFailed(err)
	}
	if !trace.wasConnected() {
		return notRun(reasonOf(ctx), err.Error())
	}
	a.cancelStream(ctx, r.item.ID)
	return failed(ctx, err)
}

// relay moves the stream of the engine into the answer buffer.
func (a *Agent) relay(ctx context.Context, r *request, stream *rttarget.Stream, course *progress) rtledger.Result {
	for {
		chunk, err := stream.Next()
		if err != nil {
			if ctx.Err() == nil {
				a.targetFailed(err)
			}
			return failed(ctx, fmt.Errorf("stream of the engine: %w", err))
		}
		if chunk.Text != "" {
			a.advance(r, course, chunk.Tokens)
			if err := r.buffer.Append([]byte(chunk.Text)); err != nil {
				return rtledger.Result{State: rtledger.StateFailed, Reason: rtwire.Reason_REASON_TARGET, Detail: err.Error()}
			}
		}
		switch chunk.End {
		case "":
		case rttarget.EndDone:
			return rtledger.Result{State: rtledger.StateDone}
		case rttarget.EndCancelled:
			return rtledger.Result{State: rtledger.StateFailed, Reason: reasonOf(ctx), Detail: "cancelled at the engine"}
		default:
			a.targetFailed(fmt.Errorf("generation failed: %s", chunk.Detail))
			return rtledger.Result{State: rtledger.StateFailed, Reason: rtwire.Reason_REASON_TARGET, Detail: chunk.Detail}
		}
	}
}

// advance takes in a chunk with tokens of text.
func (a *Agent) advance(r *request, course *progress, tokens rtid.Tokens) {
	now := time.Now()
	course.last = now
	if course.first.IsZero() {
		course.first, course.marked = now, now
		a.mu.Lock()
		a.queue.PrefillDone(r.item.ID)
		a.mu.Unlock()
		a.signal()
		return
	}
	course.tokens += tokens
	course.window += tokens
	if course.window < paceWindow {
		return
	}
	a.mu.Lock()
	a.moveWarm(func() { a.warm.RecordProgress(a.pace.tokenRatio(course.window, now.Sub(course.marked))) })
	a.mu.Unlock()
	course.window, course.marked = 0, now
}

// measure lets a completed generation move the warm-up limit and the pace.
func (a *Agent) measure(r *request, course *progress, result rtledger.Result) {
	if result.State != rtledger.StateDone || course.first.IsZero() {
		return
	}
	toFirst := course.first.Sub(course.sent)
	answering := course.last.Sub(course.first)
	a.mu.Lock()
	defer a.mu.Unlock()
	ratio := max(rtwarm.Ratio(toFirst, a.pace.expected(r.ahead)), a.pace.tokenRatio(course.tokens, answering))
	a.moveWarm(func() { a.warm.RecordCompletion(ratio) })
	a.pace.prefilled(r.ahead, toFirst, course.last)
	a.pace.answered(course.tokens, answering, course.last)
	a.pace.served(r.item.Class, course.last.Sub(course.sent))
	a.metrics.Timer("first_token").Record(course.first.Sub(r.item.Arrived))
}

// moveWarm reports a change of the warm-up limit. The caller holds a.mu.
func (a *Agent) moveWarm(move func()) {
	before := a.warm.Current()
	move()
	if after := a.warm.Current(); after != before {
		a.log.Info("Warm-up limit changed.", "before", before, "after", after)
		a.metrics.Gauge("warm_limit").Update(float64(after))
	}
}

// cancelStream stops a generation, also when the run's own context has ended.
func (a *Agent) cancelStream(ctx context.Context, id rtid.Request) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	if err := a.engine.Cancel(ctx, id); err != nil {
		a.log.Info("Cancel at the engine failed, reconciliation repeats it.", "request", id, "error", err.Error())
	}
}

func notRun(reason rtwire.Reason, detail string) rtledger.Result {
	return rtledger.Result{State: rtledger.StateNotRun, Reason: reason, Detail: detail}
}

// failed returns the result of a run that stopped after its start.
func failed(ctx context.Context, err error) rtledger.Result {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return rtledger.Result{State: rtledger.StateFailed, Reason: reasonOf(ctx), Detail: err.Error()}
}

// reasonOf returns why a run's context has ended.
func reasonOf(ctx context.Context) rtwire.Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return rtwire.Reason_REASON_DEADLINE
	case errors.Is(cause, errCancelled):
		return rtwire.Reason_REASON_CANCELLED
	case errors.Is(cause, errStopped):
		return rtwire.Reason_REASON_LEAVING
	default:
		return rtwire.Reason_REASON_TARGET
	}
}
