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

// cleanupTimeout limits calls that free memory at the engine. Reconciliation
// repeats calls that failed.
const cleanupTimeout = 2 * time.Second

// Causes with which the context of a run is cancelled.
var (
	errCancelled = errors.New("cancelled by the caller")
	errRestarted = errors.New("the engine restarted while the request ran")
	errLeaseLost = errors.New("the memory reserved at another engine was lost")
	errStopped   = errors.New("the agent reached its drain timeout")
)

// tokenWindow is the number of decoded tokens per measurement of a running
// generation. Measuring before the generation ends detects a target that has
// become cold in time to reduce its load.
const tokenWindow rtid.Tokens = 32

// generationTiming holds the measurements of one generation.
type generationTiming struct {
	sent          time.Time
	firstToken    time.Time // zero before the first token
	lastToken     time.Time
	decodedTokens rtid.Tokens // without those of the first chunk
	windowStart   time.Time   // start of the current window
	windowTokens  rtid.Tokens // tokens decoded in the current window
}

// runDraft generates the answer of a draft at the engine.
func (a *Agent) runDraft(ctx context.Context, r *request) rtledger.Result {
	ctx, cancel := context.WithDeadline(ctx, r.item.Deadline)
	defer cancel()
	trace := &connectionTrace{}
	timing := &generationTiming{sent: time.Now()}
	stream, err := a.engine.Generate(trace.attach(ctx), rttarget.GenerateRequest{
		ID:       r.item.ID,
		Model:    r.model,
		Prompt:   r.body,
		Prefix:   r.prefix,
		Output:   r.maxOutput,
		Priority: a.priority(r),
		Remote:   r.memberTokens * rtid.Tokens(r.memberCount),
		Fence:    a.node.Incarnation(),
	})
	if err != nil {
		return a.generateFailure(ctx, r, trace, err)
	}
	defer func() { _ = stream.Close() }()
	result := a.relayStream(ctx, r, stream, timing)
	if result.State != rtledger.StateDone {
		a.cancelStream(ctx, r.item.ID)
	}
	a.recordGeneration(r, timing, result)
	return result
}

// generateFailure returns the result of a Generate call that returned no stream.
func (a *Agent) generateFailure(ctx context.Context, r *request, trace *connectionTrace, err error) rtledger.Result {
	var status *rttarget.StatusError
	if errors.As(err, &status) {
		return notRunResult(a.handleTargetRefusal(status), err.Error())
	}
	if ctx.Err() == nil {
		a.recordTargetFailure(err)
	}
	if !trace.wasConnected() {
		return notRunResult(endReason(ctx), err.Error())
	}
	a.cancelStream(ctx, r.item.ID)
	return failedResult(ctx, err)
}

// relayStream appends the text that the engine streams to the answer buffer.
func (a *Agent) relayStream(ctx context.Context, r *request, stream *rttarget.Stream, timing *generationTiming) rtledger.Result {
	for {
		chunk, err := stream.Next()
		if err != nil {
			if ctx.Err() == nil {
				a.recordTargetFailure(err)
			}
			return failedResult(ctx, fmt.Errorf("read the engine's stream: %w", err))
		}
		if chunk.Text != "" {
			a.recordChunk(r, timing, chunk.Tokens)
			if err := r.buffer.Append([]byte(chunk.Text)); err != nil {
				return rtledger.Result{State: rtledger.StateFailed, Reason: rtwire.Reason_REASON_TARGET, Detail: err.Error()}
			}
		}
		switch chunk.End {
		case "":
		case rttarget.EndDone:
			return rtledger.Result{State: rtledger.StateDone}
		case rttarget.EndCancelled:
			return rtledger.Result{State: rtledger.StateFailed, Reason: endReason(ctx), Detail: "cancelled at the engine"}
		default:
			a.recordTargetFailure(fmt.Errorf("generation failed: %s", chunk.Detail))
			return rtledger.Result{State: rtledger.StateFailed, Reason: rtwire.Reason_REASON_TARGET, Detail: chunk.Detail}
		}
	}
}

// recordChunk records the arrival of a chunk of text with its number of tokens.
func (a *Agent) recordChunk(r *request, timing *generationTiming, tokens rtid.Tokens) {
	now := time.Now()
	timing.lastToken = now
	if timing.firstToken.IsZero() {
		timing.firstToken, timing.windowStart = now, now
		a.mu.Lock()
		a.queue.PrefillDone(r.item.ID)
		a.mu.Unlock()
		a.wakeDispatcher()
		return
	}
	timing.decodedTokens += tokens
	timing.windowTokens += tokens
	if timing.windowTokens < tokenWindow {
		return
	}
	a.mu.Lock()
	a.updateWarmUp(func() { a.warmUp.RecordProgress(a.speed.tokenRatio(timing.windowTokens, now.Sub(timing.windowStart))) })
	a.mu.Unlock()
	timing.windowTokens, timing.windowStart = 0, now
}

// recordGeneration updates the warm-up limit, the speed estimate and the metrics
// from a completed generation.
func (a *Agent) recordGeneration(r *request, timing *generationTiming, result rtledger.Result) {
	if result.State != rtledger.StateDone || timing.firstToken.IsZero() {
		return
	}
	timeToFirstToken := timing.firstToken.Sub(timing.sent)
	decodeTime := timing.lastToken.Sub(timing.firstToken)
	a.mu.Lock()
	defer a.mu.Unlock()
	ratio := max(rtwarm.Ratio(timeToFirstToken, a.speed.warmPrefillTime(r.prefillAhead)), a.speed.tokenRatio(timing.decodedTokens, decodeTime))
	a.updateWarmUp(func() { a.warmUp.RecordCompletion(ratio) })
	a.speed.recordPrefill(r.prefillAhead, timeToFirstToken, timing.lastToken)
	a.speed.recordDecode(timing.decodedTokens, decodeTime, timing.lastToken)
	a.speed.recordDuration(r.item.Class, timing.lastToken.Sub(timing.sent))
	a.metrics.Timer("first_token").Record(timing.firstToken.Sub(r.item.Arrived))
}

// updateWarmUp runs an update of the warm-up limit and logs a change. The caller
// holds a.mu.
func (a *Agent) updateWarmUp(update func()) {
	before := a.warmUp.Current()
	update()
	if after := a.warmUp.Current(); after != before {
		a.log.Info("Warm-up limit changed.", "before", before, "after", after)
		a.metrics.Gauge("warm_limit").Update(float64(after))
	}
}

// cancelStream stops a generation at the engine, also after the context of the
// run has ended.
func (a *Agent) cancelStream(ctx context.Context, id rtid.Request) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	if err := a.engine.Cancel(ctx, id); err != nil {
		a.log.Info("Cancelling a stream at the engine failed; reconciliation will retry.", "request", id, "error", err.Error())
	}
}

func notRunResult(reason rtwire.Reason, detail string) rtledger.Result {
	return rtledger.Result{State: rtledger.StateNotRun, Reason: reason, Detail: detail}
}

// failedResult returns the result of a run that failed after it had started.
func failedResult(ctx context.Context, err error) rtledger.Result {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return rtledger.Result{State: rtledger.StateFailed, Reason: endReason(ctx), Detail: err.Error()}
}

// endReason returns the reason that belongs to the cancellation cause of a run.
func endReason(ctx context.Context) rtwire.Reason {
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
