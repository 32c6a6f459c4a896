package rtgateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// outcome is what a target may do with a request, and whether the request has
// run then.
type outcome struct {
	name   string
	script script
	ran    bool
}

var outcomes = []outcome{
	{"answers", answerWell, true},
	{"not run", notRunning, false},
	{"fails", text(func(r *run) string { return r.head(500, "Content-Length: 3\r\n") + "bad" }), true},
	{"closes without an answer", text(func(*run) string { return "" }), true},
	{"answers no HTTP", text(func(*run) string { return "\x00\x01garbage\r\n\r\n" }), true},
	{"answers for another request", text(func(*run) string {
		return "HTTP/1.1 200 x\r\nId: other\r\nStamp: s\r\nContent-Length: 2\r\n\r\nno"
	}), true},
	{"answers without a stamp", text(func(r *run) string {
		return "HTTP/1.1 200 x\r\nId: " + r.request.Header.Get("Id") + "\r\nContent-Length: 2\r\n\r\nno"
	}), true},
	{"answers encoded", text(func(r *run) string {
		return r.head(200, "Content-Encoding: gzip\r\nContent-Length: 2\r\n") + "no"
	}), true},
	{"breaks off its body", text(func(r *run) string { return r.head(200, "Content-Length: 20\r\n") + "no" }), true},
	{"breaks off a chunk", text(func(r *run) string { return r.head(200, chunked) + "20\r\nid: 1" }), true},
	{"bad length", text(func(r *run) string { return r.head(200, "Content-Length: -2\r\n") + "no" }), true},
	{"says nothing", hang, true},
	{"adds a second answer", text(func(r *run) string {
		if strings.HasPrefix(r.request.URL.Path, "/stream/") || strings.HasPrefix(r.request.URL.Path, "/once/") {
			return r.head(200, chunked) + chunk(allEvents()) + lastChunk + r.head(200, "Content-Length: 5\r\n") + "extra"
		}
		return r.head(200, "Content-Length: 2\r\n") + "ok" + r.head(200, "Content-Length: 5\r\n") + "extra"
	}), true},
}

// Guards against a request that runs twice or is refused as not run though it
// ran, and against an answer that is not the target's whole own one, for every
// pair of what two targets may do and every kind of request.
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
		for _, first := range outcomes {
			for _, second := range outcomes {
				t.Run(fmt.Sprint(kind.path, first.name, "/", second.name), func(t *testing.T) {
					inWorld(t, 2, func(w *world) {
						checkOutcome(w, kind.path, kind.repeatable, kind.good, []outcome{first, second})
					})
				})
			}
		}
	}
}

func checkOutcome(w *world, path string, repeatable bool, good string, arrivals []outcome) {
	// The first request goes to one of the two; its script follows the order of
	// arrival.
	for _, target := range w.targets {
		target.set(func(c net.Conn, r *run) {
			arrivals[min(len(w.all()), len(arrivals))-1].script(c, r)
		})
	}
	got := w.call(http.MethodPost, path, headers("id-1"), "body")
	runs := w.all()
	ran := 0
	for i := range runs {
		if arrivals[min(i, 1)].ran {
			ran++
		}
	}
	if ran > 1 && !repeatable {
		w.t.Errorf("ran %d times: %s", ran, describe(runs))
	}
	if len(runs) > 2 {
		w.t.Errorf("sent %d times: %s", len(runs), describe(runs))
	}
	switch {
	case got.err != nil && got.status == 0 && !repeatable:
		w.t.Errorf("no answer at all: %v", got.err)
	case got.status == http.StatusServiceUnavailable && ran > 0:
		w.t.Errorf("refused as not run, but %d ran", ran)
	case got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "":
		w.t.Error("refused without a time to come back")
	case got.status == http.StatusOK && got.err == nil && got.body != good:
		w.t.Errorf("body %q, want %q", got.body, good)
	case got.status == http.StatusOK && got.err == nil && got.header.Get("Stamp") == "":
		w.t.Error("success without the target's stamp")
	case got.status == http.StatusInternalServerError && got.body != "bad":
		w.t.Errorf("failure with body %q", got.body)
	}
	for _, r := range runs {
		if string(r.body) != "body" || r.request.Method != http.MethodPost || r.request.RequestURI != path {
			w.t.Errorf("target got %s %s %q", r.request.Method, r.request.RequestURI, r.body)
		}
		if r.request.Header.Get("Key") != "" || r.request.Header.Get("Organisation") != "court" {
			w.t.Errorf("target got key %q and organisation %q", r.request.Header.Get("Key"), r.request.Header.Get("Organisation"))
		}
	}
}
