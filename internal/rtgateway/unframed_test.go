package rtgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// unframed returns a script that sends a number of events after the requested one,
// without a length and without chunks, and then calls end.
func unframed(wholeEvents int, end func(c net.Conn, r *run)) script {
	return func(c net.Conn, r *run) {
		_, _ = io.WriteString(c, r.responseHead(200, "Content-Type: text/event-stream\r\n"))
		for i := r.lastEvent() + 1; i <= min(events, r.lastEvent()+wholeEvents); i++ {
			time.Sleep(pause)
			_, _ = io.WriteString(c, event(i))
		}
		end(c, r)
	}
}

// closeInOrder closes the connection.
func closeInOrder(c net.Conn, _ *run) { _ = c.Close() }

// endProcess closes the connection as the kernel does for a process that is killed: in
// order, while nothing listens any more.
func endProcess(c net.Conn, r *run) {
	_ = c.Close()
	r.target.reset()
}

// describeReply describes a reply, the attempts and what the gateway logged of them.
func (b *testbed) describeReply(got reply) string {
	return fmt.Sprintf("got status %d, body %q, error %v; attempts %s; log %q", got.status, got.body, got.err, describe(b.allRuns()), b.logged("Sent."))
}

// Guards against an answer that looks complete although the process of its target was
// killed before the end: the kernel closes its connections in order, which ends an
// answer without a length.
func TestUnframedAnswerOfKilledTarget(t *testing.T) {
	for wholeEvents := range events {
		t.Run(fmt.Sprint("stream after ", wholeEvents, " events"), func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				b.inOrder(unframed(wholeEvents, endProcess), answerOK)
				got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
				if got.err != nil || got.status != http.StatusOK || got.body != allEvents() {
					t.Errorf("%s; want the whole stream", b.describeReply(got))
				}
			})
		})
		t.Run(fmt.Sprint("not resumable stream after ", wholeEvents, " events"), func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				b.inOrder(unframed(wholeEvents, endProcess), answerOK)
				got := b.call(http.MethodPost, "/once/x", headers("id-1"), "")
				if got.err == nil && got.status == http.StatusOK || !strings.HasPrefix(allEvents(), got.body) && got.status == http.StatusOK {
					t.Errorf("%s; want a failure, or a response that is broken off", b.describeReply(got))
				}
				if runs := len(b.allRuns()); runs != 1 {
					t.Errorf("ran %d times, want once", runs)
				}
			})
		})
	}
	killed := func(c net.Conn, r *run) {
		_, _ = io.WriteString(c, r.responseHead(200, "")+"o")
		endProcess(c, r)
	}
	for _, test := range []struct {
		path   string
		status int
		runs   int
	}{{"/safe/x", http.StatusOK, 2}, {"/order/x", http.StatusBadGateway, 1}} {
		t.Run(test.path, func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				b.inOrder(killed, answerOK)
				got := b.call(http.MethodPost, test.path, headers("id-1"), "")
				if got.status != test.status || got.status == http.StatusOK && got.body != "ok" || len(b.allRuns()) != test.runs {
					t.Errorf("%s; want status %d after %d runs", b.describeReply(got), test.status, test.runs)
				}
			})
		})
	}
}

// Guards against a target that was killed just after another answer of its had ended,
// and that is taken for alive by the check for that answer.
func TestUnframedAnswerSoonAfterAnother(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		b.targets[0].set(func(c net.Conn, r *run) {
			if r.request.Header.Get("Id") == "whole" {
				unframed(events, closeInOrder)(c, r)
				return
			}
			time.Sleep(events*pause + acceptTime)
			unframed(1, endProcess)(c, r)
		})
		done := make(chan reply, 1)
		go func() { done <- b.call(http.MethodPost, "/once/x", headers("cut"), "") }()
		if got := b.call(http.MethodPost, "/once/x", headers("whole"), ""); got.err != nil || got.body != allEvents() {
			t.Errorf("%s; want the whole stream", b.describeReply(got))
		}
		if got := <-done; got.err == nil {
			t.Errorf("%s; want a response that is broken off", b.describeReply(got))
		}
	})
}

// Guards against an answer that looks complete although its target was killed and has
// already started again at its address.
func TestUnframedAnswerOfRestartedTarget(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		b.targets[0].set(unframed(2, func(net.Conn, *run) {
			b.targets[0].born = 2
			b.publish(newConfiguration(2))
		}))
		if got := b.call(http.MethodPost, "/once/x", headers("id-1"), ""); got.err == nil {
			t.Errorf("%s; want a response that is broken off", b.describeReply(got))
		}
	})
}
