package rtgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
)

// failureText is the body of a target's failure.
const failureText = "no such model"

// answerWith returns a script that answers with a status and a body of a given length.
func answerWith(status int, header, body string) script {
	return writeText(func(r *run) string {
		return r.responseHead(status, fmt.Sprintf("%sContent-Length: %d\r\n", header, len(body))) + body
	})
}

// inOrder gives the attempts of a request to scripts in their order of arrival. The
// last script also gets all later ones.
func (b *testbed) inOrder(scripts ...script) { b.inOrderAfter(0, scripts...) }

// inOrderAfter is inOrder for the attempts after a number of them.
func (b *testbed) inOrderAfter(attempts int, scripts ...script) {
	for _, target := range b.targets {
		target.set(func(c net.Conn, r *run) {
			scripts[min(len(b.allRuns())-attempts, len(scripts))-1](c, r)
		})
	}
}

// publishAttempts publishes the configuration with a number of attempts on each route.
func (b *testbed) publishAttempts(attempts int) {
	c := newConfiguration(2)
	for i := range c.Routes {
		c.Routes[i].Attempts = attempts
	}
	c.Index()
	b.publish(c)
}

// continuations are answers to a request to continue a stream that are not the rest
// of it.
var continuations = []struct {
	name   string
	script script
}{
	{"300", answerWith(300, "", failureText)},
	{"302", answerWith(302, "Location: /elsewhere\r\n", failureText)},
	{"304", writeText(func(r *run) string { return r.responseHead(304, "") })},
	{"400", answerWith(400, "", failureText)},
	{"401", answerWith(401, "", failureText)},
	{"404", answerWith(404, "", failureText)},
	{"404 without a body", answerWith(404, "", "")},
	{"404 in chunks", writeText(func(r *run) string {
		return r.responseHead(404, "Transfer-Encoding: chunked\r\n") + chunk(failureText) + lastChunk
	})},
	{"404 without a length", writeText(func(r *run) string { return r.responseHead(404, "") + failureText })},
	{"404 with events", writeText(func(r *run) string {
		return r.responseHead(404, chunked) + chunk(eventsAfter(r.lastEvent())) + lastChunk
	})},
	{"408", answerWith(408, "", failureText)},
	{"416", answerWith(416, "", failureText)},
	{"429", answerWith(429, "", failureText)},
	{"500", answerWith(500, "", failureText)},
	{"503", answerWith(503, "", failureText)},
	{"504", answerWith(504, "", failureText)},
	{"204", writeText(func(r *run) string { return r.responseHead(204, "") })},
	{"202", answerWith(202, "", "")},
	{"200 of another type", answerWith(200, "Content-Type: application/json\r\n", "{\"error\":\"no such model\"}\n\n")},
	{"200 that ends inside an event", answerWith(200, "", failureText)},
	{"404 without end", repeatText(func(r *run) string { return r.responseHead(404, "") }, long, 0)},
}

// Guards against a stream whose target was lost and that ends with the failure of
// another target, or looks complete after it.
func TestFailedContinuation(t *testing.T) {
	for wholeEvents := 1; wholeEvents < events; wholeEvents++ {
		for _, test := range continuations {
			t.Run(fmt.Sprint(test.name, " after ", wholeEvents), func(t *testing.T) {
				withTestbed(t, 2, func(b *testbed) {
					b.inOrder(breakAfter(wholeEvents, "", closeConnection), test.script)
					got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
					if got.err == nil || !strings.HasPrefix(allEvents(), got.body) {
						t.Errorf("got status %d, body %q, error %v; want a part of the stream and an error", got.status, got.body, got.err)
					}
					if got.status == http.StatusOK && got.header.Get("Stamp") != string(b.allRuns()[0].target.id) {
						t.Errorf("got stamp %q, want that of the first target", got.header.Get("Stamp"))
					}
				})
			})
		}
	}
}

// Guards against a stream that is given up after the failure of one target although
// another one may continue it.
func TestContinuationAfterFailure(t *testing.T) {
	for _, test := range continuations {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 3, func(b *testbed) {
				b.publishAttempts(3)
				b.inOrder(breakAfter(2, "", closeConnection), test.script, answerOK)
				got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
				if got.err != nil || got.status != http.StatusOK || got.body != allEvents() {
					t.Errorf("got status %d, body %q, error %v; want the whole stream; attempts %s", got.status, got.body, got.err, describe(b.allRuns()))
				}
			})
		})
	}
}

// Guards against a broken stream whose log does not say which answer of a target could
// not continue it.
func TestFailedContinuationIsLogged(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		b.inOrder(breakAfter(2, "", closeConnection), answerWith(404, "", failureText))
		b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
		lines := b.logged("Response broken off.")
		if len(lines) != 1 {
			t.Errorf("logged %d times that the response was broken off, want once: %q", len(lines), lines)
			return
		}
		for _, want := range []string{`"request"="id-1"`, `"reason"="target failed"`, `404`, `"event"="2"`} {
			if !strings.Contains(lines[0], want) {
				t.Errorf("log line %s does not contain %s", lines[0], want)
			}
		}
	})
}

// Guards against a failure that is withheld although no answer has begun.
func TestFailureBeforeFirstEvent(t *testing.T) {
	for _, route := range testRoutes {
		if route.Kind != rtcatalog.KindStream {
			continue
		}
		t.Run(route.Name, func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				b.inOrder(answerWith(404, "", failureText))
				got := b.call(http.MethodPost, route.Prefix+"x", headers("id-1"), "")
				if got.err != nil || got.status != http.StatusNotFound || got.body != failureText || got.header.Get("Stamp") == "" {
					t.Errorf("got status %d, body %q, error %v; want the target's 404", got.status, got.body, got.err)
				}
			})
		})
	}
}

// Guards against parts of a failure behind the events of a broken stream, on the
// connection of a caller that does not know chunks.
func TestFailedContinuationInOldVersion(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		b.inOrder(breakAfter(2, "", closeConnection), answerWith(404, "", failureText))
		c, err := b.network.Host("10.0.9.9").Dial(b.t.Context(), callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, "POST /stream/x HTTP/1.0\r\nHost: service.example\r\nId: id-1\r\nKey: key\r\nRemaining: 10s\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(c)
		_, body, _ := strings.Cut(string(got), "\r\n\r\n")
		if err == nil || !strings.HasPrefix(allEvents(), body) {
			t.Errorf("got body %q, error %v; want a part of the stream and an error", body, err)
		}
	})
}

// Guards against events that come twice because a target answers the request to
// continue a stream with the whole stream, or with events that do not follow.
func TestContinuationRepeatsEvents(t *testing.T) {
	tests := []struct {
		name  string
		first func(last int) int // first event of the continuation
	}{
		{"whole stream", func(int) int { return 1 }},
		{"last event again", func(last int) int { return last }},
	}
	for _, test := range tests {
		for wholeEvents := 1; wholeEvents < events; wholeEvents++ {
			for _, attempts := range []int{2, 3} {
				t.Run(fmt.Sprint(test.name, " after ", wholeEvents, ", ", attempts, " attempts"), func(t *testing.T) {
					withTestbed(t, attempts, func(b *testbed) {
						b.publishAttempts(attempts)
						again := func(c net.Conn, r *run) {
							_, _ = io.WriteString(c, r.responseHead(200, chunked)+chunk(eventsAfter(test.first(r.lastEvent())-1))+lastChunk)
						}
						b.inOrder(breakAfter(wholeEvents, "", closeConnection), again, answerOK)
						got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
						if !strings.HasPrefix(allEvents(), got.body) || (got.err == nil) != (attempts == 3) {
							t.Errorf("got body %q, error %v; want the stream, whole after %d attempts only", got.body, got.err, attempts)
						}
					})
				})
			}
		}
	}
}

// Guards against events without a number that end a stream, and against numbers that
// are compared as texts.
func TestFollowsEvent(t *testing.T) {
	tests := []struct {
		last, next string
		want       bool
	}{
		{"", "1", true}, {"1", "2", true}, {"9", "10", true}, {"1", "7", true}, {"a", "b", true}, {"b", "a", true}, {"9", "x", true},
		{"2", "2", false}, {"10", "9", false}, {"a", "a", false}, {"02", "2", false},
		{"18446744073709551616", "18446744073709551615", true}, // out of range, so not numbers
	}
	for _, test := range tests {
		if got := followsEvent(test.last, test.next); got != test.want {
			t.Errorf("event %q after %q: got %v, want %v", test.next, test.last, got, test.want)
		}
	}
}
