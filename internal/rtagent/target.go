package rtagent

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// handleTargetRefusal evaluates an error status of the target and returns the
// reason for the caller. A conflict with a higher fencing number means that a
// later agent owns the target, so this one must stop.
func (a *Agent) handleTargetRefusal(status *rttarget.StatusError) rtwire.Reason {
	switch {
	case status.Status == http.StatusInsufficientStorage:
		return rtwire.Reason_REASON_MEMORY
	case status.Status == http.StatusConflict && status.Fence > a.node.Incarnation():
		a.stopFenced(status)
	case overloaded(status.Status):
		a.recordTargetFailure(status)
	}
	return rtwire.Reason_REASON_TARGET
}

// overloaded reports whether a status means that the target cannot serve any
// request now, rather than that it refuses this one.
func overloaded(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// stopFenced stops this agent because a later one owns the target.
func (a *Agent) stopFenced(status *rttarget.StatusError) {
	a.mu.Lock()
	a.draining = true
	a.settleWaitingNotRun(rtwire.Reason_REASON_TARGET, "a later agent owns the target")
	a.mu.Unlock()
	select {
	case a.fenced <- fmt.Errorf("fenced: target has seen the higher fencing number %d: %w", status.Fence, status):
	default:
	}
}

// recordTargetFailure records that a call to the target failed. No new request
// is sent to it until a check has succeeded.
func (a *Agent) recordTargetFailure(err error) {
	a.log.Info("Call to the target failed.", "error", err.Error())
	a.metrics.Counter("target_failures").Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastFailure = time.Now()
	a.checkPending = true
	a.updateWarmUp(a.warmUp.Reset)
	select {
	case a.checkNow <- struct{}{}:
	default:
	}
}
