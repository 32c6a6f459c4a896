package rtgateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtintake"
)

// testLimits allow one body of the testbed's limit of 1 MiB and a half, and 16
// connections.
var testLimits = rtintake.Limits{Memory: 3 << 19, Responses: 32 << 20, Connections: 16}

// open opens a connection to the gateway.
func (b *testbed) open() net.Conn {
	c, err := b.network.Host("10.0.9.9").Dial(b.t.Context(), callers)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	return c
}

// rawHead returns the header of a request with a body.
func rawHead(id string, length int) string {
	return fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: service.example\r\nId: %s\r\nKey: key\r\nRemaining: 10s\r\nContent-Length: %d\r\n\r\n", id, length)
}

// Guards against a sound upload that is ended before its deadline though nobody needs
// its memory.
func TestSlowBodyInCalm(t *testing.T) {
	withLimitedTestbed(t, 1, testLimits, func(b *testbed) {
		const size, blocks = 1 << 20, 32
		c := b.open()
		_, _ = io.WriteString(c, rawHead("slow", size))
		for range blocks {
			time.Sleep(290 * time.Millisecond)
			_, _ = io.WriteString(c, strings.Repeat("x", size/blocks))
		}
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("got %+v, error %v, want status 200", response, err)
			return
		}
		_ = response.Body.Close()
		if runs := b.allRuns(); len(runs) != 1 || len(runs[0].body) != size {
			t.Errorf("got %s, want one run with the whole body", describe(runs))
		}
	})
}

// Guards against bodies that stop short of their end and keep others from being served,
// and against refusals of them as not run that have been sent.
func TestStalledBodiesGiveWay(t *testing.T) {
	withLimitedTestbed(t, 1, testLimits, func(b *testbed) {
		const size, stalled = 1 << 20, 6
		var connections []net.Conn
		for i := range stalled {
			c := b.open()
			connections = append(connections, c)
			go func() {
				_, _ = io.WriteString(c, rawHead(fmt.Sprint("stalled-", i), size)+strings.Repeat("x", 400<<10))
			}()
		}
		time.Sleep(3 * time.Second)
		if got := b.call(http.MethodPost, "/order/x", headers("whole"), strings.Repeat("y", size)); got.status != http.StatusOK {
			t.Errorf("got status %d, error %v, want 200 for a whole body", got.status, got.err)
		}
		for _, run := range b.allRuns() {
			if id := run.request.Header.Get("Id"); id != "whole" {
				t.Errorf("%s was sent, want only the whole one", id)
			}
		}
		refused := 0
		for _, c := range connections {
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				continue // it still waits
			}
			refused++
			if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
				t.Errorf("got %d %v, want 503 with Retry-After and Connection: close", response.StatusCode, response.Header)
			}
			_ = response.Body.Close()
		}
		if refused < stalled-1 {
			t.Errorf("%d of %d stalled bodies were refused, want all but one at least", refused, stalled)
		}
		if lines := b.logged("Requests and connections evicted."); len(lines) == 0 {
			t.Error("no log line names the evictions")
		}
	})
}

// Guards against memory that is not returned, by which requests that fit one after the
// other would be refused after some time; on one connection and with errors between.
func TestMemoryIsReturned(t *testing.T) {
	withLimitedTestbed(t, 1, testLimits, func(b *testbed) {
		for i := range 40 {
			path, size, want := "/order/x", 1<<20, http.StatusOK
			if i%4 == 1 {
				path, size, want = "/none/x", 10_000, http.StatusNotFound
			}
			if i%4 == 2 {
				size, want = 1<<20+1, http.StatusRequestEntityTooLarge
			}
			if got := b.call(http.MethodPost, path, headers(fmt.Sprint(i)), strings.Repeat("x", size)); got.status != want {
				t.Errorf("request %d: got status %d, error %v, want %d", i, got.status, got.err, want)
			}
		}
		time.Sleep(time.Second) // until the connections are closed
		b.gateway.intake.mu.Lock()
		defer b.gateway.intake.mu.Unlock()
		if used, open := b.gateway.intake.budget.Used(), b.gateway.intake.connections.Count(); used != 0 || open != 0 {
			t.Errorf("%d bytes are used and %d connections open after the last request, want none", used, open)
		}
	})
}

// Guards against requests that arrive together with the one before them and are taken
// for evicted.
func TestPipelinedRequests(t *testing.T) {
	withLimitedTestbed(t, 1, testLimits, func(b *testbed) {
		c := b.open()
		go func() {
			for i := range 3 {
				_, _ = io.WriteString(c, rawHead(fmt.Sprint("a", i), 4)+"body"+rawHead(fmt.Sprint("b", i), 4)+"body")
			}
		}()
		reader := bufio.NewReader(c)
		for i := range 6 {
			response, err := http.ReadResponse(reader, nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("request %d: got %+v, error %v, want status 200", i, response, err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
}

// Guards against connections without a request, or whose headers trickle in, that keep
// new callers out.
func TestConnectionsGiveWay(t *testing.T) {
	for _, sent := range []string{"", "POST /order/x HTTP/1.1\r\nHost: serv"} {
		withLimitedTestbed(t, 1, testLimits, func(b *testbed) {
			for range 3 * testLimits.Connections {
				c := b.open()
				_, _ = io.WriteString(c, sent)
			}
			if got := b.call(http.MethodPost, "/order/x", headers("id"), "body"); got.status != http.StatusOK {
				t.Errorf("%q: got status %d, error %v, want 200", sent, got.status, got.err)
			}
		})
	}
}

// Guards against headers of many short fields that cost many times their size, and
// against a limit that refuses headers of the published size.
func TestLongHeaders(t *testing.T) {
	withLimitedTestbed(t, 1, testLimits, func(b *testbed) {
		if got := b.call(http.MethodPost, "/order/x", headers("id", "Long", strings.Repeat("x", 16_000)), "body"); got.status != http.StatusOK {
			t.Errorf("header of 16 KB: got status %d, error %v, want 200", got.status, got.err)
		}
		var fields strings.Builder
		for i := range 4_000 {
			fmt.Fprintf(&fields, "%x:\r\n", i)
		}
		for range 4 {
			c := b.open()
			go func() {
				_, _ = io.WriteString(c, "POST /order/x HTTP/1.1\r\nHost: service.example\r\n"+fields.String())
			}()
		}
		time.Sleep(time.Second)
		b.gateway.intake.mu.Lock()
		used := b.gateway.intake.budget.Used()
		b.gateway.intake.mu.Unlock()
		if used == 0 || used > int64(testLimits.Memory) {
			t.Errorf("headers hold %d bytes, want some and at most %d", used, testLimits.Memory)
		}
		if got := b.call(http.MethodPost, "/order/x", headers("after"), "body"); got.status != http.StatusOK {
			t.Errorf("beside long headers: got status %d, error %v, want 200", got.status, got.err)
		}
	})
}
