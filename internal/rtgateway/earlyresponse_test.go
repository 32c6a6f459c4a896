package rtgateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
)

// earlyKinds are the kinds of requests, with what their callers must get if the first
// target ends its response before it has read the request.
var earlyKinds = []struct {
	path       string
	attempts   int // of the route; with one, nobody can be asked for the rest
	repeatable bool
	whole      string // the body of the second target's response
}{
	{"/safe/x", 2, true, "ok"},
	{"/safe/x", 1, false, ""},
	{"/order/x", 2, false, ""},
	{"/stream/x", 2, true, allEvents()},
	{"/stream/x", 1, false, ""},
	{"/once/x", 2, false, ""},
}

// earlyPart returns a part of a response without a length: the first events of a stream,
// or some text.
func earlyPart(r *run) string {
	if r.isStream() {
		return r.responseHead(http.StatusOK, "Content-Type: text/event-stream\r\n") + event(1) + event(2)
	}
	return r.responseHead(http.StatusOK, "") + "o"
}

// earlyMismatch returns how what the caller of a request got whose first target has ended a
// response early differs from what it must get, or an empty string.
func earlyMismatch(got reply, repeatable bool, whole string) string {
	switch {
	case repeatable && (got.err != nil || got.status != http.StatusOK || got.body != whole):
		return fmt.Sprintf("got status %d, body %q, error %v; want status 200 and body %q", got.status, got.body, got.err, whole)
	case !repeatable && got.status != http.StatusBadGateway && got.err == nil:
		return fmt.Sprintf("got status %d and body %q as a complete response; want 502, or a response that is broken off", got.status, got.body)
	}
	return ""
}

// earlyBody is a request body that fits into no socket buffer of the fake network.
var earlyBody = strings.Repeat("b", 900<<10)

// Guards against a response without a length that looks complete although its target
// has closed the connection before it has read the request.
func TestEarlyResponse(t *testing.T) {
	ends := []struct {
		name string
		end  func(c net.Conn, r *run)
	}{
		{"in order", closeInOrder},
		{"killed", endProcess},
		{"reset", func(c net.Conn, _ *run) {
			if resetting, ok := c.(interface{ SetLinger(seconds int) error }); ok {
				_ = resetting.SetLinger(0)
			}
			_ = c.Close()
		}},
	}
	for _, kind := range earlyKinds {
		for _, end := range ends {
			for _, inChunks := range []bool{false, true} {
				t.Run(fmt.Sprint(kind.path, " ", kind.attempts, " attempts, ", end.name, ", body in chunks ", inChunks), func(t *testing.T) {
					withTestbed(t, 2, func(b *testbed) {
						b.publishAttempts(kind.attempts)
						attempts := b.endEarly(end.end)
						got := b.callBody(kind.path, inChunks)
						if mismatch := earlyMismatch(got, kind.repeatable, kind.whole); mismatch != "" {
							t.Errorf("%s; log %q", mismatch, b.logged("Sent."))
						}
						if !kind.repeatable && attempts.Load() != 1 {
							t.Errorf("sent %d times, want once", attempts.Load())
						}
					})
				})
			}
		}
	}
}

// endEarly makes the target of the first attempt begin to answer before it reads the body,
// and then call end. It returns the number of attempts.
func (b *testbed) endEarly(end func(c net.Conn, r *run)) *atomic.Int64 {
	var attempts atomic.Int64
	for _, target := range b.targets {
		target.beforeBody = func(c net.Conn, r *run) bool {
			if attempts.Add(1) > 1 {
				return false
			}
			_, _ = io.WriteString(c, earlyPart(r))
			end(c, r)
			return true
		}
	}
	return &attempts
}

// Guards against a complete response that is lost because its target has not read the
// whole request: a response with a length or chunks says itself that it is complete.
func TestCompleteEarlyResponse(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge, http.StatusInternalServerError} {
		for _, framed := range []string{"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
			t.Run(fmt.Sprint(status, " ", framed[:strings.Index(framed, ":")]), func(t *testing.T) {
				withTestbed(t, 1, func(b *testbed) {
					b.targets[0].beforeBody = func(c net.Conn, r *run) bool {
						_, _ = io.WriteString(c, strings.TrimSuffix(r.responseHead(status, ""), "\r\n")+framed)
						return true
					}
					got := b.callBody("/order/x", false)
					if got.err != nil || got.status != status || got.body != "ok" {
						t.Errorf("%s; want status %d and body ok", b.describeReply(got), status)
					}
				})
			})
		}
	}
}

// Guards against a request of which a target that answers early gets bytes that are not
// its own behind the part that the target has read.
func TestConnectionOfEarlyResponse(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		rest := make(chan string, 1)
		b.targets[0].beforeBody = func(c net.Conn, r *run) bool {
			_, _ = io.WriteString(c, r.responseHead(http.StatusOK, "Content-Length: 2\r\n")+"ok")
			received, _ := io.ReadAll(r.request.Body)
			rest <- string(received)
			return true
		}
		if got := b.callBody("/order/x", false); got.err != nil || got.body != "ok" {
			t.Errorf("%s; want the response", b.describeReply(got))
		}
		if got := <-rest; !strings.HasPrefix(earlyBody, got) {
			t.Error("the target got other bytes than those of the body")
		}
	})
}

// callBody sends a request with earlyBody, with a length or in chunks.
func (b *testbed) callBody(path string, inChunks bool) reply {
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return b.network.Host("10.0.9.9").Dial(ctx, callers)
		},
	}}
	return postBody(b.t, client, "http://service.example"+path, earlyBody, inChunks)
}

// postBody sends a request with a body, with a length or in chunks.
func postBody(t *testing.T, client *http.Client, url, text string, inChunks bool) reply {
	t.Helper()
	var body io.Reader = strings.NewReader(text)
	if inChunks {
		body = io.NopCloser(body) // of unknown length
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "service.example"
	for name, value := range headers("id-1") {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// tcpBed is a gateway with two targets on sockets of the machine. The kernel reports the
// end of a connection in ways that the fake network does not have: an error is reported
// once, to the writer or to the reader, and a write succeeds before its bytes are received.
type tcpBed struct {
	url     string
	metrics *rtmetric.Metrics
	server  *httptest.Server
	sent    atomic.Int64 // requests that the targets have got

	mu        sync.Mutex
	listeners []net.Listener
	held      []net.Conn // connections that targets have left open
}

// newTCPBed starts a gateway. The first request that its targets get is answered by early,
// all others are read and answered. Routes have the given number of attempts.
func newTCPBed(t *testing.T, attempts int, early func(b *tcpBed, c *net.TCPConn, r *run)) *tcpBed {
	t.Helper()
	b := &tcpBed{}
	views := &testbed{t: t}
	for i := range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		b.listeners = append(b.listeners, listener)
		target := &target{id: rtid.Target(fmt.Sprintf("t%d", i)), address: rtid.Address(listener.Addr().String())}
		views.targets = append(views.targets, target)
	}
	for i, listener := range b.listeners {
		go b.accept(listener, views.targets[i], early)
	}
	configuration := newConfiguration(1)
	configuration.Limits.Body = 4 << 20
	for i := range configuration.Routes {
		configuration.Routes[i].Attempts = attempts
	}
	configuration.Index()
	views.publish(configuration)
	metrics, err := rtmetric.New("test")
	if err != nil {
		t.Fatal(err)
	}
	b.metrics = metrics
	gateway := New(Settings{
		VM: "entry-1", Zone: "a",
		Bounds: Bounds{RetryRatio: 0.2, RetryAllowance: 100, RetryWindow: 10 * time.Second, Grace: grace, ColdFactor: 1.5},
	}, Dependencies{
		Network: &rtnet.TCP{}, Log: logr.Discard(), Metrics: metrics, Dialect: testDialect{},
		Views: testViews{views}, Peers: noPeers{}, OnNews: func() {},
	})
	b.server = httptest.NewServer(gateway)
	b.url = b.server.URL
	return b
}

// accept serves the connections to a target.
func (b *tcpBed) accept(listener net.Listener, target *target, early func(b *tcpBed, c *net.TCPConn, r *run)) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			c, ok := connection.(*net.TCPConn)
			if !ok {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				_ = c.Close()
				return
			}
			r := &run{target: target, request: request}
			if b.sent.Add(1) == 1 {
				early(b, c, r)
				return
			}
			defer func() { _ = c.Close() }()
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			body := "ok"
			if r.isStream() {
				body = eventsAfter(r.lastEvent())
			}
			_, _ = io.WriteString(c, r.responseHead(http.StatusOK, fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
		}()
	}
}

// hold keeps a connection open until the bed is closed.
func (b *tcpBed) hold(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held = append(b.held, c)
}

func (b *tcpBed) close(t *testing.T) {
	t.Helper()
	b.server.Close()
	for _, listener := range b.listeners {
		_ = listener.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.held {
		_ = c.Close()
	}
	if err := b.metrics.Close(); err != nil {
		t.Error(err)
	}
}

// earlyEnds are the ways in which a target ends its connection with the request unread.
var earlyEnds = []struct {
	name string
	end  func(b *tcpBed, c *net.TCPConn)
}{
	{"close", func(_ *tcpBed, c *net.TCPConn) { _ = c.Close() }},
	{"in order, then close", func(_ *tcpBed, c *net.TCPConn) {
		_ = c.CloseWrite()
		_ = c.Close()
	}},
	{"reset", func(_ *tcpBed, c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}},
	{"half close", func(b *tcpBed, c *net.TCPConn) {
		_ = c.CloseWrite()
		b.hold(c)
	}},
}

// Guards against a response without a length that looks complete because the writer of
// the request has got the error of a reset, so that the reader sees an end in order, or
// because the kernel has taken bytes that no target receives.
func TestEarlyResponseOverTCP(t *testing.T) {
	const requests = 20
	body := strings.Repeat("b", 3<<20)
	for _, kind := range earlyKinds {
		for _, end := range earlyEnds {
			for _, inChunks := range []bool{false, true} {
				t.Run(fmt.Sprint(kind.path, " ", kind.attempts, " attempts, ", end.name, ", body in chunks ", inChunks), func(t *testing.T) {
					wrong, last := 0, ""
					for range requests {
						b := newTCPBed(t, kind.attempts, func(b *tcpBed, c *net.TCPConn, r *run) {
							_, _ = io.WriteString(c, earlyPart(r))
							end.end(b, c)
						})
						client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
						got := postBody(t, client, b.url+kind.path, body, inChunks)
						if mismatch := earlyMismatch(got, kind.repeatable, kind.whole); mismatch != "" {
							wrong, last = wrong+1, mismatch
						}
						if sent := b.sent.Load(); !kind.repeatable && sent != 1 {
							t.Errorf("sent %d times, want once", sent)
						}
						b.close(t)
					}
					if wrong > 0 {
						t.Errorf("%d of %d wrong, the last one: %s", wrong, requests, last)
					}
				})
			}
		}
	}
}

// Guards against a whole response without a length that is lost although its target has
// read the request: the writer of the request may learn of its end after the reader.
func TestUnframedResponseOverTCP(t *testing.T) {
	const requests = 50
	for _, size := range []int{0, 10, 10_000, 3 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			for range requests {
				b := newTCPBed(t, 1, func(_ *tcpBed, c *net.TCPConn, r *run) {
					defer func() { _ = c.Close() }()
					_, _ = io.Copy(io.Discard, r.request.Body)
					_, _ = io.WriteString(c, r.responseHead(http.StatusOK, "")+"ok")
				})
				got := postBody(t, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, b.url+"/order/x", strings.Repeat("b", size), false)
				if got.err != nil || got.status != http.StatusOK || got.body != "ok" {
					t.Errorf("got status %d, body %q, error %v; want the whole response", got.status, got.body, got.err)
				}
				b.close(t)
			}
		})
	}
}

// Guards against a status outside 100 to 599 that is passed on: clients treat it as a
// server error, and what the target means by it is not known.
func TestInvalidStatus(t *testing.T) {
	for _, kind := range earlyKinds {
		for _, status := range []int{42, 600, 999} {
			t.Run(fmt.Sprint(kind.path, " ", kind.attempts, " attempts, ", status), func(t *testing.T) {
				withTestbed(t, 2, func(b *testbed) {
					b.publishAttempts(kind.attempts)
					b.inOrder(writeText(func(r *run) string {
						return strings.Replace(r.responseHead(200, "Content-Length: 2\r\n"), "200", fmt.Sprintf("%03d", status), 1) + "ok"
					}), answerOK)
					got := b.call(http.MethodPost, kind.path, headers("id-1"), "")
					switch {
					case kind.repeatable && (got.err != nil || got.status != http.StatusOK || got.body != kind.whole):
						t.Errorf("%s; want the response of the second target", b.describeReply(got))
					case !kind.repeatable && (got.status != http.StatusBadGateway || len(b.allRuns()) != 1):
						t.Errorf("%s; want status 502 after one attempt", b.describeReply(got))
					}
				})
			})
		}
	}
}
