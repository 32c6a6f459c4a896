package rtgateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdelivery"
	"github.com/rhubarbtally/rhubarbtally/internal/rtexchange"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

const (
	// maxAnswer bounds an answer that is not a stream.
	maxAnswer = 16 << 20
	// writeSlack is how long after the deadline of a request its caller may take
	// to read the rest.
	writeSlack = time.Second
)

// firstEventBuckets reach from 1 ms to 9 min in steps of a factor of 1.5.
var firstEventBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 34)

// relay passes one target's answer on to the caller.
type relay struct {
	delivery *delivery
	target   *rtcatalog.Instance
	answer   *rtexchange.Answer
	flight   *rtplacement.InFlightRequest
	watch    *silence
	last     time.Time // of the last event, or of the send
	first    time.Duration
	pause    time.Duration // longest between two events
}

// whole passes an answer on that is not a stream: after its last byte has
// come, so that one that breaks off never looks complete.
func (r *relay) whole(ctx context.Context) result {
	body, err := r.answer.ReadAll(maxAnswer)
	if err != nil {
		return r.delivery.failure(ctx, r.target, err)
	}
	kept := &keptAnswer{status: r.answer.Status, header: r.answer.Header, body: body}
	if r.answer.Status >= http.StatusInternalServerError {
		return result{verdict: rtdelivery.Failed, detail: strconv.Itoa(r.answer.Status), kept: kept}
	}
	kept.write(r.delivery.request.w)
	return result{verdict: rtdelivery.Done, detail: strconv.Itoa(r.answer.Status)}
}

// write sends a whole answer.
func (k *keptAnswer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), k.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(k.body)))
	w.WriteHeader(k.status)
	// The server notices a caller that has left.
	_, _ = w.Write(k.body)
}

// stream passes events on as they come. Only whole events reach the caller, so
// that another target can go on after the last of them.
func (r *relay) stream(ctx context.Context) result {
	d := r.delivery
	control := http.NewResponseController(d.request.w)
	for {
		event, err := r.answer.NextEvent()
		if errors.Is(err, io.EOF) {
			r.start()
			return result{verdict: rtdelivery.Done, detail: "complete", first: r.first, pause: r.pause}
		}
		if err != nil {
			return d.failure(ctx, r.target, err)
		}
		r.watch.reset()
		r.clock(time.Now())
		r.start()
		if _, err := d.request.w.Write(event.Bytes); err != nil {
			return result{verdict: rtdelivery.CallerGone, detail: err.Error()}
		}
		if event.ID != "" {
			d.lastEvent = event.ID
		}
		if !r.answer.Buffered() {
			if err := control.Flush(); err != nil {
				return result{verdict: rtdelivery.CallerGone, detail: err.Error()}
			}
		}
	}
}

// clock measures the first event and the pauses.
func (r *relay) clock(now time.Time) {
	since := now.Sub(r.last)
	r.last = now
	if r.first == 0 {
		r.first = since
		return
	}
	r.pause = max(r.pause, since)
}

// start records that the prompt has been read, and writes the head of the
// answer at the first event of the request.
func (r *relay) start() {
	r.delivery.gateway.first(r.flight)
	r.delivery.gateway.hear(r.target.ID)
	if r.delivery.started {
		return
	}
	q := r.delivery.request
	r.delivery.started = true
	copyHeader(q.w.Header(), r.answer.Header)
	// Not all connections support deadlines; the request's own then ends it.
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(writeSlack))
	q.w.WriteHeader(r.answer.Status)
	tags := map[string]string{"route": q.route.Name}
	r.delivery.gateway.metrics.Scope.Tagged(tags).Histogram("first_event", firstEventBuckets).
		RecordDuration(time.Since(q.arrived))
}

// copyHeader copies the headers that concern the answer itself.
func copyHeader(to, from http.Header) {
	for name, values := range rtexchange.EndToEnd(from) {
		to[name] = values
	}
}
