package rtgateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// lateCall is a request that comes after a planned stop has begun.
type lateCall struct {
	b    *testbed
	path string
	id   string
	at   time.Duration // since the stop began, when the last byte of the request is sent

	status int
	took   time.Duration // from the last byte to the answer
	err    error
}

func (l *lateCall) head(length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: service.example\r\nId: %s\r\nKey: key\r\nRemaining: 30s\r\nContent-Length: %d\r\n\r\n", l.path, l.id, length)
}

// connections are the ways in which a late request comes. Each opens its connection and
// returns what remains to be sent.
var connections = []struct {
	name string
	open func(l *lateCall, c net.Conn) (rest string, err error)
}{
	{"first request", func(l *lateCall, _ net.Conn) (string, error) { return l.head(4) + "body", nil }},
	{"slow head", func(l *lateCall, c net.Conn) (string, error) {
		head := l.head(4) + "body"
		_, err := io.WriteString(c, head[:20])
		return head[20:], err
	}},
	{"slow body", func(l *lateCall, c net.Conn) (string, error) {
		_, err := io.WriteString(c, l.head(4)+"bo")
		return "dy", err
	}},
	{"kept connection", func(l *lateCall, c net.Conn) (string, error) {
		earlier := &lateCall{path: "/public/quick", id: l.id + "-earlier"}
		if _, err := io.WriteString(c, earlier.head(0)); err != nil {
			return "", err
		}
		_, err := readStatus(c)
		return l.head(4) + "body", err
	}},
}

// send sends the request and waits for its answer. The connection is opened a little
// before, but no later than the listener closes.
func (l *lateCall) send(ctx context.Context, open func(l *lateCall, c net.Conn) (string, error)) error {
	opened := min(l.at, listenerDelay) - 200*time.Millisecond
	time.Sleep(opened)
	c, err := l.b.network.Host("10.0.9.9").Dial(ctx, callers)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	rest, err := open(l, c)
	if err != nil {
		return err
	}
	time.Sleep(l.at - opened)
	sent := time.Now()
	if _, l.err = io.WriteString(c, rest); l.err != nil {
		return nil
	}
	l.status, l.err = readStatus(c)
	l.took = time.Since(sent)
	return nil
}

// readStatus reads a whole response and returns its status.
func readStatus(c net.Conn) (int, error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Guards against requests that come late in a planned stop, are sent to a target, and
// are cut off without an answer at the end of the grace period.
func TestLateRequestsInStop(t *testing.T) {
	for _, path := range []string{"/order/x", "/safe/x", "/stream/x", "/once/x"} {
		for _, connection := range connections {
			for at := 500 * time.Millisecond; at < grace; at += 500 * time.Millisecond {
				t.Run(fmt.Sprint(path, " ", connection.name, " at ", at), func(t *testing.T) {
					withTestbed(t, 2, func(b *testbed) {
						l := &lateCall{b: b, path: path, id: "late", at: at}
						l.sendInStop(connection.open)
						checkLate(t, l)
					})
				})
			}
		}
	}
}

// sendInStop stops the gateway and sends the request meanwhile, to targets that do not
// answer it.
func (l *lateCall) sendInStop(open func(l *lateCall, c net.Conn) (string, error)) {
	for _, target := range l.b.targets {
		target.set(func(c net.Conn, r *run) {
			if r.request.Header.Get("Id") == l.id {
				neverAnswer(c, r)
				return
			}
			answerOK(c, r)
		})
	}
	began := time.Now()
	call := rttask.Start(l.b.t.Context(), "call", func(ctx context.Context) error { return l.send(ctx, open) })
	if err := l.b.stop(); err != nil {
		l.b.t.Error(err)
	}
	if took := time.Since(began); took > grace {
		l.b.t.Errorf("the stop took %v, want at most %v", took, grace)
	}
	if err := <-call.Done(); err != nil {
		l.b.t.Error(err)
	}
}

// checkLate checks that a request which has reached a target got an answer, which is
// true, and that one which has not is refused at once or was never read.
func checkLate(t *testing.T, l *lateCall) {
	ran := slices.ContainsFunc(l.b.allRuns(), func(r *run) bool { return r.request.Header.Get("Id") == l.id })
	switch {
	case ran && l.err != nil:
		t.Errorf("sent to a target and cut off: %v", l.err)
	case ran && promisesNotRun(l.status):
		t.Errorf("sent to a target and answered with status %d", l.status)
	case !ran && l.err == nil && (l.status != http.StatusServiceUnavailable || l.took > 100*time.Millisecond):
		t.Errorf("not sent, and answered with status %d after %v; want 503 at once", l.status, l.took)
	case ran && l.at > listenerDelay:
		t.Errorf("sent to a target %v after the stop began, when callers no longer come by the balancer", l.at)
	}
}

// Guards against a stream that looks complete because the process that relays it stops:
// while its target is silent, and while its continuation waits for a target.
func TestStreamAtEndOfGrace(t *testing.T) {
	scripts := []struct {
		name   string
		script script
	}{
		{"silent", sendSlowly(2, time.Second, neverAnswer)},
		{"lost", sendSlowly(2, time.Second, func(net.Conn, *run) {})},
	}
	for _, test := range scripts {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 1, func(b *testbed) {
				c := newConfiguration(2)
				for i := range c.Routes {
					c.Routes[i].LatencySLO, c.Routes[i].Timeout = 10*time.Second, 60*time.Second
				}
				c.Index()
				b.publish(c)
				b.targets[0].set(test.script)
				broken := b.start("/stream/x", headers("id-1", "Remaining", "60s"))
				time.Sleep(2500 * time.Millisecond)
				began := time.Now()
				if err := b.stop(); err != nil {
					t.Error(err)
				}
				took := time.Since(began)
				if got := <-broken; got.err == nil || got.body != event(1)+event(2) {
					t.Errorf("got status %d, body %q, error %v; want two events and an error", got.status, got.body, got.err)
				}
				if took < drainTimesOf(grace).answer || took > grace {
					t.Errorf("the stop took %v, want the stream to be kept until shortly before the end of the grace period", took)
				}
			})
		})
	}
}

// Guards against a short grace period that is over before requests are refused or
// answered.
func TestDrainTimes(t *testing.T) {
	for _, period := range []time.Duration{0, time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, grace, time.Minute} {
		times := drainTimesOf(period)
		limit := period
		if limit == 0 {
			limit = defaultGrace
		}
		if times.refusal < 0 || times.refusal > times.answer || times.answer > times.close || times.close > limit {
			t.Errorf("grace period %v: times %+v are not in order within it", period, times)
		}
		if period >= grace && times.refusal != listenerDelay {
			t.Errorf("grace period %v: requests are refused from %v, want %v", period, times.refusal, listenerDelay)
		}
	}
}
