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

// refusal is an error response to a caller.
type refusal struct {
	status     int // HTTP status
	body       rtapi.ErrorBody
	retryAfter time.Duration // sent as Retry-After; 0 to omit the header
}

// malformed returns the refusal of invalid input with its findings.
func malformed(findings ...rtapi.Finding) *refusal {
	return &refusal{status: http.StatusBadRequest, body: rtapi.ErrorBody{
		Outcome:  rtapi.NotRun,
		Reason:   rtapi.ReasonMalformed,
		Detail:   "the request is not valid; see findings",
		Findings: findings,
	}}
}

// notRun returns the refusal of a request that did not run.
func notRun(status int, reason rtapi.Reason, retry bool, detail string) *refusal {
	return &refusal{status: status, body: rtapi.ErrorBody{
		Outcome: rtapi.NotRun,
		Reason:  reason,
		Detail:  detail,
		Retry:   retry,
	}}
}

// notFound returns the refusal for an ID that does not exist. It is also used
// for IDs of other organisations, so that callers cannot tell whether they
// exist.
func notFound() *refusal {
	return notRun(http.StatusNotFound, rtapi.ReasonNotFound, false, "no such request")
}

// write sends the refusal as the HTTP response.
func (r *refusal) write(w http.ResponseWriter) {
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
	}
	writeJSON(w, r.status, r.body)
}

// responseWriteTimeout limits the write of a body that is not a stream, so that a caller
// that does not read cannot keep a connection open.
const responseWriteTimeout = 30 * time.Second

// writeJSON sends a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	// Encoding cannot fail for the types that are passed as body.
	encoded, _ := json.Marshal(body)
	encoded = append(encoded, '\n')
	control := http.NewResponseController(w)
	// On a connection that does not support deadlines, the write lasts until the
	// caller reads the response or disconnects.
	_ = control.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, err := w.Write(encoded)
	if err == nil {
		err = control.Flush()
	}
	// After a failure the deadline stays set, so that the server does not wait
	// for the caller again before it closes the connection.
	if err == nil {
		_ = control.SetWriteDeadline(time.Time{})
	}
}

// reasons maps the reasons of the agents' protocol to those of the callers' API.
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

// outcomeOf maps an outcome of the agents' protocol to the callers' API. A
// request that waits or runs has no outcome yet and maps to Unknown.
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
