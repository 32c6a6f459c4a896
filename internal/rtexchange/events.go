package rtexchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// ErrTorn says that a stream ended inside an event.
var ErrTruncated = errors.New("stream ended inside an event")

// Event is one whole event of a stream.
type Event struct {
	Bytes []byte // as they came, with the empty line at the end
	ID    string // empty if the event has none
}

// Next returns the next whole event. It returns io.EOF where the stream is
// complete.
func (a *Answer) NextEvent() (Event, error) {
	var event Event
	for {
		line, err := a.Body.ReadSlice('\n')
		event.Bytes = append(event.Bytes, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event.Bytes) <= maxEvent:
			continue
		case errors.Is(err, io.EOF) && len(event.Bytes) > 0:
			return Event{}, ErrTruncated
		case err != nil:
			return Event{}, err
		case len(event.Bytes) > maxEvent:
			return Event{}, errors.New("event is too long")
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

// Buffered reports whether more bytes have arrived already.
func (a *Answer) Buffered() bool { return a.Body.Buffered() > 0 }
