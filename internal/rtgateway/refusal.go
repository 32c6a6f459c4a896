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
	http.Error(w, f.reason, f.status)
}
