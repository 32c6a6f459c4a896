package rtgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// pauseAfter returns a script that pauses once after a number of events, or
// before an answer that is not a stream.
func pauseAfter(wholeEvents int, pause time.Duration) script {
	return func(c net.Conn, r *run) {
		if !strings.HasPrefix(r.request.URL.Path, "/stream/") {
			time.Sleep(pause)
			answerOK(c, r)
			return
		}
		_, _ = io.WriteString(c, r.responseHead(200, chunked))
		for i := r.lastEvent() + 1; i <= events; i++ {
			if i == wholeEvents+1 {
				time.Sleep(pause)
			}
			if _, err := io.WriteString(c, chunk(event(i))); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, lastChunk)
	}
}

// Guards against an answer that is given up during a pause of its target
// although no other target can continue it.
func TestPausedAnswerIsKept(t *testing.T) {
	const (
		streamPause = 1900 * time.Millisecond // the caller abandons a stream after 2 s
		safePause   = 9 * time.Second         // of a deadline of 10 s
	)
	situations := []struct {
		name    string
		targets int
		bounds  Bounds
	}{
		{"no other target", 1, Bounds{RetryAllowance: 100, RetryWindow: 10 * time.Second, Grace: grace}},
		{"retry budget exhausted", 2, Bounds{RetryWindow: 10 * time.Second, Grace: grace}},
	}
	pauses := []struct {
		name, path string
		script     script
		want       string
	}{
		{"before the first event", "/stream/x", pauseAfter(0, streamPause), allEvents()},
		{"after the first event", "/stream/x", pauseAfter(1, streamPause), allEvents()},
		{"before the last event", "/stream/x", pauseAfter(events-1, streamPause), allEvents()},
		{"before a whole answer", "/safe/x", pauseAfter(0, safePause), "ok"},
	}
	for _, situation := range situations {
		for _, pause := range pauses {
			t.Run(situation.name+"/"+pause.name, func(t *testing.T) {
				withTestbed(t, situation.targets, func(b *testbed) {
					b.gateway.SetBounds(situation.bounds)
					for _, target := range b.targets {
						target.set(pause.script)
					}
					got := b.call(http.MethodPost, pause.path, headers("id-1"), "")
					if got.err != nil || got.status != http.StatusOK || got.body != pause.want {
						t.Errorf("got status %d, body %q, error %v; want the whole answer; attempts %s", got.status, got.body, got.err, describe(b.allRuns()))
					}
				})
			})
		}
	}
}

// Guards against a stream that is given up during a pause of its engine although
// all other engines are too busy to continue it before its caller leaves.
func TestPausedStreamBesideBusyEngines(t *testing.T) {
	withTestbed(t, 8, func(b *testbed) {
		useInteractiveEngines(b)
		busy := make(map[rtid.Target]rtplacement.Load)
		for _, target := range b.targets {
			busy[target.id] = rtplacement.Load{PrefillBacklog: 3 * time.Second}
		}
		for _, target := range b.targets {
			target.set(func(c net.Conn, r *run) {
				b.gateway.SetPeerLoads("entry-2", busy)
				pauseAfter(1, 1900*time.Millisecond)(c, r)
			})
		}
		got := b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "17000"), "")
		if got.err != nil || got.status != http.StatusOK || got.body != allEvents() {
			t.Errorf("got status %d, body %q, error %v; want the whole stream; attempts %s; log %q", got.status, got.body, got.err, describe(b.allRuns()), b.logged("broken off"))
		}
	})
}

// Guards against a stream that is broken off because the admission control
// refuses to continue it: it was lost after its caller had received events for
// longer than the abandon timeout.
func TestLongStreamResumes(t *testing.T) {
	withTestbed(t, 8, func(b *testbed) {
		useInteractiveEngines(b)
		for _, target := range b.targets {
			target.set(func(c net.Conn, r *run) {
				if len(b.allRuns()) > 1 {
					answerOK(c, r)
					return
				}
				_, _ = io.WriteString(c, r.responseHead(200, chunked))
				for i := 1; i < events; i++ {
					time.Sleep(time.Second)
					_, _ = io.WriteString(c, chunk(event(i)))
				}
			})
		}
		got := b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "17000"), "")
		if got.err != nil || got.status != http.StatusOK || got.body != allEvents() {
			t.Errorf("got status %d, body %q, error %v; want the whole stream; attempts %s", got.status, got.body, got.err, describe(b.allRuns()))
		}
	})
}

// Guards against a stream that is broken off at once because no target can
// continue it at that moment, although its caller still waits for the next
// event.
func TestLostStreamWaitsForTarget(t *testing.T) {
	for _, draining := range []bool{false, true} {
		t.Run(fmt.Sprint("draining ", draining), func(t *testing.T) {
			withTestbed(t, 1, func(b *testbed) {
				stopped := make(chan error, 1)
				b.targets[0].set(breakAfter(2, "", func(net.Conn) {
					if draining {
						go func() { stopped <- b.stop() }()
					}
					time.AfterFunc(time.Second, func() {
						b.addTarget(1)
						b.publish(newConfiguration(2))
					})
				}))
				got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
				if got.err != nil || got.status != http.StatusOK || got.body != allEvents() {
					t.Errorf("got status %d, body %q, error %v; want the whole stream; attempts %s", got.status, got.body, got.err, describe(b.allRuns()))
				}
				if draining {
					if err := <-stopped; err != nil {
						t.Error(err)
					}
				}
			})
		})
	}
}
