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
	// reconcilePeriod is the interval of reconciliation. Memory without an owner
	// stays in use for at most two periods, because it is freed only when two
	// reconciliations in a row find no owner.
	reconcilePeriod = 2 * time.Second
	// takeOverRetryInterval is the wait between two attempts to take over the
	// target at start.
	takeOverRetryInterval = 250 * time.Millisecond
	// restartReportDelay is the longest time between a call that failed because
	// the target restarted and the load report that shows the restart. Load
	// reports lag.
	restartReportDelay = reconcilePeriod + 2*time.Second
	// controlTimeout limits control calls to the target.
	controlTimeout = time.Second
)

// Values of rttarget.MemoryUse.Kind.
const (
	kindStream = "stream"
	kindHold   = "hold"
	kindExport = "export"
)

// maintainTarget takes over the target, marks the agent as ready, then
// reconciles until the context ends.
func (a *Agent) maintainTarget(ctx context.Context) error {
	for {
		err := a.takeOverTarget(ctx)
		if err == nil {
			break
		}
		a.log.Info("Taking over the target failed; retrying.", "error", err.Error())
		if !sleep(ctx, takeOverRetryInterval) {
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
		case <-a.checkNow:
		case <-ticker.C:
			a.reconcile(ctx)
			continue
		}
		// An extra check does not reconcile, so that reconciliations stay a full
		// period apart.
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

// takeOverTarget makes this incarnation the owner of the target: it raises its
// fencing number above all earlier ones and frees the memory that earlier
// incarnations left in use.
func (a *Agent) takeOverTarget(ctx context.Context) error {
	load, err := a.targetLoad(ctx)
	if err != nil {
		return err
	}
	if load.Fence >= a.node.Incarnation() {
		a.node.RaiseIncarnation(load.Fence + 1)
	}
	a.mu.Lock()
	a.targetStart = load.StartID
	a.mu.Unlock()
	if a.engine == nil {
		return nil
	}
	streams, err := a.listMemoryUse(ctx)
	if err != nil {
		return err
	}
	for _, stream := range streams {
		if err := a.freeMemory(ctx, stream); err != nil {
			return err
		}
	}
	return nil
}

func (a *Agent) targetLoad(ctx context.Context) (rttarget.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if a.engine != nil {
		return a.engine.Load(ctx)
	}
	return a.service.Load(ctx)
}

func (a *Agent) listMemoryUse(ctx context.Context) ([]rttarget.MemoryUse, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return a.engine.Streams(ctx)
}

// freeMemory frees memory at the engine that this incarnation does not own.
func (a *Agent) freeMemory(ctx context.Context, use rttarget.MemoryUse) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	a.log.Info("Freeing memory without an owner at the engine.", "request", use.ID, "kind", use.Kind, "tokens", int64(use.Tokens))
	a.metrics.Counter("streams_freed").Inc(1)
	switch use.Kind {
	case kindStream:
		return a.engine.Cancel(ctx, use.ID)
	case kindHold:
		return a.engine.Unhold(ctx, use.ID)
	case kindExport:
		return a.engine.DeleteExport(ctx, use.ID)
	default:
		return fmt.Errorf("engine lists memory of unknown kind %q, want stream, hold or export", use.Kind)
	}
}

// reconcile checks the target and frees memory at the engine that no request or
// reservation of this agent owns.
func (a *Agent) reconcile(ctx context.Context) {
	a.resetWarmUpOutOfZone()
	if !a.checkTarget(ctx) || a.engine == nil {
		return
	}
	uses, err := a.listMemoryUse(ctx)
	if err != nil {
		return
	}
	for _, use := range a.unownedTwice(uses) {
		if err := a.freeMemory(ctx, use); err != nil {
			a.log.Info("Freeing memory at the engine failed; the next reconciliation will retry.", "request", use.ID, "error", err.Error())
		}
	}
}

// resetWarmUpOutOfZone resets the warm-up limit while the availability zone of
// the target is out of service. Targets of a zone that returns to service are
// cold, and a restart shortly before the return may not have been detected.
func (a *Agent) resetWarmUpOutOfZone() {
	_, document := a.node.Document()
	if document == nil || document.ZoneState(a.settings.Zone) == rtdocument.ZoneInService {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateWarmUp(a.warmUp.Reset)
}

// checkTarget requests the target's load report and reports whether it replied.
func (a *Agent) checkTarget(ctx context.Context) bool {
	requestedAt := time.Now()
	load, err := a.targetLoad(ctx)
	if err == nil {
		a.handleRestart(load.StartID, requestedAt)
	}
	if ctx.Err() == nil {
		a.setTargetDown(err != nil)
	}
	return err == nil
}

// setTargetDown records whether the target replied to a check. A target that is
// down gets no new requests, and waiting requests are refused, so that they can
// still run elsewhere.
func (a *Agent) setTargetDown(down bool) {
	a.mu.Lock()
	changed := a.targetDown != down
	a.targetDown = down
	a.checkPending = false
	a.wakeDispatcher()
	if down {
		a.updateWarmUp(a.warmUp.Reset)
		a.settleWaitingNotRun(rtwire.Reason_REASON_TARGET, "the target does not respond")
	}
	serving := a.serving()
	a.mu.Unlock()
	if changed {
		a.log.Info("Target availability changed.", "down", down)
		a.node.SetReady(serving)
	}
}

// handleRestart compares the start ID of the target with the last one. If the
// engine has restarted, it fails the requests that ran before the restart.
// Requests that started after the last failed call run at the restarted engine
// already. For a plain service it changes no requests, because their own calls
// return their outcomes.
//
// Without a recent failed call, the restart was at some time after the last
// report with the old start ID was requested. Requests that started after that
// report run at the restarted engine, or their connections break.
func (a *Agent) handleRestart(start int64, requestedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lastReport := a.lastReport
	a.lastReport = requestedAt
	if start == a.targetStart {
		return
	}
	a.log.Info("Target restarted.", "before", a.targetStart, "after", start)
	a.targetStart = start
	cutoff := a.lastFailure
	if time.Since(cutoff) > restartReportDelay {
		cutoff = lastReport
		a.updateWarmUp(a.warmUp.Reset)
	}
	if a.engine == nil {
		return
	}
	for group := range a.groupReservations {
		// The leader detects the loss when its next renewal is refused.
		a.memory.Release(group)
		delete(a.groupReservations, group)
	}
	for _, r := range a.requests {
		if r.cancel == nil || r.poppedAt.After(cutoff) {
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

// unownedTwice returns the memory without an owner both now and at the last
// reconciliation. The memory of a stream that is just starting is thus not
// freed.
func (a *Agent) unownedTwice(uses []rttarget.MemoryUse) []rttarget.MemoryUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	var twice []rttarget.MemoryUse
	unowned := make(map[rtid.Request]bool)
	for _, use := range uses {
		if a.findRunning(use.ID) != nil || a.groupReservations[use.ID] {
			continue
		}
		unowned[use.ID] = true
		if a.unownedMemory[use.ID] {
			twice = append(twice, use)
		}
	}
	a.unownedMemory = unowned
	return twice
}
