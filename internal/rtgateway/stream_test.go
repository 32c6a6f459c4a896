package rtgateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"testing/synctest"
)

// breakAfter returns a script that sends some whole events, then a part of the
// next one, and ends as told.
func breakAfter(whole int, torn string, end func(c net.Conn)) script {
	return func(c net.Conn, r *run) {
		_, _ = io.WriteString(c, r.head(200, chunked))
		for i := r.after() + 1; i <= r.after()+whole; i++ {
			_, _ = io.WriteString(c, chunk(event(i)))
		}
		if torn != "" {
			_, _ = io.WriteString(c, chunk(torn))
		}
		end(c)
	}
}

func closeConnection(net.Conn) {}

// Guards against a stream with a gap, a double or a torn event after its target
// was lost at any event and in any way.
func TestStreamResumes(t *testing.T) {
	ends := []struct {
		name string
		end  func(net.Conn)
	}{
		{"closed", closeConnection},
		{"silent", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }},
		{"garbage", func(c net.Conn) { _, _ = io.WriteString(c, "zz\r\nnot a chunk") }},
		{"ended inside an event", func(c net.Conn) { _, _ = io.WriteString(c, lastChunk) }},
	}
	for whole := range events {
		for _, end := range ends {
			t.Run(end.name, func(t *testing.T) {
				inWorld(t, 2, func(w *world) {
					broken := breakAfter(whole, "id: 9\nda", end.end)
					for _, target := range w.targets {
						target.set(func(c net.Conn, r *run) {
							if len(w.all()) == 1 {
								broken(c, r)
								return
							}
							answerWell(c, r)
						})
					}
					got := w.call(http.MethodPost, "/stream/x", headers("id-1"), "")
					if got.err != nil || got.status != http.StatusOK || got.body != allEvents() {
						t.Errorf("after %d events: %d %q %v, sends %s", whole, got.status, got.body, got.err, describe(w.all()))
					}
					if stamp := string(w.all()[0].target.id); whole > 0 && got.header.Get("Stamp") != stamp {
						t.Errorf("stamp %q, want that of the first target %q", got.header.Get("Stamp"), stamp)
					}
				})
			})
		}
	}
}

// Guards against a stream that must not go on elsewhere but looks complete
// after its target was lost.
func TestStreamBreaks(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		for _, target := range w.targets {
			target.set(breakAfter(2, "", closeConnection))
		}
		got := w.call(http.MethodPost, "/once/x", headers("id-1"), "")
		if got.err == nil || !strings.HasPrefix(allEvents(), got.body) {
			t.Errorf("got %d %q without an error", got.status, got.body)
		}
		if runs := w.all(); len(runs) != 1 {
			t.Errorf("sent %d times", len(runs))
		}
	})
}

// Guards against a target that works on for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			inWorld(t, 2, func(w *world) {
				for _, target := range w.targets {
					target.set(hang)
				}
				ctx, cancel := context.WithTimeout(w.t.Context(), 200*time.Millisecond)
				defer cancel()
				w.callCtx(ctx, http.MethodPost, path, headers("id-1"), "")
				left := time.Now()
				time.Sleep(500 * time.Millisecond)
				synctest.Wait()
				for _, r := range w.all() {
					if r.ended.IsZero() || r.ended.Sub(left) > 500*time.Millisecond {
						t.Errorf("target was still at work half a second later")
					}
				}
				time.Sleep(2 * time.Second)
				if runs := w.all(); len(runs) != 1 {
					t.Errorf("sent %d times for a caller that has left", len(runs))
				}
			})
		})
	}
}

// Guards against an answer after the time that the route or the caller allows,
// and against more time for the target than is left.
func TestDeadline(t *testing.T) {
	tests := []struct {
		path, left string
		want       time.Duration
	}{
		{"/order/x", "10s", 10 * time.Second},
		{"/order/x", "60s", 10 * time.Second}, // the route allows 10 s
		{"/order/x", "700ms", 700 * time.Millisecond},
		{"/safe/x", "900ms", 900 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.path+test.left, func(t *testing.T) {
			inWorld(t, 2, func(w *world) {
				for _, target := range w.targets {
					target.set(hang)
				}
				got := w.call(http.MethodPost, test.path, headers("id-1", "Left", test.left), "")
				if got.status != http.StatusGatewayTimeout && got.status != http.StatusBadGateway {
					t.Errorf("status %d", got.status)
				}
				if got.took > test.want+250*time.Millisecond {
					t.Errorf("answered after %v, want %v", got.took, test.want)
				}
				for _, r := range w.all() {
					left, err := time.ParseDuration(r.request.Header.Get("Left"))
					if err != nil || left > test.want-r.at.Sub(w.all()[0].at) {
						t.Errorf("target was given %v (%v)", left, err)
					}
				}
			})
		})
	}
}

// Guards against events that are held back.
func TestEventsPassAtOnce(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		var last time.Time
		w.targets[0].set(func(c net.Conn, r *run) {
			answerWell(c, r)
			last = time.Now()
		})
		got := w.call(http.MethodPost, "/stream/x", headers("id-1"), "")
		if got.body != allEvents() || time.Since(last) > 120*time.Millisecond {
			t.Errorf("stream %q ended %v after its target", got.body, time.Since(last))
		}
	})
}
