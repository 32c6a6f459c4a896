package rtgateway

import (
	"io"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// stages are the checks before a target is chosen, in order.
var stages = []func(*Gateway, *request) *refusal{
	(*Gateway).checkKnown,
	(*Gateway).checkHeader,
	(*Gateway).identify,
	(*Gateway).checkSize,
	(*Gateway).classify,
	(*Gateway).readBody,
}

const (
	// comeBack is when to ask a process again that has just started.
	comeBack = 300 * time.Millisecond
	// startWait is how long a request waits in a process that has just started:
	// the first read of the store takes some ten milliseconds.
	startWait = 500 * time.Millisecond
	startStep = 10 * time.Millisecond
)

// checkKnown lets requests wait while nothing is known to serve them by.
func (g *Gateway) checkKnown(q *request) *refusal {
	for !q.view.Complete() && time.Since(q.arrived) < startWait {
		timer := time.NewTimer(startStep)
		select {
		case <-timer.C:
		case <-q.r.Context().Done():
			timer.Stop()
			return notRun("caller left", 0)
		}
		q.view = g.views.View()
	}
	if q.view == nil || q.view.Configuration == nil {
		return notRun("no configuration yet", comeBack)
	}
	return nil
}

// checkHeader refuses headers over the limit of the configuration.
func (g *Gateway) checkHeader(q *request) *refusal {
	limit := int64(q.view.Configuration.Limits.Header)
	if limit > 0 && headerSize(q.r) > limit {
		q.discardBody()
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large"}
	}
	return nil
}

// headerSize returns the least number of bytes in which a caller may have sent
// a header: without the optional space after each name.
func headerSize(r *http.Request) int64 {
	const line = len(":\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host") + len(r.Host) + 2*line
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + line
		}
	}
	return int64(size)
}

// identify finds the route and the organisation.
func (g *Gateway) identify(q *request) *refusal {
	configuration := q.view.Configuration
	q.route = configuration.Route(q.r.Host, path(q.r))
	if q.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if q.facts.ID == "" {
		return &refusal{status: http.StatusBadRequest, reason: "no request id"}
	}
	if !q.route.Public {
		q.organisation = configuration.Organisation(q.facts.Key)
		if q.organisation == nil {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
		}
	}
	q.service = configuration.Service(pick(q.route))
	if q.service == nil {
		return notRun("service is not published", comeBack)
	}
	return nil
}

// checkSize refuses bodies that are announced longer than the limit.
func (g *Gateway) checkSize(q *request) *refusal {
	limit := q.view.Configuration.Limits.Body
	if limit > 0 && q.r.ContentLength > int64(limit) {
		q.discardBody()
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	return nil
}

// discardBody reads a body that is refused, up to a bound. A caller that is
// still sending could not read the refusal if the connection were closed.
func (q *request) discardBody() {
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(time.Now().Add(discardTime)) // as in readBody
	// What cannot be read is cut off by the server.
	_, _ = io.CopyN(io.Discard, q.r.Body, maxBody)
}

// classify sets the deadline and the work.
func (g *Gateway) classify(q *request) *refusal {
	wait := q.facts.Remaining
	if q.route.Timeout > 0 && (wait <= 0 || q.route.Timeout < wait) {
		wait = q.route.Timeout
	}
	if wait <= 0 {
		wait = defaultWait
	}
	q.deadline = q.arrived.Add(wait)
	q.work = rtplacement.Work{
		Prompt:     q.facts.Prompt,
		Output:     q.facts.Output,
		LatencySLO: q.route.LatencySLO,
		GapSLO:     q.route.GapSLO,
	}
	q.work.AbandonTimeout = min(wait, q.route.AbandonTimeout())
	return nil
}

const (
	// defaultWait bounds a request that names no bound itself.
	defaultWait = 30 * time.Second
	// maxBody bounds bodies where the configuration does not.
	maxBody = 16 << 20
	// discardTime bounds the reading of a body that is refused.
	discardTime = 2 * time.Second
)

// readBody reads the whole body, so that it can be sent once more.
func (g *Gateway) readBody(q *request) *refusal {
	if q.r.ContentLength == 0 {
		return nil
	}
	limit := int64(q.view.Configuration.Limits.Body)
	if limit <= 0 {
		limit = maxBody
	}
	control := http.NewResponseController(q.w)
	// The connection may not support deadlines, as in tests; the server's own
	// bounds hold then.
	_ = control.SetReadDeadline(q.deadline)
	body, err := io.ReadAll(io.LimitReader(q.r.Body, limit+1))
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body could not be read"}
	case int64(len(body)) > limit:
		q.discardBody()
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	q.body = body
	return nil
}
