package rtentry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

const (
	// bodyTimeout is the longest time from the end of the header to the end of
	// the body.
	bodyTimeout = 30 * time.Second
	// maxBufferedBytes limits the total size of the bodies that an entry holds
	// in memory. A body counts with its length, or with its size limit while it
	// arrives without a Content-Length. Decoding needs up to three times as
	// much memory, and the VMs of entries are small.
	maxBufferedBytes = 256 << 20
)

// readBody reads a request body of at most limit bytes within bodyTimeout. The
// returned function releases the reserved bytes; call it when the body is no
// longer needed.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), *refusal) {
	reserved := r.ContentLength
	if reserved > limit {
		w.Header().Set("Connection", "close")
		return nil, nil, tooLarge(limit)
	}
	if reserved < 0 {
		reserved = limit
	}
	if e.bufferedBytes.Add(reserved) > maxBufferedBytes {
		e.bufferedBytes.Add(-reserved)
		refused := notRun(http.StatusServiceUnavailable, rtapi.ReasonCapacity, true, "this entry holds too many bodies")
		refused.retryAfter = defaultRetryAfter
		w.Header().Set("Connection", "close")
		return nil, nil, refused
	}
	body, refused := receiveBody(w, r, limit)
	received := int64(len(body))
	e.bufferedBytes.Add(received - reserved)
	if refused != nil {
		return nil, nil, refused
	}
	return body, func() { e.bufferedBytes.Add(-received) }, nil
}

// receiveBody reads a body. After a failure the read deadline stays set, because
// the server reads the rest of the body before it closes the connection.
func receiveBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *refusal) {
	control := http.NewResponseController(w)
	// A connection that does not support deadlines is still limited by the
	// request's context.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLargeErr *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &tooLargeErr):
		return nil, tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		timedOut := malformed(rtapi.Finding{Field: "body", Text: fmt.Sprintf("not received within %v", bodyTimeout)})
		timedOut.status = http.StatusRequestTimeout
		timedOut.body.Retry = true
		return nil, timedOut
	default:
		return nil, malformed(rtapi.Finding{Field: "body", Text: "ends early"})
	}
}

// tooLarge returns the refusal of a body over its size limit.
func tooLarge(limit int64) *refusal {
	return oversized(rtapi.Finding{Field: "body", Text: fmt.Sprintf("over %d bytes", limit)})
}
