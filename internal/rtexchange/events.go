package rtexchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventSize limits one event of a stream, in bytes.
const maxEventSize = 1 << 20

// ErrTruncated means that a stream ended inside an event.
var ErrTruncated = errors.New("stream ended inside an event")

// Event is one complete event of a stream.
type Event struct {
	Bytes []byte // as received, including the empty line at the end
	ID    string // empty if the event has none
}

// NextEvent returns the next complete event. It returns io.EOF if the stream
// ended after a complete event, and ErrTruncated if it ended inside one.
func (r *Response) NextEvent() (Event, error) {
	var event Event
	for {
		line, err := r.Body.ReadSlice('\n')
		event.Bytes = append(event.Bytes, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event.Bytes) <= maxEventSize:
			continue
		case errors.Is(err, io.EOF) && len(event.Bytes) > 0:
			return Event{}, ErrTruncated
		case err != nil:
			return Event{}, err
		case len(event.Bytes) > maxEventSize:
			return Event{}, errors.New("event of a stream is larger than 1 MiB")
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event, nil
		}
		if id, found := bytes.CutPrefix(text, []byte("id:")); found {
			event.ID = string(bytes.TrimSpace(id))
		}
	}
}

// Buffered reports whether the body has bytes that were received and not read.
func (r *Response) Buffered() bool { return r.Body.Buffered() > 0 }
