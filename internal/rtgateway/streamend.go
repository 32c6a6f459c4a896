package rtgateway

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdelivery"
	"github.com/rhubarbtally/rhubarbtally/internal/rtexchange"
)

// Why a response that has neither a length nor chunks, and ended in order, is not whole.
var (
	errEndedWithTarget = errors.New("response without a length ended with the process of its target")
	errNoBody          = errors.New("response without a length ended before its body")
	errNoEvents        = errors.New("response without a length ended before its first event")
	errTruncates       = errors.New("response without a length of a target that has truncated a stream lately")
)

// endedWithTarget reports whether a response without a length has ended because the
// process of its target did: the kernel then closes its connections in order, as at the
// end of a whole response.
func (r *relay) endedWithTarget(ctx context.Context) bool {
	if r.response.Framing() != rtexchange.ByConnection {
		return false
	}
	g := r.delivery.gateway
	current := g.views.View().Instance(r.target.ID)
	restarted := current != nil && current.Incarnation() != r.target.Incarnation()
	return restarted || g.targetGone(ctx, r.target, time.Now())
}

// endOfStream ends a stream whose target has ended it between two events.
func (r *relay) endOfStream(ctx context.Context) result {
	d := r.delivery
	switch {
	case r.endedWithTarget(ctx):
		return d.exchangeFailed(ctx, r.target, errEndedWithTarget)
	case r.endsBeforeBegin():
		return d.exchangeFailed(ctx, r.target, errNoEvents)
	}
	r.proveParts()
	r.recordAnswer()
	if r.response.Framing() != rtexchange.ByConnection {
		return r.complete()
	}
	if !d.endReported && d.attempts.Repeatable {
		return r.confirmEnd(ctx)
	}
	return r.endUnconfirmed(ctx)
}

// endUnconfirmed ends a stream whose end only the connection shows and that no other
// target confirms: as a complete one, unless its target has truncated others.
func (r *relay) endUnconfirmed(ctx context.Context) result {
	if r.delivery.gateway.truncates(r.target) {
		return r.delivery.exchangeFailed(ctx, r.target, errTruncates)
	}
	return r.complete()
}

// complete ends the response as that of a complete stream.
func (r *relay) complete() result {
	r.startResponse()
	r.delivery.countEnd(r.response.Framing())
	return result{outcome: rtdelivery.Done, detail: "complete"}
}

// confirmEnd has another target asked for the rest of a stream whose end only the
// connection shows, because such an end may come early. After a loss, or without an
// event, the end must be confirmed. Otherwise it is enough if nobody can be asked, or if
// the other target has no more events or does not answer.
func (r *relay) confirmEnd(ctx context.Context) result {
	d := r.delivery
	r.watchdog.stop()
	d.unconfirmedBy = r.target
	unconfirmed := result{outcome: rtdelivery.Unconfirmed, detail: "stream ended with its connection"}
	if d.attempts.HasLoss() {
		return unconfirmed // as after another loss
	}
	d.endAfterEvents = r.events > 0
	d.endReported = d.successor != nil || d.reserveConfirmation()
	if d.endReported || !d.endAfterEvents {
		return unconfirmed
	}
	return r.endUnconfirmed(ctx)
}

// recordContinued records that a stream has gone on after its end was reported: the target
// that reported it has truncated the stream.
func (d *delivery) recordContinued() {
	truncating := d.unconfirmedBy
	if truncating == nil {
		return
	}
	d.unconfirmedBy = nil
	g := d.gateway
	g.mu.Lock()
	g.truncations.Record(truncating.ID, truncating.Born, time.Now())
	g.mu.Unlock()
	g.log.Info("Stream truncated by its target.", "request", d.request.info.ID, "target", truncating.ID, "event", d.lastEventID)
	g.metrics.Scope.Counter("truncated_streams").Inc(1)
}

// truncates reports whether a target has truncated a stream lately.
func (g *Gateway) truncates(target *rtcatalog.Instance) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return target != nil && g.truncations.Truncates(target.ID, target.Born, time.Now())
}

// endsBeforeBegin reports whether a response without a length has ended without an event,
// though its stream has some, or has been broken off.
func (r *relay) endsBeforeBegin() bool {
	d := r.delivery
	continuesLost := d.headWritten && !d.endReported
	return r.response.Framing() == rtexchange.ByConnection && r.events == 0 && (continuesLost || d.lastEventID == "")
}

// reserveConfirmation reserves an attempt that shows whether a stream goes on. It does so
// only while retries are left for streams that are lost.
func (d *delivery) reserveConfirmation() bool {
	return !d.attempts.IsLastAttempt() && d.gateway.retrySpare(d.request.service.Name) &&
		d.reserveSuccessor(rtdelivery.Unconfirmed, time.Since(d.waitingSince())) == ""
}
