package rtagent

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// refusedByTarget takes in a refusal by the target and returns the reason for
// the caller. One with a higher fencing number means that a later agent owns
// the target, so this one must stop.
func (a *Agent) refusedByTarget(status *rttarget.StatusError) rtwire.Reason {
	switch {
	case status.Status == http.StatusInsufficientStorage:
		return rtwire.Reason_REASON_MEMORY
	case status.Status == http.StatusConflict && status.Fence > a.node.Incarnation():
		a.fence(status)
	case overloaded(status.Status):
		a.targetFailed(status)
	}
	return rtwire.Reason_REASON_TARGET
}

// overloaded reports whether a status says that the target cannot work now,
// rather than that it cannot do what was asked.
func overloaded(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

func (a *Agent) fence(status *rttarget.StatusError) {
	a.mu.Lock()
	a.leaving = true
	a.abandonWaiting(rtwire.Reason_REASON_TARGET, "a later agent owns the target")
	a.mu.Unlock()
	select {
	case a.fenced <- fmt.Errorf("target has seen fencing number %d: %w", status.Fence, status):
	default:
	}
}

// targetFailed takes in that the target broke a call. Nothing more is sent to
// it until a check has shown that it answers.
func (a *Agent) targetFailed(err error) {
	a.log.Info("Target failed.", "error", err.Error())
	a.metrics.Counter("target_failures").Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.broken = time.Now()
	a.suspect = true
	a.moveWarm(a.warm.Reset)
	select {
	case a.check <- struct{}{}:
	default:
	}
}
