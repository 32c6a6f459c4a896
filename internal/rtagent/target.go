package rtagent

import (
	"fmt"
	"net/http"

	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// refusedByTarget takes in a refusal by the target. One with a higher fencing
// number means that a later agent owns the target, so this one must stop.
func (a *Agent) refusedByTarget(status *rttarget.StatusError) {
	if status.Status == http.StatusConflict && status.Fence > a.node.Incarnation() {
		a.fence(status)
		return
	}
	if status.Status >= http.StatusInternalServerError || status.Status == http.StatusTooManyRequests {
		a.resetWarm()
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

// targetFailed takes in that the target broke a call.
func (a *Agent) targetFailed(err error) {
	a.log.Info("target failed", "error", err.Error())
	a.metrics.Counter("target_failures").Inc(1)
	a.resetWarm()
}

func (a *Agent) resetWarm() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warm.Reset()
	a.metrics.Gauge("warm_limit").Update(float64(a.warm.Now()))
}
