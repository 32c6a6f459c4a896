package rtexchange

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
)

// streamOf returns a response whose body is a text and then an error.
func streamOf(text string, err error) *Response {
	return &Response{Body: bufio.NewReaderSize(io.MultiReader(strings.NewReader(text), iotest.ErrReader(err)), readBufferSize)}
}

// Guards against events that are split, joined or without their ID, and against
// a stream that was broken off and counts as complete, or the reverse.
func TestEvents(t *testing.T) {
	long := func(size int) string { return strings.Repeat("x", size) }
	type expected struct{ text, id string }
	tests := []struct {
		name   string
		stream string
		end    error
		events []expected
		err    error
	}{
		{"no event", "", io.EOF, nil, io.EOF},
		{"two events", "id: 1\ndata: a\n\nid: 2\n\n", io.EOF, []expected{{"id: 1\ndata: a\n\n", "1"}, {"id: 2\n\n", "2"}}, io.EOF},
		{"CRLF", "id: 1\r\ndata: a\r\n\r\n", io.EOF, []expected{{"id: 1\r\ndata: a\r\n\r\n", "1"}}, io.EOF},
		{"without an ID", ": comment\n\n", io.EOF, []expected{{": comment\n\n", ""}}, io.EOF},
		{"empty lines before an event", "\n\r\nid: 1\n\n\nid: 2\n\n", io.EOF, []expected{{"\n\r\nid: 1\n\n", "1"}, {"\nid: 2\n\n", "2"}}, io.EOF},
		{"empty lines at the end", "id: 1\n\n\n\r\n", io.EOF, []expected{{"id: 1\n\n", "1"}, {"\n\r\n", ""}}, io.EOF},
		{"empty lines and a reset", "id: 1\n\n\n", syscall.ECONNRESET, []expected{{"id: 1\n\n", "1"}}, syscall.ECONNRESET},
		{"empty lines without end", strings.Repeat("\n", 2*maxEventSize), io.EOF, nil, errEventTooLarge},
		{"cut in a line", "id: 1\n\nid: 2\nda", io.EOF, []expected{{"id: 1\n\n", "1"}}, ErrTruncated},
		{"cut after a line", "id: 1\n\nid: 2\ndata: b\n", io.EOF, []expected{{"id: 1\n\n", "1"}}, ErrTruncated},
		{"cut after a line with CRLF", "id: 1\r\n\r\nid: 2\r\n", io.EOF, []expected{{"id: 1\r\n\r\n", "1"}}, ErrTruncated},
		{"cut in the empty line", "id: 1\r\n\r", io.EOF, nil, ErrTruncated},
		{"cut after a part of a line as long as the buffer", long(readBufferSize), io.EOF, nil, ErrTruncated},
		{"reset inside an event", "id: 1\n\nid: 2\n", syscall.ECONNRESET, []expected{{"id: 1\n\n", "1"}}, syscall.ECONNRESET},
		{"reset after an event", "id: 1\n\n", syscall.ECONNRESET, []expected{{"id: 1\n\n", "1"}}, syscall.ECONNRESET},
		{"body cut after an event", "id: 1\n\n", io.ErrUnexpectedEOF, []expected{{"id: 1\n\n", "1"}}, io.ErrUnexpectedEOF},
		{"line as long as the buffer", "id: 1\n" + long(readBufferSize) + "\ndata: b\n\n", io.EOF, []expected{{"id: 1\n" + long(readBufferSize) + "\ndata: b\n\n", "1"}}, io.EOF},
		{"CRLF after a line as long as the buffer", long(2*readBufferSize) + "\r\nid: 1\n\n", io.EOF, []expected{{long(2*readBufferSize) + "\r\nid: 1\n\n", "1"}}, io.EOF},
		{"CRLF split by the buffer", long(readBufferSize-1) + "\r\nid: 1\n\n", io.EOF, []expected{{long(readBufferSize-1) + "\r\nid: 1\n\n", "1"}}, io.EOF},
		{"ID inside a long line", "id: 1\n" + long(readBufferSize) + "id: 9\n\n", io.EOF, []expected{{"id: 1\n" + long(readBufferSize) + "id: 9\n\n", "1"}}, io.EOF},
		{"long ID", "id:" + long(readBufferSize) + "\n\n", io.EOF, []expected{{"id:" + long(readBufferSize) + "\n\n", long(readBufferSize)}}, io.EOF},
		{"large event", long(maxEventSize-2) + "\n\n", io.EOF, []expected{{long(maxEventSize-2) + "\n\n", ""}}, io.EOF},
		{"too large event", "id: 1\n\n" + long(maxEventSize-1) + "\n\n", io.EOF, []expected{{"id: 1\n\n", "1"}}, errEventTooLarge},
		{"too large line", long(2 * maxEventSize), io.EOF, nil, errEventTooLarge},
		{"fields of other names", "x-weight-versions: 7\nid: 1\nevent: a_B-9\nretry: 10\ndata\n\n", io.EOF, []expected{{"x-weight-versions: 7\nid: 1\nevent: a_B-9\nretry: 10\ndata\n\n", "1"}}, io.EOF},
		{"byte order mark", "\ufeffid: 1\n\n", io.EOF, []expected{{"\ufeffid: 1\n\n", "1"}}, io.EOF},
		{"any text in data", "data: HTTP/1.1 200 OK\n\n", io.EOF, []expected{{"data: HTTP/1.1 200 OK\n\n", ""}}, io.EOF},
		{"another response", "id: 1\n\nHTTP/1.1 200 OK\r\nId: a\r\n\r\nid: 1\n\n", io.EOF, []expected{{"id: 1\n\n", "1"}}, errNotAnEvent},
		{"bytes that are no text", "id: 1\n\n\x00\x01\xff\n\n", io.EOF, []expected{{"id: 1\n\n", "1"}}, errNotAnEvent},
		{"name with spaces", "the model failed: x\n\n", io.EOF, nil, errNotAnEvent},
		{"lines without end", strings.Repeat("data: x\n", maxEventSize), io.EOF, nil, errEventTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response := streamOf(test.stream, test.end)
			var got []expected
			var err error
			for err == nil {
				var event Event
				if event, err = response.NextEvent(nil); err == nil {
					got = append(got, expected{string(event.Bytes), event.ID})
				}
			}
			if inside := strings.HasPrefix(test.name, "cut ") || test.name == "reset inside an event"; response.InsideEvent() != inside {
				t.Errorf("ended inside an event: got %v, want %v", response.InsideEvent(), inside)
			}
			if !slices.Equal(got, test.events) || !errors.Is(err, test.err) {
				t.Errorf("got %d events %.300q, error %v; want %d events, error %v", len(got), got, err, len(test.events), test.err)
			}
		})
	}
}

// Guards against events that are held back because a part of the next one has
// been received.
func TestEventBuffered(t *testing.T) {
	tests := []struct {
		received string // after the first event
		want     bool
	}{
		{"", false},
		{"i", false},
		{"id: 2\ndata: b", false},
		{"id: 2\ndata: b\n", false},
		{"id: 2\r\ndata: b\r\n", false},
		{"id: 2\ndata: b\n\n", true},
		{"id: 2\r\ndata: b\r\n\r\nid: 3", true},
		{"\n", false},
		{"\r\nid: 2\n", false},
		{"\r\n\nid: 2\n\n", true},
	}
	for _, test := range tests {
		t.Run(test.received, func(t *testing.T) {
			response := streamOf("id: 1\n\n"+test.received, io.EOF)
			if _, err := response.NextEvent(nil); err != nil {
				t.Fatal(err)
			}
			if got := response.EventBuffered(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
