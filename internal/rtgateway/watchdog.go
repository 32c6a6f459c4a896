package rtgateway

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdelivery"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// silenceShare is the part of the abandon timeout, or for safe requests of the
// time until the deadline, after which an attempt at a silent target may be
// cancelled. The rest is left for another target.
const silenceShare = 0.6

// watchdog cancels an attempt whose target sends nothing for too long, if
// another attempt can follow. A silent target may still answer, so it does not
// cancel before it has a target and a retry for the next attempt. The timeout
// begins with the attempt, and again with each event of a stream.
type watchdog struct {
	delivery *delivery
	target   rtid.Target
	cancel   context.CancelCauseFunc
	timeout  time.Duration

	mu       sync.Mutex
	waiting  time.Time   // since when the caller waits for the next event
	confirms bool        // the attempt shows whether a stream goes on that may be complete
	timer    *time.Timer // nil if no further attempt may follow
	stopped  bool
	logged   bool // that there is no successor
}

// startWatchdog starts the watchdog of one attempt. When the timeout expires, it
// cancels the attempt as soon as another one can follow, with one exception: a
// stream whose target has responded to another request of this process within
// the last half of the timeout counts as busy rather than silent.
func (d *delivery) startWatchdog(target rtid.Target, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{delivery: d, target: target, cancel: cancel, waiting: d.waitingSince(), confirms: d.endReported}
	last := d.attempts.IsLastAttempt()
	if last && !w.confirms {
		return w
	}
	w.timeout = time.Duration(silenceShare * float64(d.request.work.AbandonTimeout))
	if d.request.route.Kind == rtcatalog.KindSafe {
		w.timeout = time.Duration(silenceShare * float64(time.Until(d.request.deadline)))
	}
	first := w.timeout
	if w.confirms {
		first -= time.Since(w.waiting)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, w.expire)
	return w
}

// expire cancels the attempt if there is a successor, and otherwise tries again
// a little later.
func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.confirms {
		w.stopped = true
		w.cancel(errSilent)
		return
	}
	stream := w.delivery.request.route.Kind == rtcatalog.KindStream
	if recent := w.timeout / 2; stream && w.delivery.gateway.respondedSince(w.target, time.Now().Add(-recent)) {
		w.timer.Reset(recent)
		return
	}
	if reason := w.delivery.reserveSuccessor(rtdelivery.Lost, time.Since(w.waiting)); reason != "" {
		if !w.logged {
			w.logged = true
			w.delivery.gateway.log.Info("Silent target kept.", "request", w.delivery.request.info.ID, "target", w.target, "reason", reason)
		}
		w.timer.Reset(admitInterval)
		return
	}
	w.stopped = true
	w.cancel(errSilent)
}

// reset restarts the timeout after an event.
func (w *watchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = time.Now()
	if w.confirms && w.delivery.attempts.IsLastAttempt() {
		w.timer.Stop()
		w.timer = nil
	}
	w.confirms = false
	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.timeout)
	}
}

// stop ends the watchdog. The attempt is not cancelled afterwards, and the
// delivery gets no successor.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// reserveSuccessor reserves a target and a retry for the attempt that follows if the
// current one ends with an outcome. It returns why there is none, or nothing. It must not
// be called while the watchdog of the current attempt runs, but by the watchdog itself;
// waited is how long the caller has waited for the next event.
func (d *delivery) reserveSuccessor(after rtdelivery.AttemptOutcome, waited time.Duration) string {
	if !d.gateway.retryAvailable(d.request.service.Name) {
		// Checked first: a placement counts against the rate limit of its target.
		return retryBudgetExhausted
	}
	if reason := d.reserveTarget(waited); reason != "" {
		return reason
	}
	if !d.takeRetry(after) {
		d.dropSuccessor()
		return retryBudgetExhausted
	}
	return ""
}

// reserveTarget is reserveSuccessor without a retry.
func (d *delivery) reserveTarget(waited time.Duration) string {
	// The caller may already have its whole answer, or get it from the current attempt,
	// so an answer that has begun gets no precedence over others here.
	work := d.request.work
	work.Waited = waited
	next, ok := d.gateway.place(d.request, work, d.tried)
	switch {
	case !ok:
		return "no other target"
	case next.Decision != rtplacement.Send:
		return "other targets have no room"
	}
	d.successor = &next
	return ""
}

// takeSuccessor returns the reserved successor, if any. The caller makes the
// attempt.
func (d *delivery) takeSuccessor() (scheduled, bool) {
	if d.successor == nil {
		return scheduled{}, false
	}
	next := *d.successor
	d.successor = nil
	return next, true
}

// dropSuccessor releases a reserved successor that is not needed: the current
// attempt has ended the request before it was cancelled.
func (d *delivery) dropSuccessor() {
	if next, ok := d.takeSuccessor(); ok {
		d.gateway.finish(next.inFlight)
	}
}
