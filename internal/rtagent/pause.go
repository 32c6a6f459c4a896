package rtagent

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// tickInterval is the interval at which the dispatcher runs without a
	// wake-up.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the gap between two ticks above which the process counts
	// as paused. Another agent may have started beside the target meanwhile.
	pauseThreshold = time.Second
	// resumeGrace is how long after a pause offers may still be read from socket
	// buffers that filled during it.
	resumeGrace = 200 * time.Millisecond
)

// pauseDetector detects that the process did not run for a while.
type pauseDetector struct {
	lastSeen   time.Time // latest time observed, with its monotonic clock reading
	lastResume time.Time // end of the last pause; zero if there was none
}

// observe records the current time and reports whether a pause has just ended.
func (p *pauseDetector) observe(now time.Time) bool {
	paused := now.Sub(p.lastSeen) > pauseThreshold
	if now.After(p.lastSeen) {
		p.lastSeen = now
	}
	if paused {
		p.lastResume = now
	}
	return paused
}

// justResumed reports whether a pause ended less than resumeGrace before now.
func (p *pauseDetector) justResumed(now time.Time) bool {
	return !p.lastResume.IsZero() && now.Sub(p.lastResume) < resumeGrace
}

// handlePause detects the end of a pause and then drops all requests that are
// not running yet. It reports whether a pause has ended. The caller holds a.mu.
func (a *Agent) handlePause(now time.Time) bool {
	gap := now.Sub(a.pauses.lastSeen)
	if !a.pauses.observe(now) {
		return false
	}
	a.log.Info("Process was paused; dropping waiting requests.", "pause", gap.String(), "waiting", a.queue.Waiting())
	a.metrics.Counter("pauses").Inc(1)
	a.settleWaitingNotRun(rtwire.Reason_REASON_PAUSED, "the agent process was paused")
	return true
}
