package rtgateway

import (
	"net/http"
	"strconv"
	"time"
)

// refusal is an error response of this process.
type refusal struct {
	status     int
	reason     string        // one of a fixed set, used as a metric label
	detail     string        // only logged
	retryAfter time.Duration // delay before a retry; 0 to name none
	lasting    bool          // a retry would be refused, too
}

// notRun returns a refusal that promises that the request has not run and
// never will.
func notRun(reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// write writes the refusal as the response.
func (r *refusal) write(w http.ResponseWriter) {
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(w, r.text(), r.status)
}

// text tells the caller what happened and what to do.
func (r *refusal) text() string {
	switch {
	case r.lasting && r.reason == reasonRequestQuarantine:
		return r.reason + ": it has not run and will not; targets have crashed on it, do not send it again"
	case r.lasting:
		return r.reason + ": the request has not run and will not; targets have crashed on this part, send the prompt without it"
	case r.status == http.StatusServiceUnavailable && r.retryAfter > 0:
		return r.reason + ": the request has not run and will not; send it again after the time in Retry-After"
	case r.status == http.StatusServiceUnavailable:
		return r.reason + ": the request has not run and will not; its time is over"
	case r.status == http.StatusBadGateway, r.status == http.StatusGatewayTimeout:
		return r.reason + ": the request may have run; send it again only if it may run twice"
	default:
		return r.reason + ": the request was not sent to a target; correct it before you send it again"
	}
}
