package rtgateway

import (
	"net/http"
	"strconv"
	"time"
)

// refusal is an answer that this process makes itself.
type refusal struct {
	status int
	reason string        // one of a fixed set
	detail string        // for the log
	after  time.Duration // when the caller may come back; 0 for no word
}

// notRun returns a refusal that promises that the request has not run and
// will not.
func notRun(reason string, after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, after: after}
}

// write sends the refusal.
func (f *refusal) write(w http.ResponseWriter) {
	if f.after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(f.after.Seconds(), 'f', 3, 64))
	}
	http.Error(w, f.text(), f.status)
}

// text tells the caller what happened and what to do.
func (f *refusal) text() string {
	switch {
	case f.status == http.StatusServiceUnavailable && f.after > 0:
		return f.reason + ": the request has not run and will not; send it again after the time in Retry-After"
	case f.status == http.StatusServiceUnavailable:
		return f.reason + ": the request has not run and will not; its time is over"
	case f.status == http.StatusBadGateway, f.status == http.StatusGatewayTimeout:
		return f.reason + ": the request may have run; send it again only if it may run twice"
	default:
		return f.reason + ": the request was not sent to a target; correct it before you send it again"
	}
}
