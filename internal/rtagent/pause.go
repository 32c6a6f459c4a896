package rtagent

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// tickInterval is how often the dispatcher runs without a wake-up.
	tickInterval = 50 * time.Millisecond
	// pauseLimit is the gap between two ticks that counts as a pause. Another
	// agent may have started beside the target meanwhile.
	pauseLimit = time.Second
	// pauseSettle is how long after a pause offers may still come out of
	// socket buffers that filled during it.
	pauseSettle = 200 * time.Millisecond
)

// pause notices that the process did not run for a while.
type pause struct {
	latest  time.Time // latest time seen; carries the monotonic clock
	resumed time.Time // end of the last pause, zero without one
}

// notice takes in the time and reports whether a pause has just ended.
func (p *pause) notice(now time.Time) bool {
	paused := now.Sub(p.latest) > pauseLimit
	if now.After(p.latest) {
		p.latest = now
	}
	if paused {
		p.resumed = now
	}
	return paused
}

// settling reports whether a pause ended just before now.
func (p *pause) settling(now time.Time) bool {
	return !p.resumed.IsZero() && now.Sub(p.resumed) < pauseSettle
}

// noticePause drops what has not been dispatched when a pause has ended. The
// caller holds a.mu.
func (a *Agent) noticePause(now time.Time) bool {
	gap := now.Sub(a.pause.latest)
	if !a.pause.notice(now) {
		return false
	}
	a.log.Info("Process was paused, waiting requests are dropped.", "pause", gap.String(), "waiting", a.queue.Waiting())
	a.metrics.Counter("pauses").Inc(1)
	a.abandonWaiting(rtwire.Reason_REASON_PAUSED, "the agent was paused")
	return true
}
