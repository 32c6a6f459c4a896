package rtexchange

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventSize limits one event of a stream, in bytes.
const maxEventSize = 1 << 20

// byteOrderMark may stand before the first line of a stream.
const byteOrderMark = "\ufeff"

// ErrTruncated means that a stream ended inside an event.
var ErrTruncated = errors.New("stream ended inside an event")

// errNotAnEvent means that a line of a stream is no field of an event. Bytes that follow a
// response without a length, such as the head of another response, look like this.
var errNotAnEvent = errors.New("line of a stream is no field of an event")

// errEventTooLarge means that an event is larger than maxEventSize.
var errEventTooLarge = errors.New("event of a stream is larger than 1 MiB")

// Event is one complete event of a stream.
type Event struct {
	Bytes []byte // as received, including empty lines before it and the one at its end
	ID    string // empty if the event has none
	// Comment says that it has comments only. A target may send them while it makes no
	// progress.
	Comment bool
	// HasData says that it has a data field. Without one it is only about the stream, such
	// as the time after which a client should reconnect.
	HasData bool
}

// readEvent is NextEvent without what was read ahead.
func (r *Response) readEvent(budget *Budget) (Event, error) {
	r.budget = budget
	var event Event
	lineStart := 0   // in event.Bytes; a line may be longer than the buffer of the body
	hasLine := false // a line that is not empty has been read
	event.Comment = true
	for {
		part, err := r.Body.ReadSlice('\n')
		event.Bytes = append(event.Bytes, part...)
		if err := r.reserve(int64(cap(event.Bytes))); err != nil {
			return Event{}, err
		}
		switch {
		case len(event.Bytes) > maxEventSize:
			return Event{}, errEventTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && (hasLine || len(event.Bytes) > lineStart):
			r.insideEvent = true
			return Event{}, ErrTruncated
		case errors.Is(err, io.EOF) && len(event.Bytes) > 0:
			return event, nil
		case err != nil:
			r.insideEvent = hasLine || len(event.Bytes) > lineStart
			return Event{}, err
		}
		line := bytes.TrimRight(event.Bytes[lineStart:], "\r\n")
		lineStart = len(event.Bytes)
		if !r.hasLine {
			line = bytes.TrimPrefix(line, []byte(byteOrderMark))
			r.hasLine = true
		}
		if len(line) == 0 && hasLine {
			return event, nil
		}
		if !isField(line) {
			return Event{}, fmt.Errorf("%w: %.40q", errNotAnEvent, line)
		}
		hasLine = hasLine || len(line) > 0
		event.Comment = event.Comment && (len(line) == 0 || line[0] == ':')
		event.HasData = event.HasData || bytes.HasPrefix(line, []byte("data:")) || string(line) == "data"
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			event.ID = string(bytes.TrimSpace(id))
		}
	}
}

// isField reports whether a line can be one of an event: empty, a comment, or a field
// whose name has letters, digits, hyphens and underscores only.
func isField(line []byte) bool {
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	if len(name) == 0 {
		return len(line) == 0 || hasColon
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// InsideEvent reports whether NextEvent has failed after a part of an event.
func (r *Response) InsideEvent() bool { return r.insideEvent }

// EventBuffered reports whether a complete event was received and not read, so
// that NextEvent returns without waiting.
func (r *Response) EventBuffered() bool {
	if len(r.ahead.events) > 0 {
		return true
	}
	received, err := r.Body.Peek(r.Body.Buffered())
	if err != nil {
		return false
	}
	received = bytes.TrimLeft(received, "\r\n")
	return bytes.Contains(received, []byte("\n\n")) || bytes.Contains(received, []byte("\n\r\n"))
}
