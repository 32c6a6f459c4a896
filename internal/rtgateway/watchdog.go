package rtgateway

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// silenceShare is the part of the abandon timeout, or for safe requests of the
// time until the deadline, after which an attempt at a silent target is
// cancelled. The rest is left for another target.
const silenceShare = 0.6

// watchdog cancels an attempt whose target sends nothing for too long, if
// another attempt may follow. The timeout begins with the attempt, and again
// with each event of a stream.
type watchdog struct {
	timer   *time.Timer // nil if no further attempt may follow
	timeout time.Duration
}

// startWatchdog starts the watchdog of one attempt. When the timeout expires, it
// cancels the attempt, with one exception: a stream whose target has responded
// to this process, for this or any other request, later than half a timeout
// after the start of the attempt. Such a target counts as busy rather than
// silent, and the watchdog does nothing until the next event restarts it.
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

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
