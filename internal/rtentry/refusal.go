package rtentry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// refusal is an answer to a caller that is not a success.
type refusal struct {
	status int // of HTTP
	body   rtapi.ErrorBody
	after  time.Duration // when a retry makes sense; 0 if not known
}

// malformed returns the refusal of an input with its findings.
func malformed(findings ...rtapi.Finding) *refusal {
	return &refusal{status: http.StatusBadRequest, body: rtapi.ErrorBody{
		Outcome:  rtapi.NotRun,
		Reason:   rtapi.ReasonMalformed,
		Detail:   "the request is not valid; see findings",
		Findings: findings,
	}}
}

// notRun returns the refusal of a request that has not run.
func notRun(status int, reason rtapi.Reason, retry bool, detail string) *refusal {
	return &refusal{status: status, body: rtapi.ErrorBody{
		Outcome: rtapi.NotRun,
		Reason:  reason,
		Detail:  detail,
		Retry:   retry,
	}}
}

// notFound hides whether an id of another organisation exists.
func notFound() *refusal {
	return notRun(http.StatusNotFound, rtapi.ReasonNotFound, false, "no such request")
}

// write sends the refusal.
func (r *refusal) write(w http.ResponseWriter) {
	if r.after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.after.Seconds()))))
	}
	writeJSON(w, r.status, r.body)
}

// replyTimeout bounds the write of a body that is not a stream, so that a
// caller that does not read holds no connection.
const replyTimeout = 30 * time.Second

// writeJSON sends a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	// The types of bodies can always be encoded.
	encoded, _ := json.Marshal(body)
	encoded = append(encoded, '\n')
	control := http.NewResponseController(w)
	// Connections without deadlines keep the bound of their other end.
	_ = control.SetWriteDeadline(time.Now().Add(replyTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, err := w.Write(encoded)
	if err == nil {
		err = control.Flush()
	}
	// After a failure the deadline stays, so that the server does not wait for
	// the caller again before it closes the connection.
	if err == nil {
		_ = control.SetWriteDeadline(time.Time{})
	}
}

// reasons maps an agent's reason to the callers' interface.
var reasons = map[rtwire.Reason]rtapi.Reason{
	rtwire.Reason_REASON_NONE:        rtapi.ReasonNone,
	rtwire.Reason_REASON_ZONE_OUT:    rtapi.ReasonZone,
	rtwire.Reason_REASON_LEAVING:     rtapi.ReasonLeaving,
	rtwire.Reason_REASON_DEADLINE:    rtapi.ReasonDeadline,
	rtwire.Reason_REASON_QUEUE:       rtapi.ReasonQueue,
	rtwire.Reason_REASON_MEMORY:      rtapi.ReasonMemory,
	rtwire.Reason_REASON_PLAN:        rtapi.ReasonPlan,
	rtwire.Reason_REASON_INCARNATION: rtapi.ReasonIncarnation,
	rtwire.Reason_REASON_CONFLICT:    rtapi.ReasonConflict,
	rtwire.Reason_REASON_EXPIRED:     rtapi.ReasonExpired,
	rtwire.Reason_REASON_CANCELLED:   rtapi.ReasonCancelled,
	rtwire.Reason_REASON_TARGET:      rtapi.ReasonTarget,
	rtwire.Reason_REASON_NOT_READY:   rtapi.ReasonNotReady,
	rtwire.Reason_REASON_MALFORMED:   rtapi.ReasonMalformed,
	rtwire.Reason_REASON_PAUSED:      rtapi.ReasonPaused,
}

// outcomeOf maps an agent's outcome to the callers' interface. A request that
// waits or runs has no outcome yet, which is Unknown.
func outcomeOf(outcome rtwire.Outcome) rtapi.Outcome {
	switch outcome {
	case rtwire.Outcome_OUTCOME_NOT_RUN:
		return rtapi.NotRun
	case rtwire.Outcome_OUTCOME_FAILED:
		return rtapi.Failed
	case rtwire.Outcome_OUTCOME_DONE:
		return rtapi.Done
	default:
		return rtapi.Unknown
	}
}
