package rtexchange

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against events that are lost, repeated or reordered when the first one is read
// ahead, and against an end that is forgotten.
func TestPrefetchEvent(t *testing.T) {
	tests := []struct {
		name, stream string
		ahead        error
		events       []string
		end          error
	}{
		{"events", "id: 1\n\nid: 2\n\n", nil, []string{"id: 1\n\n", "id: 2\n\n"}, io.EOF},
		{"comment first", ": a\n\nid: 1\n\nid: 2\n\n", nil, []string{": a\n\n", "id: 1\n\n", "id: 2\n\n"}, io.EOF},
		{"no event", "", io.EOF, nil, io.EOF},
		{"cut inside the first event", "id: 1\n", ErrTruncated, nil, ErrTruncated},
		{"comments without end", strings.Repeat(":\n\n", 2*maxAhead), errOnlyComments, nil, io.EOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response := streamOf(test.stream, io.EOF)
			if err := response.PrefetchEvent(nil); !errors.Is(err, test.ahead) {
				t.Errorf("read ahead: got error %v, want %v", err, test.ahead)
			}
			if len(response.ahead.events) > 0 && !response.EventBuffered() {
				t.Error("an event that was read ahead does not count as buffered")
			}
			count := 0
			var err error
			for {
				var event Event
				if event, err = response.NextEvent(nil); err != nil {
					break
				}
				if test.events != nil && (count >= len(test.events) || string(event.Bytes) != test.events[count]) {
					t.Errorf("event %d: got %q", count, event.Bytes)
				}
				count++
			}
			if !errors.Is(err, test.end) || test.events != nil && count != len(test.events) {
				t.Errorf("got %d events, then %v; want %d, then %v", count, err, len(test.events), test.end)
			}
		})
	}
}

// Guards against a body that is read ahead and then lost.
func TestPrefetchBody(t *testing.T) {
	response := bodyOf(t, 100)
	if err := response.PrefetchBody(1000, nil); err != nil {
		t.Fatal(err)
	}
	if body, err := response.ReadAll(1000, nil); err != nil || len(body) != 100 {
		t.Errorf("got %d bytes, error %v, want 100", len(body), err)
	}
	long := bodyOf(t, 100)
	if err := long.PrefetchBody(10, nil); err == nil {
		t.Error("a body over the limit was read ahead without an error")
	}
	if _, err := long.ReadAll(10, nil); err == nil {
		t.Error("the error of a body that was read ahead is lost")
	}
}
