package rtgateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// stages are the steps before the first attempt, in order.
var stages = []func(*Gateway, *request) *refusal{
	(*Gateway).awaitConfiguration,
	(*Gateway).checkHeaderSize,
	(*Gateway).identify,
	(*Gateway).checkBodySize,
	(*Gateway).prepareWork,
	(*Gateway).readBody,
	(*Gateway).refuseLate, // after the body, which may take long to arrive
	(*Gateway).refuseEvicted,
}

const (
	// startRetryDelay is the retry delay of callers that are refused by a
	// process that has just started.
	startRetryDelay = 300 * time.Millisecond
	// startTimeout is how long a request waits for the configuration in a
	// process that has just started. The first read of the store takes some ten
	// milliseconds.
	startTimeout      = 500 * time.Millisecond
	startPollInterval = 10 * time.Millisecond
)

// awaitConfiguration waits up to startTimeout after the arrival of a request
// until the view is complete. It refuses the request only if there is still no
// configuration, or if the caller has disconnected.
func (g *Gateway) awaitConfiguration(q *request) *refusal {
	for !q.view.Complete() && time.Since(q.arrived) < startTimeout {
		timer := time.NewTimer(startPollInterval)
		select {
		case <-timer.C:
		case <-q.r.Context().Done():
			timer.Stop()
			return notRun("caller left", 0)
		}
		q.view = g.views.View()
	}
	if q.view == nil || q.view.Configuration == nil {
		return notRun("no configuration yet", startRetryDelay)
	}
	return nil
}

// checkHeaderSize refuses headers that exceed the limit of the configuration.
func (g *Gateway) checkHeaderSize(q *request) *refusal {
	limit := int64(q.view.Configuration.Limits.Header)
	if limit > 0 && headerSize(q.r) > limit {
		g.discardBody(q)
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large"}
	}
	return nil
}

// headerSize returns the least number of bytes that a caller may have sent as
// headers: without the optional space after each colon.
func headerSize(r *http.Request) int64 {
	const lineOverhead = len(":\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host") + len(r.Host) + 2*lineOverhead
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineOverhead
		}
	}
	return int64(size)
}

// identify finds the route, the organisation and the service of a request.
func (g *Gateway) identify(q *request) *refusal {
	configuration := q.view.Configuration
	q.route = configuration.Route(q.r.Host, path(q.r))
	if q.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if q.info.ID == "" {
		return &refusal{status: http.StatusBadRequest, reason: "no request id"}
	}
	if !q.route.Public {
		q.organisation = configuration.Organisation(q.info.Key)
		if q.organisation == nil {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
		}
	}
	q.service = configuration.Service(pickService(q.route))
	if q.service == nil {
		return notRun("service is not published", startRetryDelay)
	}
	return nil
}

// checkBodySize refuses requests whose Content-Length exceeds the limit.
func (g *Gateway) checkBodySize(q *request) *refusal {
	limit := q.view.Configuration.Limits.Body
	if limit > 0 && q.r.ContentLength > int64(limit) {
		g.discardBody(q)
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	return nil
}

// discardBody reads the body of a refused request, up to a limit. If the
// connection were closed at once, a caller that is still sending could not
// read the refusal.
func (g *Gateway) discardBody(q *request) {
	if !g.intake.beginDiscard() {
		q.w.Header().Set("Connection", "close")
		_ = http.NewResponseController(q.w).SetReadDeadline(time.Now()) // the server does not read the rest either
		return
	}
	defer g.intake.endDiscard()
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout)) // may be unsupported, as in readBody
	// After a read error the server closes the connection.
	_, _ = io.CopyN(io.Discard, q.r.Body, defaultMaxBody)
}

// prepareWork sets the deadline and the work for the scheduler.
func (g *Gateway) prepareWork(q *request) *refusal {
	timeout := q.info.Remaining
	if q.route.Timeout > 0 && (timeout <= 0 || q.route.Timeout < timeout) {
		timeout = q.route.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	q.deadline = q.arrived.Add(timeout)
	q.work = rtplacement.Work{
		Prompt:     q.info.Prompt,
		Output:     q.info.Output,
		LatencySLO: q.route.LatencySLO,
		GapSLO:     q.route.GapSLO,
	}
	q.work.AbandonTimeout = min(timeout, q.route.AbandonTimeout())
	return nil
}

const (
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody limits bodies in bytes if the configuration sets no limit.
	defaultMaxBody = 16 << 20
	// discardTimeout limits the reading of the body of a refused request.
	discardTimeout = 2 * time.Second
)

// readBody reads the whole body, so that it can be sent again to another
// target.
func (g *Gateway) readBody(q *request) *refusal {
	if q.r.ContentLength == 0 {
		return nil
	}
	limit := int64(q.view.Configuration.Limits.Body)
	if limit <= 0 {
		limit = defaultMaxBody
	}
	control := http.NewResponseController(q.w)
	// The connection may not support deadlines, as in tests. Then only the
	// limits of the server apply.
	_ = control.SetReadDeadline(q.deadline)
	size, err := g.receiveBody(q, limit)
	if errors.Is(err, errEvicted) {
		q.w.Header().Set("Connection", "close")
		return notRun(reasonEvicted, g.retryAfter(evictedRetryDelay))
	}
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body could not be read"}
	case size > limit:
		g.discardBody(q)
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	return nil
}
