package rtgateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// behaviour is what a target may do with a request, and whether the request
// has run then.
type behaviour struct {
	name   string
	script script
	ran    bool
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
		if strings.HasPrefix(r.request.URL.Path, "/stream/") || strings.HasPrefix(r.request.URL.Path, "/once/") {
			return r.responseHead(200, chunked) + chunk(allEvents()) + lastChunk + r.responseHead(200, "Content-Length: 5\r\n") + "extra"
		}
		return r.responseHead(200, "Content-Length: 2\r\n") + "ok" + r.responseHead(200, "Content-Length: 5\r\n") + "extra"
	}), true},
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
	switch {
	case got.err != nil && got.status == 0 && !repeatable:
		b.t.Errorf("caller got no response: %v", got.err)
	case got.status == http.StatusServiceUnavailable && ran > 0:
		b.t.Errorf("refused as not run, but ran %d times", ran)
	case got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "":
		b.t.Error("refused without Retry-After")
	case got.status == http.StatusOK && got.err == nil && got.body != want:
		b.t.Errorf("body %q, want %q", got.body, want)
	case got.status == http.StatusOK && got.err == nil && got.header.Get("Stamp") == "":
		b.t.Error("success without the target's stamp")
	case got.status == http.StatusInternalServerError && got.body != "bad":
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
