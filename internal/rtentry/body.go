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
	// bodyTimeout runs from the end of the header to the end of the body.
	bodyTimeout = 30 * time.Second
	// maxBodies bounds the bodies that an entry holds together, by their
	// lengths, or by their limit while one without a length arrives. Decoding
	// needs up to three times as much, and the VMs of entries are small.
	maxBodies = 256 << 20
)

// readBody reads a request body of at most limit bytes within bodyTimeout. The
// caller calls release when it does not need the body any more.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), *refusal) {
	size := r.ContentLength
	if size > limit {
		w.Header().Set("Connection", "close")
		return nil, nil, tooLarge(limit)
	}
	if size < 0 {
		size = limit
	}
	if e.bodies.Add(size) > maxBodies {
		e.bodies.Add(-size)
		refused := notRun(http.StatusServiceUnavailable, rtapi.ReasonCapacity, true, "this entry holds too many bodies")
		refused.after = retryAfter
		w.Header().Set("Connection", "close")
		return nil, nil, refused
	}
	body, refused := receive(w, r, limit)
	held := int64(len(body))
	e.bodies.Add(held - size)
	if refused != nil {
		return nil, nil, refused
	}
	return body, func() { e.bodies.Add(-held) }, nil
}

// receive reads a body. After a failure the deadline stays, because the server
// reads on to the end of the body before it closes the connection.
func receive(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *refusal) {
	control := http.NewResponseController(w)
	// Connections without deadlines keep the bound of the request's context.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var over *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &over):
		return nil, tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		slow := malformed(rtapi.Finding{Field: "body", Text: fmt.Sprintf("not received within %v", bodyTimeout)})
		slow.status = http.StatusRequestTimeout
		slow.body.Retry = true
		return nil, slow
	default:
		return nil, malformed(rtapi.Finding{Field: "body", Text: "ends early"})
	}
}

// tooLarge returns the refusal of a body over its limit.
func tooLarge(limit int64) *refusal {
	return oversized(rtapi.Finding{Field: "body", Text: fmt.Sprintf("over %d bytes", limit)})
}
