package rtapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cespare/xxhash/v2"
)

// ErrDamaged means that the received text does not match the offsets, the size or
// the checksum in the events.
var ErrDamaged = errors.New("answer does not match its events")

// errStreamCut means that a stream ended before its end event.
var errStreamCut = errors.New("stream ended before its end event")

// Answer describes a complete answer.
type Answer struct {
	ID       string // request ID at the last target that worked on it
	Size     int64  // bytes
	Checksum string // xxhash64 as 16 hexadecimal digits
}

// draftReader reads the answer of one draft, over one or more streams.
type draftReader struct {
	w      io.Writer
	id     string // empty before the first start event
	size   int64  // bytes written to w
	digest *xxhash.Digest
}

// Draft sends a drafting request and writes the answer to w as it arrives. A
// stream that ends early is resumed at the offset it reached, at the next entry,
// until ctx ends. A request whose answer has not started is sent again, because
// a draft has no side effects.
//
// If the outcome is not Done, the error is an *Error whose body tells whether
// the same request may be sent again. ErrDamaged means that the text written to
// w is not the answer. If w returns an error, Draft returns it without a retry.
func (c *Client) Draft(ctx context.Context, request DraftRequest, w io.Writer) (Answer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Answer{}, fmt.Errorf("encode request: %w", err)
	}
	r := &draftReader{w: w, digest: xxhash.New()}
	var t retryState
	for {
		response, err := c.openDraft(ctx, t, r, body)
		if err == nil {
			var answer Answer
			answer, err = r.readStream(response.Body)
			_ = response.Body.Close()
			if err == nil {
				return answer, nil
			}
		}
		if !resumable(err, r.id != "") {
			return Answer{ID: r.id, Size: r.size}, err
		}
		if t.wait(ctx) != nil {
			return Answer{ID: r.id, Size: r.size}, err
		}
	}
}

// openDraft sends the request, or resumes the answer if its ID is known.
func (c *Client) openDraft(ctx context.Context, t retryState, r *draftReader, body []byte) (*http.Response, error) {
	if r.id == "" {
		return c.send(ctx, t, http.MethodPost, "/v1/drafts", body)
	}
	path := fmt.Sprintf("/v1/drafts/%s?offset=%d", url.PathEscape(r.id), r.size)
	return c.send(ctx, t, http.MethodGet, path, nil)
}

// resumable reports whether another entry may deliver the rest of the answer. An
// error response is final, unless it reports that the home could not be reached, or,
// once the answer has begun, that the entry itself cannot serve yet.
func resumable(err error, begun bool) bool {
	var failure *Error
	var write *writeError
	switch {
	case errors.As(err, &failure):
		entryNotReady := begun && failure.Body.Reason == ReasonNotReady && failure.Body.ID == ""
		return entryNotReady || failure.Body.Reason == ReasonUnreachable && failure.Body.Outcome == Unknown
	case errors.As(err, &write), errors.Is(err, ErrDamaged), errors.Is(err, errNoEntries):
		return false
	default:
		return true
	}
}

// readStream reads one stream until its end event and writes its text to w.
func (r *draftReader) readStream(stream io.Reader) (Answer, error) {
	decoder := json.NewDecoder(stream)
	for {
		var event Event
		if err := decoder.Decode(&event); err != nil {
			return Answer{}, fmt.Errorf("%w: %w", errStreamCut, err)
		}
		switch event.Event {
		case EventStart:
			r.id = event.ID
		case EventText:
			if err := r.write(event); err != nil {
				return Answer{}, err
			}
		case EventEnd:
			return r.verifyEnd(event)
		}
	}
}

// writeError is an error of the writer passed to Draft.
type writeError struct {
	cause error
}

func (e *writeError) Error() string { return "write answer: " + e.cause.Error() }
func (e *writeError) Unwrap() error { return e.cause }

// write checks the offset of a text event and writes its text to w.
func (r *draftReader) write(event Event) error {
	if event.Offset != r.size {
		return fmt.Errorf("%w: text event at offset %d, want %d", ErrDamaged, event.Offset, r.size)
	}
	written, err := io.WriteString(r.w, event.Text)
	r.size += int64(written)
	if err != nil {
		return &writeError{err}
	}
	// Writing to a digest never returns an error.
	_, _ = r.digest.WriteString(event.Text)
	return nil
}

// verifyEnd returns the answer if its size and checksum match the end event.
func (r *draftReader) verifyEnd(event Event) (Answer, error) {
	if event.Outcome != Done {
		return Answer{}, &Error{Status: http.StatusOK, Body: ErrorBody{
			ID:      r.id,
			Outcome: event.Outcome,
			Reason:  event.Reason,
			Retry:   event.Retry,
		}}
	}
	checksum := fmt.Sprintf("%016x", r.digest.Sum64())
	if event.Size != r.size || event.Checksum != checksum {
		return Answer{}, fmt.Errorf("%w: got %d bytes with checksum %s, want %d bytes with checksum %s", ErrDamaged,
			r.size, checksum, event.Size, event.Checksum)
	}
	return Answer{ID: r.id, Size: r.size, Checksum: checksum}, nil
}
