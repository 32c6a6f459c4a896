package rtgateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a success with an empty or short body that looks whole because its
// target stopped anywhere in the head of its answer, or right behind it, and closed the
// connection in order.
func TestAnswerCutInHead(t *testing.T) {
	heads := []struct{ name, header string }{
		{"chunks", chunked},
		{"length", "Content-Length: 80\r\n"},
		{"no length", "Content-Type: text/event-stream\r\n"},
	}
	kinds := []struct {
		path       string
		repeatable bool
		whole      string
	}{{"/stream/x", true, allEvents()}, {"/once/x", false, ""}, {"/safe/x", true, "ok"}, {"/order/x", false, ""}}
	for _, head := range heads {
		for _, kind := range kinds {
			t.Run(head.name+kind.path, func(t *testing.T) {
				withTestbed(t, 2, func(b *testbed) {
					length := len((&run{target: b.targets[0], request: &http.Request{Header: http.Header{"Id": {"id-000"}}}}).responseHead(200, head.header))
					for cut := range length + 1 {
						time.Sleep(10 * time.Second) // cooldowns are over, and retries are allowed again
						id := fmt.Sprintf("id-%03d", cut)
						attempts := len(b.allRuns())
						b.inOrderAfter(attempts, writeText(func(r *run) string { return r.responseHead(200, head.header)[:cut] }), answerOK)
						got := b.call(http.MethodPost, kind.path, headers(id), "")
						whole := got.status == http.StatusOK && got.err == nil
						if whole != kind.repeatable || whole && got.body != kind.whole || promisesNotRun(got.status) {
							t.Errorf("cut after %d of %d bytes: got status %d, body %q, error %v; want a whole answer: %v", cut, length, got.status, got.body, got.err, kind.repeatable)
						}
						if runs := len(b.allRuns()) - attempts; runs > 1 && !kind.repeatable {
							t.Errorf("cut after %d of %d bytes: ran %d times, want once", cut, length, runs)
						}
					}
				})
			})
		}
	}
}

// Guards against an answer with an interim response, or with one header line per write,
// that counts as cut.
func TestWholeHeadIsTaken(t *testing.T) {
	for _, interim := range []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"} {
		withTestbed(t, 1, func(b *testbed) {
			b.targets[0].set(writeText(func(r *run) string {
				return interim + strings.ReplaceAll(r.responseHead(200, "Content-Length: 2\r\n"), "\r\n", "\n") + "ok"
			}))
			if got := b.call(http.MethodPost, "/order/x", headers("id-1"), ""); got.status != http.StatusOK || got.body != "ok" {
				t.Errorf("%s; want the answer", b.describeReply(got))
			}
		})
	}
}

// Guards against an answer that has no body by its nature and counts as cut.
func TestAnswerWithoutBody(t *testing.T) {
	answers := []struct {
		name, method string
		status       int
	}{
		{"HEAD", http.MethodHead, http.StatusOK},
		{"no content", http.MethodPost, http.StatusNoContent},
		{"failure", http.MethodPost, http.StatusNotFound},
	}
	for _, answer := range answers {
		t.Run(answer.name, func(t *testing.T) {
			withTestbed(t, 1, func(b *testbed) {
				b.targets[0].set(writeText(func(r *run) string { return r.responseHead(answer.status, "") }))
				if got := b.call(answer.method, "/order/x", headers("id-1"), ""); got.err != nil || got.status != answer.status {
					t.Errorf("%s; want status %d", b.describeReply(got), answer.status)
				}
			})
		})
	}
}
