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

// behaviour is what a target may do with a request, and whether the request
// has run then.
type behaviour struct {
	name   string
	script script
	ran    bool
}

// pause is the time between two parts of a slow response.
const pause = 50 * time.Millisecond

// long is a text longer than the read buffers.
var long = strings.Repeat("x", 10_000)

func nothing(*run) string { return "" }

// wholeWithoutLength returns a whole answer that ends with its connection.
func wholeWithoutLength(r *run) string {
	if !r.isStream() {
		return r.responseHead(200, "") + "ok"
	}
	return r.responseHead(200, "") + eventsAfter(r.lastEvent())
}

// cut returns the beginning of the body of an answer.
func cut(r *run) string {
	if !r.isStream() {
		return "o"
	}
	next := r.lastEvent() + 1
	return event(next) + event(next + 1)[:9]
}

var behaviours = []behaviour{
	{"answers", answerOK, true},
	{"not run", refuseNotRun, false},
	{"fails", writeText(func(r *run) string { return r.responseHead(500, "Content-Length: 3\r\n") + "bad" }), true},
	{"closes without an answer", writeText(func(*run) string { return "" }), true},
	{"answers without HTTP", writeText(func(*run) string { return "\x00\x01garbage\r\n\r\n" }), true},
	{"answers for another request", writeText(func(*run) string {
		return "HTTP/1.1 200 x\r\nId: other\r\nStamp: s\r\nContent-Length: 2\r\n\r\nno"
	}), true},
	{"refuses another request", writeText(func(*run) string {
		return "HTTP/1.1 503 x\r\nId: other\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n"
	}), true},
	{"says that another target has the address, to another request", writeText(func(*run) string {
		return "HTTP/1.1 421 x\r\nId: other\r\nContent-Length: 0\r\n\r\n"
	}), true},
	{"blames a helper for another request", writeText(func(*run) string {
		return "HTTP/1.1 503 x\r\nId: other\r\nNotrun: 1\r\nFault: 10.0.1.2:80\r\nContent-Length: 0\r\n\r\n"
	}), true},
	{"answers without a stamp", writeText(func(r *run) string {
		return "HTTP/1.1 200 x\r\nId: " + r.request.Header.Get("Id") + "\r\nContent-Length: 2\r\n\r\nno"
	}), true},
	{"answers encoded", writeText(func(r *run) string {
		return r.responseHead(200, "Content-Encoding: gzip\r\nContent-Length: 2\r\n") + "no"
	}), true},
	{"truncates its body", writeText(func(r *run) string { return r.responseHead(200, "Content-Length: 20\r\n") + "no" }), true},
	{"truncates a chunk", writeText(func(r *run) string { return r.responseHead(200, chunked) + "20\r\nid: 1" }), true},
	{"bad length", writeText(func(r *run) string { return r.responseHead(200, "Content-Length: -2\r\n") + "no" }), true},
	{"does not answer", neverAnswer, true},
	{"adds a second answer", writeText(func(r *run) string {
		if r.isStream() {
			return r.responseHead(200, chunked) + chunk(eventsAfter(r.lastEvent())) + lastChunk + r.responseHead(200, "Content-Length: 5\r\n") + "extra"
		}
		return r.responseHead(200, "Content-Length: 2\r\n") + "ok" + r.responseHead(200, "Content-Length: 5\r\n") + "extra"
	}), true},
	{"ends its answer with its connection", writeText(wholeWithoutLength), true},
	{"ends its answer with a reset", func(c net.Conn, r *run) {
		_, _ = io.WriteString(c, wholeWithoutLength(r))
		r.target.reset()
	}, true},
	{"resets inside its body", func(c net.Conn, r *run) {
		_, _ = io.WriteString(c, r.responseHead(200, "")+cut(r))
		r.target.reset()
	}, true},
	{"ends its connection inside an event", writeText(func(r *run) string {
		if r.isStream() {
			return r.responseHead(200, "") + cut(r)
		}
		return r.responseHead(200, "Content-Length: 2\r\n") + cut(r)
	}), true},
	{"header line without end", repeatText(func(r *run) string { return "HTTP/1.1 200 x\r\nA: " }, long, 0), true},
	{"header lines without end", repeatText(func(r *run) string { return "HTTP/1.1 200 x\r\n" }, "A: "+long+"\r\n", 0), true},
	{"slow header line without end", repeatText(func(r *run) string { return "HTTP/1.1 200 x\r\nA: " }, "x", pause), true},
	{"interim responses without end", repeatText(nothing, "HTTP/1.1 103 x\r\nA: "+long+"\r\n\r\n", 0), true},
	{"slow interim responses without end", repeatText(nothing, "HTTP/1.1 103 x\r\n\r\n", pause), true},
	{"event without end", func(c net.Conn, r *run) {
		if r.isStream() {
			repeatText(func(r *run) string { return r.responseHead(200, "") }, strings.Repeat(long, 16), 0)(c, r)
			return
		}
		neverAnswer(c, r)
	}, true},
	{"slow body without end", repeatText(func(r *run) string { return r.responseHead(200, "") }, "x", pause), true},
	{"chunk size without end", repeatText(func(r *run) string { return r.responseHead(200, chunked) }, strings.Repeat("0", 1000), 0), true},
	{"slow trailer without end", repeatText(func(r *run) string { return r.responseHead(200, chunked) + "0\r\nA: " }, "x", pause), true},
	{"breaks off after two events", func(c net.Conn, r *run) {
		if r.isStream() {
			breakAfter(2, "", closeConnection)(c, r)
			return
		}
		writeText(func(r *run) string { return r.responseHead(200, "Content-Length: 20\r\n") + cut(r) })(c, r)
	}, true},
	{"fails with 404", answerWith(404, "", failureText), true},
	{"runs and fails with 408", answerWith(408, "", failureText), true},
	{"runs and fails with 429", answerWith(429, "Retry-After: 1\r\n", failureText), true},
	{"runs and fails with 503", answerWith(503, "", failureText), true},
}

// Guards against a request that runs twice, or is refused as not run although
// it ran, and against an answer that is not the whole answer of the target. It
// tests every pair of behaviours of two targets with every kind of request.
func TestOutcomes(t *testing.T) {
	kinds := []struct {
		path       string
		repeatable bool
		good       string
	}{
		{"/order/x", false, "ok"},
		{"/safe/x", true, "ok"},
		{"/stream/x", true, allEvents()},
		{"/once/x", false, allEvents()},
	}
	for _, kind := range kinds {
		for _, firstAttempt := range behaviours {
			for _, secondAttempt := range behaviours {
				t.Run(fmt.Sprint(kind.path, firstAttempt.name, "/", secondAttempt.name), func(t *testing.T) {
					withTestbed(t, 2, func(b *testbed) {
						checkBehaviours(b, kind.path, kind.repeatable, kind.good, []behaviour{firstAttempt, secondAttempt})
					})
				})
			}
		}
	}
}

func checkBehaviours(b *testbed, path string, repeatable bool, want string, inOrder []behaviour) {
	// The first request goes to either of the two targets, so the behaviour
	// follows the order of arrival.
	for _, target := range b.targets {
		target.set(func(c net.Conn, r *run) {
			inOrder[min(len(b.allRuns()), len(inOrder))-1].script(c, r)
		})
	}
	got := b.call(http.MethodPost, path, headers("id-1"), "body")
	runs := b.allRuns()
	ran := 0
	for i := range runs {
		if inOrder[min(i, 1)].ran {
			ran++
		}
	}
	if ran > 1 && !repeatable {
		b.t.Errorf("must run only once, but ran %d times: %s", ran, describe(runs))
	}
	if len(runs) > 2 {
		b.t.Errorf("sent %d times, want at most 2: %s", len(runs), describe(runs))
	}
	if got.took > 11*time.Second {
		b.t.Errorf("answered after %v, want it within 11s", got.took)
	}
	// A 404 of a target is its whole answer, unless the caller has a part of another one.
	if repeatable && inOrder[1].name == "answers" && inOrder[0].name != "fails with 404" && (got.status != http.StatusOK || got.err != nil) {
		b.t.Errorf("got status %d, error %v, want the answer of the second target", got.status, got.err)
	}
	time.Sleep(500 * time.Millisecond)
	b.mu.Lock()
	for _, r := range runs {
		if r.ended.IsZero() {
			b.t.Error("connection to a target is still open 0.5 s after the answer")
		}
	}
	b.mu.Unlock()
	switch {
	case got.err != nil && got.status == 0 && !repeatable:
		b.t.Errorf("caller got no response: %v", got.err)
	case promisesNotRun(got.status) && ran > 0:
		b.t.Errorf("refused as not run with status %d, but ran %d times", got.status, ran)
	case got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "":
		b.t.Error("refused without Retry-After")
	case got.status == http.StatusOK && got.err == nil && got.body != want:
		b.t.Errorf("body %q, want %q", got.body, want)
	case got.status == http.StatusOK && got.err == nil && got.header.Get("Stamp") == "":
		b.t.Error("success without the target's stamp")
	case got.status == http.StatusInternalServerError && got.body != "bad", got.status == http.StatusNotFound && got.body != failureText:
		b.t.Errorf("failure with body %q, want that of the target", got.body)
	}
	for _, r := range runs {
		if string(r.body) != "body" || r.request.Method != http.MethodPost || r.request.RequestURI != path {
			b.t.Errorf("target got %s %s with body %q, want the request of the caller", r.request.Method, r.request.RequestURI, r.body)
		}
		if r.request.Header.Get("Key") != "" || r.request.Header.Get("Organisation") != "court" {
			b.t.Errorf("target got key %q and organisation %q, want no key and court", r.request.Header.Get("Key"), r.request.Header.Get("Organisation"))
		}
	}
}

// Guards against a second answer, sent late on the connection of a request, that
// another request gets.
func TestLateSecondAnswer(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		b.targets[0].set(func(c net.Conn, r *run) {
			answerOK(c, r)
			for range 3 {
				time.Sleep(300 * time.Millisecond)
				_, _ = io.WriteString(c, r.responseHead(200, "Content-Length: 6\r\n")+"second")
				_, _ = io.WriteString(c, r.responseHead(503, "Notrun: 1\r\nContent-Length: 0\r\n"))
			}
		})
		for i := range 20 {
			id := fmt.Sprint("id-", i)
			got := b.call(http.MethodPost, "/order/x", headers(id), "")
			if got.status != http.StatusOK || got.body != "ok" || got.header.Get("Id") != id {
				t.Errorf("%s: got status %d, body %q for %q; want its own answer", id, got.status, got.body, got.header.Get("Id"))
			}
			time.Sleep(100 * time.Millisecond)
		}
		if runs := len(b.allRuns()); runs != 20 {
			t.Errorf("%d attempts for 20 orders", runs)
		}
	})
}
