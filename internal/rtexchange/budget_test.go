package rtexchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// bodyOf returns a response with a body of a number of bytes.
func bodyOf(t *testing.T, size int) *Response {
	t.Helper()
	connection, other := net.Pipe()
	t.Cleanup(func() { _ = other.Close() })
	return &Response{
		Body:       bufio.NewReader(strings.NewReader(strings.Repeat("x", size))),
		connection: connection,
		stopClose:  func() bool { return true },
		writeTask:  &rttask.Task{},
	}
}

// Guards against bodies that together exceed the budget, a budget that is not
// returned, and short bodies that fail because of long ones.
func TestBudget(t *testing.T) {
	budget := NewBudget(256 << 10)
	const long, short, limit = 200_000, 60_000, 1 << 20
	first := bodyOf(t, long)
	if body, err := first.ReadAll(limit, budget); err != nil || len(body) != long {
		t.Fatalf("got %d bytes, error %v, want %d", len(body), err, long)
	}
	for range 3 {
		second := bodyOf(t, long)
		if _, err := second.ReadAll(limit, budget); !errors.Is(err, ErrNoBudget) {
			t.Errorf("got error %v while the budget is used, want %v", err, ErrNoBudget)
		}
		second.release()
		events := streamOf("id: 1\n\n"+strings.Repeat("x", long)+"\n\n", io.EOF)
		if _, err := events.NextEvent(budget); err != nil {
			t.Errorf("short event: %v", err)
		}
		if _, err := events.NextEvent(budget); !errors.Is(err, ErrNoBudget) {
			t.Errorf("long event: got error %v while the budget is used, want %v", err, ErrNoBudget)
		}
		events.release()
		if body, err := bodyOf(t, short).ReadAll(limit, budget); err != nil || len(body) != short {
			t.Errorf("short body: got %d bytes, error %v, want %d", len(body), err, short)
		}
	}
	first.release()
	if used := budget.used.Load(); used != 0 {
		t.Errorf("%d bytes are used after all responses were released, want 0", used)
	}
	if _, err := bodyOf(t, long).ReadAll(limit, budget); err != nil {
		t.Errorf("after the release: %v", err)
	}
}
