package rtgateway

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// silenceShare is the part of the abandon timeout, or of the remaining time,
// after which an attempt at a silent target is cancelled. The rest is left for
// another target.
const silenceShare = 0.6

// watchdog cancels an attempt whose target sends nothing for too long, if
// another attempt may follow.
type watchdog struct {
	timer   *time.Timer // nil if no further attempt may follow
	timeout time.Duration
}

// startWatchdog starts the watchdog of one attempt. A target of a stream that
// has responded to other requests meanwhile is busy rather than silent.
func (d *delivery) startWatchdog(target rtid.Target, cancel context.CancelCauseFunc) *watchdog {
	route := d.request.route
	if d.attempts.IsLastAttempt() {
		return &watchdog{}
	}
	timeout := time.Duration(silenceShare * float64(d.request.work.AbandonTimeout))
	if route.Kind == rtcatalog.KindSafe {
		timeout = time.Duration(silenceShare * float64(time.Until(d.request.deadline)))
	}
	sent := time.Now()
	w := &watchdog{timeout: timeout}
	w.timer = time.AfterFunc(timeout, func() {
		if route.Kind == rtcatalog.KindStream && d.gateway.respondedSince(target, sent.Add(timeout/2)) {
			return
		}
		cancel(errSilent)
	})
	return w
}

// reset restarts the timeout.
func (w *watchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

// stop stops the watchdog.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
