package rtgateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// openBytes counts the bytes that targets have written to connections that are
// still open, and the most at any time.
type openBytes struct {
	mu         sync.Mutex
	open, peak int
}

func (o *openBytes) add(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open += n
	o.peak = max(o.peak, o.open)
}

// countedConn counts the bytes that a target has written.
type countedConn struct {
	net.Conn
	counter *openBytes
	written int
}

func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += n
	c.counter.add(n)
	return n, err
}

// Guards against targets whose answers do not end and that together fill the
// memory of the gateway, and against answers of other targets that are lost
// meanwhile.
func TestEndlessBodies(t *testing.T) {
	tests := []struct {
		path    string
		endless int
	}{
		{"/order/", 16},
		{"/once/", 256},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			withTestbed(t, 24, func(b *testbed) { checkEndlessBodies(b, test.path, test.endless) })
		})
	}
}

func checkEndlessBodies(b *testbed, path string, endless int) {
	var counter openBytes
	for _, target := range b.targets {
		target.set(func(c net.Conn, r *run) {
			if strings.HasSuffix(r.request.URL.Path, "short") {
				answerOK(c, r)
				return
			}
			counted := &countedConn{Conn: c, counter: &counter}
			repeatText(func(r *run) string { return r.responseHead(200, "") }, strings.Repeat(long, 16), 10*time.Millisecond)(counted, r)
			counter.add(-counted.written)
		})
	}
	call := func(path string, want int) *rttask.Task {
		return rttask.Start(b.t.Context(), path, func(context.Context) error {
			if got := b.call(http.MethodPost, path, headers("id"), "body"); got.status != want {
				b.t.Errorf("%s: got status %d, error %v, want status %d", path, got.status, got.err, want)
			}
			return nil
		})
	}
	var calls []*rttask.Task
	for range endless {
		calls = append(calls, call(path+"endless", http.StatusBadGateway))
	}
	for range 16 {
		calls = append(calls, call(path+"short", http.StatusOK))
	}
	for _, task := range calls {
		if err := <-task.Done(); err != nil {
			b.t.Error(err)
		}
	}
	counter.mu.Lock()
	defer counter.mu.Unlock()
	// Each connection has 256 KiB in flight, and 64 KiB that do not count.
	if bound := maxResponseMemory + endless*(320<<10); counter.peak > bound {
		b.t.Errorf("held %d MiB of %d answers without end, want at most %d MiB", counter.peak>>20, endless, bound>>20)
	}
}

// Guards against long failures that are kept while other targets are tried, and that
// together fill the memory of the gateway.
func TestKeptFailures(t *testing.T) {
	const requests, size = 32, 8 << 20
	withTestbed(t, 24, func(b *testbed) {
		body := strings.Repeat("x", size)
		var attempts sync.Map // by request
		for _, target := range b.targets {
			target.set(func(c net.Conn, r *run) {
				if _, later := attempts.LoadOrStore(r.request.Header.Get("Id"), true); later {
					neverAnswer(c, r)
					return
				}
				answerWith(http.StatusInternalServerError, "", body)(c, r)
			})
		}
		var calls []*rttask.Task
		for i := range requests {
			calls = append(calls, rttask.Start(b.t.Context(), "call", func(context.Context) error {
				b.call(http.MethodPost, "/safe/x", headers(fmt.Sprint("id-", i)), "body")
				return nil
			}))
		}
		time.Sleep(5 * time.Second) // all wait for the second target
		kept := 0
		for _, line := range b.logged("Sent.") {
			if strings.Contains(line, `"outcome"="failed"`) {
				kept += size
			}
		}
		if kept > maxResponseMemory || kept == 0 {
			t.Errorf("keeps failures of %d MiB, want some and at most %d MiB", kept>>20, maxResponseMemory>>20)
		}
		for _, task := range calls {
			if err := <-task.Done(); err != nil {
				t.Error(err)
			}
		}
		// All memory has been returned.
		if got := b.call(http.MethodPost, "/order/x", headers("last"), "body"); got.status != http.StatusInternalServerError || len(got.body) != size {
			t.Errorf("got status %d and %d bytes after the other requests, want the failure of the target", got.status, len(got.body))
		}
	})
}
