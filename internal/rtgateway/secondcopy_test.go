package rtgateway

import (
	"net/http"
	"strings"
	"testing"
)

// secondCopy returns a script that sends an answer and, behind its end, the same answer
// again.
func secondCopy(header string, wrap func(string) string) script {
	return writeText(func(r *run) string {
		answer := r.responseHead(200, header) + wrap(eventsAfter(r.lastEvent()))
		return answer + answer
	})
}

// Guards against a second copy of a stream that is passed on behind the first one, if
// the answer has no length.
func TestSecondCopyBehindStream(t *testing.T) {
	plain := func(text string) string { return text }
	copies := []struct {
		name   string
		script script
	}{
		{"whole", secondCopy("Content-Type: text/event-stream\r\n", plain)},
		{"bare LF", writeText(func(r *run) string {
			answer := strings.ReplaceAll(r.responseHead(200, ""), "\r\n", "\n") + eventsAfter(r.lastEvent())
			return answer + answer
		})},
		{"events only", writeText(func(r *run) string {
			return r.responseHead(200, "") + eventsAfter(r.lastEvent()) + eventsAfter(r.lastEvent())
		})},
		{"in chunks", secondCopy(chunked, func(text string) string { return chunk(text) + lastChunk })},
	}
	for _, second := range copies {
		t.Run(second.name, func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				b.inOrder(second.script, answerOK)
				got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
				if got.err != nil || got.body != allEvents() {
					t.Errorf("%s; want the whole stream once", b.describeReply(got))
				}
				got = b.call(http.MethodPost, "/once/x", headers("id-2"), "")
				if !strings.HasPrefix(allEvents(), got.body) || got.err == nil && got.body != allEvents() {
					t.Errorf("%s; want the whole stream once, or one that is broken off", b.describeReply(got))
				}
			})
		})
	}
}
