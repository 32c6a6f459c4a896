package rtagent

import (
	"context"
	"fmt"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtledger"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// reconcilePeriod bounds how long memory that nobody owns stays in use:
	// two periods, because a stream must be unknown twice.
	reconcilePeriod = 2 * time.Second
	// prepareRetry is the wait between two tries to reach the target at start.
	prepareRetry = 250 * time.Millisecond
	// restartNotice is the longest time between a call that a restart of the
	// target broke and the report of the restart, which lags.
	restartNotice = reconcilePeriod + 2*time.Second
	// callTimeout bounds control calls to the target.
	callTimeout = time.Second
)

// Kinds of memory use in rttarget.EngineStream.
const (
	kindStream = "stream"
	kindHold   = "hold"
	kindExport = "export"
)

// keep prepares the target, declares the agent ready, then reconciles until
// the context ends.
func (a *Agent) keep(ctx context.Context) error {
	for {
		err := a.prepare(ctx)
		if err == nil {
			break
		}
		a.log.Info("Target is not ready.", "error", err.Error())
		if !sleep(ctx, prepareRetry) {
			return nil
		}
	}
	select {
	case <-a.node.Started():
	case <-ctx.Done():
		return nil
	}
	a.setReady()
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.check:
		case <-ticker.C:
			a.reconcile(ctx)
			continue
		}
		// Apart from the periods, so that two sightings of a stream stay apart.
		a.checkTarget(ctx)
	}
}

func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *Agent) setReady() {
	a.mu.Lock()
	a.ready = true
	serving := a.serving()
	a.mu.Unlock()
	a.node.SetReady(serving)
	a.log.Info("Ready.", "incarnation", uint64(a.node.Incarnation()))
}

// prepare takes over the target: a fencing number above all earlier ones, and
// no memory left in use by an earlier incarnation.
func (a *Agent) prepare(ctx context.Context) error {
	load, err := a.targetLoad(ctx)
	if err != nil {
		return err
	}
	if load.Fence >= a.node.Incarnation() {
		a.node.RaiseIncarnation(load.Fence + 1)
	}
	a.mu.Lock()
	a.start = load.StartID
	a.mu.Unlock()
	if a.engine == nil {
		return nil
	}
	streams, err := a.streams(ctx)
	if err != nil {
		return err
	}
	for _, stream := range streams {
		if err := a.freeStream(ctx, stream); err != nil {
			return err
		}
	}
	return nil
}

func (a *Agent) targetLoad(ctx context.Context) (rttarget.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if a.engine != nil {
		return a.engine.Load(ctx)
	}
	return a.service.Load(ctx)
}

func (a *Agent) streams(ctx context.Context) ([]rttarget.EngineStream, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.engine.Streams(ctx)
}

// freeStream frees memory at the engine that this incarnation does not own.
func (a *Agent) freeStream(ctx context.Context, stream rttarget.EngineStream) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a.log.Info("Freeing memory of an unknown owner.", "request", stream.ID, "kind", stream.Kind, "tokens", int64(stream.Tokens))
	a.metrics.Counter("streams_freed").Inc(1)
	switch stream.Kind {
	case kindStream:
		return a.engine.Cancel(ctx, stream.ID)
	case kindHold:
		return a.engine.Unhold(ctx, stream.ID)
	case kindExport:
		return a.engine.DeleteExport(ctx, stream.ID)
	default:
		return fmt.Errorf("engine lists unknown kind %q", stream.Kind)
	}
}

// reconcile compares the target with the agent's own state.
func (a *Agent) reconcile(ctx context.Context) {
	a.resetWarmUpOutOfZone()
	if !a.checkTarget(ctx) || a.engine == nil {
		return
	}
	streams, err := a.streams(ctx)
	if err != nil {
		return
	}
	for _, stream := range a.unknownTwice(streams) {
		if err := a.freeStream(ctx, stream); err != nil {
			a.log.Info("Freeing memory failed, reconciliation repeats it.", "request", stream.ID, "error", err.Error())
		}
	}
}

// resetWarmUpOutOfZone sets the warm-up limit of a target whose availability zone is out
// back to the cold value. Targets of a zone that returns are cold, and a
// restart shortly before the return may not have been noticed.
func (a *Agent) resetWarmUpOutOfZone() {
	_, document := a.node.Document()
	if document == nil || document.ZoneState(a.settings.Zone) == rtdocument.ZoneInService {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.moveWarm(a.warm.Reset)
}

// checkTarget reads the target's report and reports whether it answers.
func (a *Agent) checkTarget(ctx context.Context) bool {
	asked := time.Now()
	load, err := a.targetLoad(ctx)
	if err == nil {
		a.noticeRestart(load.StartID, asked)
	}
	if ctx.Err() == nil {
		a.setDown(err != nil)
	}
	return err == nil
}

// setDown takes in whether the target answers. A target that does not answer
// gets no new work, and waiting requests can still run elsewhere.
func (a *Agent) setDown(down bool) {
	a.mu.Lock()
	changed := a.down != down
	a.down = down
	a.suspect = false
	a.signal()
	if down {
		a.moveWarm(a.warm.Reset)
		a.abandonWaiting(rtwire.Reason_REASON_TARGET, "the target does not answer")
	}
	serving := a.serving()
	a.mu.Unlock()
	if changed {
		a.log.Info("Target changed.", "down", down)
		a.node.SetReady(serving)
	}
}

// noticeRestart fails what ran at an engine that has restarted since. What
// started after the last broken call runs at the new start already. A plain
// service is left alone: what became of its calls shows in their own answers.
//
// Without a broken call the restart was at some time since the last report of
// the old start. What has started since then runs at the new start, or its
// connection breaks.
func (a *Agent) noticeRestart(start int64, asked time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reported := a.reported
	a.reported = asked
	if start == a.start {
		return
	}
	a.log.Info("Target has restarted.", "before", a.start, "after", start)
	a.start = start
	before := a.broken
	if time.Since(before) > restartNotice {
		before = reported
		a.moveWarm(a.warm.Reset)
	}
	if a.engine == nil {
		return
	}
	for group := range a.held {
		// The leader learns it when it renews.
		a.memory.Release(group)
		delete(a.held, group)
	}
	for _, r := range a.requests {
		if r.cancel == nil || r.popped.After(before) {
			continue
		}
		a.settle(r, rtledger.Result{
			State:  rtledger.StateFailed,
			Reason: rtwire.Reason_REASON_TARGET,
			Detail: errRestarted.Error(),
		})
		r.cancel(errRestarted)
		a.memory.Release(r.item.ID)
	}
}

// unknownTwice returns the streams that were unknown in this and in the last
// reconciliation, so that a stream that is just being started stays.
func (a *Agent) unknownTwice(streams []rttarget.EngineStream) []rttarget.EngineStream {
	a.mu.Lock()
	defer a.mu.Unlock()
	var unknown []rttarget.EngineStream
	seen := make(map[rtid.Request]bool)
	for _, stream := range streams {
		if a.find(stream.ID) != nil || a.held[stream.ID] {
			continue
		}
		seen[stream.ID] = true
		if a.unowned[stream.ID] {
			unknown = append(unknown, stream)
		}
	}
	a.unowned = seen
	return unknown
}
