package rtgateway

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdelivery"
	"github.com/rhubarbtally/rhubarbtally/internal/rtexchange"
)

// Why a response that has neither a length nor chunks, and ended in order, is not whole.
var (
	errEndedWithTarget = errors.New("response without a length ended with the process of its target")
	errNoBody          = errors.New("response without a length ended before its body")
	errNoEvents        = errors.New("response without a length ended before its first event")
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
	if r.response.Framing() == rtexchange.ByConnection && !d.endReported && d.attempts.Repeatable {
		return r.confirmEnd()
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
func (r *relay) confirmEnd() result {
	d := r.delivery
	r.watchdog.stop()
	unconfirmed := result{outcome: rtdelivery.Unconfirmed, detail: "stream ended with its connection"}
	if d.attempts.HasLoss() {
		return unconfirmed // as after another loss
	}
	d.endAfterEvents = r.events > 0
	d.endReported = d.successor != nil || d.reserveConfirmation()
	if d.endReported || !d.endAfterEvents {
		return unconfirmed
	}
	return r.complete()
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
