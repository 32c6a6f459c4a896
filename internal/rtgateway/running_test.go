package rtgateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// sendSlowly returns a script that sends a number of events, each after a pause,
// and then calls end.
func sendSlowly(wholeEvents int, pause time.Duration, end script) script {
	return func(c net.Conn, r *run) {
		_, _ = io.WriteString(c, r.responseHead(200, chunked))
		for i := r.lastEvent() + 1; i <= r.lastEvent()+wholeEvents; i++ {
			time.Sleep(pause)
			_, _ = io.WriteString(c, chunk(event(i)))
		}
		end(c, r)
	}
}

// firstRun makes the first attempt follow a script, and all others answerOK.
func (b *testbed) firstRun(first script) {
	for _, target := range b.targets {
		target.set(func(c net.Conn, r *run) {
			if len(b.allRuns()) == 1 {
				first(c, r)
				return
			}
			answerOK(c, r)
		})
	}
}

// Guards against a stream that no other target continues because its target has
// sent events for a while before it fell silent: its own events must not count as
// signs of life after the last of them.
func TestSilentAfterEvents(t *testing.T) {
	for _, pause := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				const wholeEvents = 4
				b.firstRun(sendSlowly(wholeEvents, pause, neverAnswer))
				got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
				silence := got.took - wholeEvents*pause
				if got.err != nil || got.body != allEvents() || silence >= testRoutes[2].AbandonTimeout() {
					t.Errorf("got status %d, body %q, error %v, ended %v after the last event; want the whole stream before its caller abandons it after %v; attempts %s",
						got.status, got.body, got.err, silence, testRoutes[2].AbandonTimeout(), describe(b.allRuns()))
				}
			})
		})
	}
}

// Guards against a stream that breaks because one engine refuses memory for its
// continuation, although other engines have enough.
func TestContinuationMemory(t *testing.T) {
	tests := []struct {
		name   string
		status int // of the first reservation for the continuation
	}{
		{"reserved", http.StatusOK},
		{"refused", http.StatusConflict},
		{"no answer", noAnswer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 24, func(b *testbed) {
				useEngineService(b)
				b.firstRun(sendSlowly(2, 50*time.Millisecond, func(net.Conn, *run) {}))
				answered := false
				for _, target := range b.targets {
					target.commandStatus = func(command string) int {
						if strings.HasPrefix(command, "reserve") && len(b.allRuns()) == 1 && !answered {
							answered = true
							return test.status
						}
						return http.StatusOK
					}
				}
				got := b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "330000"), "")
				if got.err != nil || got.body != allEvents() {
					t.Errorf("got status %d, body %q after %v, error %v; want the whole stream; attempts %s",
						got.status, got.body, got.took, got.err, describe(b.allRuns()))
				}
			})
		})
	}
}

// start sends a request in the background. Its reply follows on the channel.
func (b *testbed) start(path string, h map[string]string) <-chan reply {
	replies := make(chan reply, 1)
	task := rttask.Start(b.t.Context(), "call", func(context.Context) error {
		replies <- b.call(http.MethodPost, path, h, "")
		return nil
	})
	b.t.Cleanup(func() { _ = task.Stop() })
	return replies
}

// limitColdRate allows one request a second at each target.
func limitColdRate(b *testbed) {
	c := newConfiguration(2)
	c.Services[0].ColdRate = 1
	b.publish(c)
}

// Guards against a stream that breaks in a draining process because its
// continuation has to wait a moment. Only requests that have not begun can be
// sent to another process instead.
func TestContinuationWaitsWhileDraining(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		limitColdRate(b)
		b.firstRun(sendSlowly(2, 50*time.Millisecond, func(net.Conn, *run) {}))
		broken := b.start("/stream/x", headers("id-1"))
		time.Sleep(50 * time.Millisecond)
		if got := <-b.start("/safe/x", headers("id-2")); got.status != http.StatusOK {
			b.t.Fatalf("the second request got status %d, want 200", got.status)
		}
		stopped := rttask.Start(b.t.Context(), "stop", func(context.Context) error { return b.stop() })
		got := <-broken
		if got.err != nil || got.body != allEvents() {
			b.t.Errorf("got status %d, body %q after %v, error %v; want the whole stream within the grace period of %v; attempts %s",
				got.status, got.body, got.took, got.err, grace, describe(b.allRuns()))
		}
		if err := <-stopped.Done(); err != nil {
			b.t.Error(err)
		}
	})
}

// Guards against a stalled stream that does not end, because its target sends a byte or
// a comment now and then, and against a slow but sound one that is cut for it.
func TestStalledStreams(t *testing.T) {
	const wholeEvents = 2
	trickle := func(text string, interval time.Duration) script {
		return sendSlowly(wholeEvents, 50*time.Millisecond, func(c net.Conn, r *run) {
			for err := error(nil); err == nil && r.ended.IsZero(); {
				time.Sleep(interval)
				_, err = io.WriteString(c, chunk(text))
			}
		})
	}
	tests := []struct {
		name   string
		script script
		runs   int
	}{
		{"bytes of an event", trickle("i", 300*time.Millisecond), 2},
		{"empty lines", trickle("\n", 300*time.Millisecond), 2},
		{"comments", trickle(":\n\n", 300*time.Millisecond), 2},
		{"comments with text", trickle(": still here\n: yes\n\n", 900*time.Millisecond), 2},
		{"sound, an event each 1.1 s", sendSlowly(events, 1100*time.Millisecond, func(c net.Conn, _ *run) { _, _ = io.WriteString(c, lastChunk) }), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				b.firstRun(test.script)
				got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
				body := ""
				for part := range strings.SplitAfterSeq(got.body, "\n\n") {
					if part = strings.TrimLeft(part, "\n"); !strings.HasPrefix(part, ":") {
						body += part
					}
				}
				if got.err != nil || body != allEvents() {
					t.Errorf("got status %d, body %q, error %v; want the whole stream", got.status, got.body, got.err)
				}
				if runs := len(b.allRuns()); runs != test.runs {
					t.Errorf("%d attempts, want %d", runs, test.runs)
				}
				if bound := testRoutes[2].AbandonTimeout(); test.runs > 1 && got.took > wholeEvents*50*time.Millisecond+bound {
					t.Errorf("ended after %v, want it before its caller abandons it after %v", got.took, bound)
				}
			})
		})
	}
}
