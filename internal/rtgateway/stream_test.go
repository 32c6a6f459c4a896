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

// breakAfter returns a script that sends a number of whole events, then a part
// of the next one, and then calls end.
func breakAfter(wholeEvents int, partial string, end func(c net.Conn)) script {
	return func(c net.Conn, r *run) {
		_, _ = io.WriteString(c, r.responseHead(200, chunked))
		for i := r.lastEvent() + 1; i <= r.lastEvent()+wholeEvents; i++ {
			_, _ = io.WriteString(c, chunk(event(i)))
		}
		if partial != "" {
			_, _ = io.WriteString(c, chunk(partial))
		}
		end(c)
	}
}

// closeConnection does nothing: the testbed closes the connection after the
// script.
func closeConnection(net.Conn) {}

// Guards against a stream with missing, doubled or truncated events after its
// target was lost at any event and in any way.
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
	for wholeEvents := range events {
		for _, end := range ends {
			t.Run(end.name, func(t *testing.T) {
				withTestbed(t, 2, func(b *testbed) {
					broken := breakAfter(wholeEvents, "id: 9\nda", end.end)
					for _, target := range b.targets {
						target.set(func(c net.Conn, r *run) {
							if len(b.allRuns()) == 1 {
								broken(c, r)
								return
							}
							answerOK(c, r)
						})
					}
					got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
					if got.err != nil || got.status != http.StatusOK || got.body != allEvents() {
						t.Errorf("after %d events: got status %d, body %q, error %v; want the whole stream; attempts %s", wholeEvents, got.status, got.body, got.err, describe(b.allRuns()))
					}
					if stamp := string(b.allRuns()[0].target.id); wholeEvents > 0 && got.header.Get("Stamp") != stamp {
						t.Errorf("stamp %q, want that of the first target %q", got.header.Get("Stamp"), stamp)
					}
				})
			})
		}
	}
}

// Guards against a stream that must not resume at another target and looks
// complete after its target was lost.
func TestStreamBreaks(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		for _, target := range b.targets {
			target.set(breakAfter(2, "", closeConnection))
		}
		got := b.call(http.MethodPost, "/once/x", headers("id-1"), "")
		if got.err == nil || !strings.HasPrefix(allEvents(), got.body) {
			t.Errorf("got status %d and body %q without an error, want an error", got.status, got.body)
		}
		if runs := b.allRuns(); len(runs) != 1 {
			t.Errorf("sent %d times, want once", len(runs))
		}
	})
}

// Guards against a response that is broken off without a log line that says why
// and after which event.
func TestBrokenStreamIsLogged(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		for _, target := range b.targets {
			target.set(breakAfter(2, "", closeConnection))
		}
		b.call(http.MethodPost, "/once/x", headers("id-1"), "")
		lines := b.logged("Response broken off.")
		if len(lines) != 1 {
			t.Fatalf("logged %d times that the response was broken off, want once: %q", len(lines), lines)
		}
		for _, want := range []string{`"request"="id-1"`, `"reason"="connection to target lost"`, `"detail"="unexpected EOF"`, `"event"="2"`} {
			if !strings.Contains(lines[0], want) {
				t.Errorf("log line %s does not contain %s", lines[0], want)
			}
		}
		if sent := b.logged("Sent."); len(sent) != 1 || !strings.Contains(sent[0], `"begun"=true`) {
			t.Errorf("lines of attempts %q, want one that says that the response had begun", sent)
		}
	})
}

// Guards against attempts whose log lines do not show how a response ended and which
// events the caller has from it.
func TestAttemptOfStreamIsLogged(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		b.inOrder(breakAfter(2, "", closeConnection), writeText(wholeWithoutLength))
		b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
		sent := b.logged("Sent.")
		if len(sent) < 2 {
			t.Fatalf("logged %d attempts, want two at least: %q", len(sent), sent)
		}
		for i, want := range []string{
			`"framing"="chunks" "from"="" "event"="2" "events"=2`,
			`"framing"="connection" "from"="2" "event"="5" "events"=3`,
		} {
			if !strings.Contains(sent[i], want) {
				t.Errorf("line of attempt %d is %s, want it with %s", i, sent[i], want)
			}
		}
	})
}

// Guards against a target that continues to work for a caller that has
// disconnected.
func TestCallerLeaves(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				for _, target := range b.targets {
					target.set(neverAnswer)
				}
				ctx, cancel := context.WithTimeout(b.t.Context(), 200*time.Millisecond)
				defer cancel()
				b.callCtx(ctx, http.MethodPost, path, headers("id-1"), "")
				disconnected := time.Now()
				time.Sleep(500 * time.Millisecond)
				synctest.Wait()
				for _, r := range b.allRuns() {
					if r.ended.IsZero() || r.ended.Sub(disconnected) > 500*time.Millisecond {
						t.Errorf("target still worked 0.5 s after the caller had disconnected")
					}
				}
				time.Sleep(2 * time.Second)
				if runs := b.allRuns(); len(runs) != 1 {
					t.Errorf("sent %d times, want no further attempt after the caller has disconnected", len(runs))
				}
			})
		})
	}
}

// Guards against a response after the timeout of the route or the caller, and
// against a target that is told more time than is left.
func TestDeadline(t *testing.T) {
	tests := []struct {
		path, remaining string
		want            time.Duration
	}{
		{"/order/x", "10s", 10 * time.Second},
		{"/order/x", "60s", 10 * time.Second}, // the route allows 10 s
		{"/order/x", "700ms", 700 * time.Millisecond},
		{"/safe/x", "900ms", 900 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.path+test.remaining, func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				for _, target := range b.targets {
					target.set(neverAnswer)
				}
				got := b.call(http.MethodPost, test.path, headers("id-1", "Remaining", test.remaining), "")
				if got.status != http.StatusGatewayTimeout && got.status != http.StatusBadGateway {
					t.Errorf("got status %d, want 504 or 502", got.status)
				}
				if got.took > test.want+250*time.Millisecond {
					t.Errorf("got the response after %v, want it after %v", got.took, test.want)
				}
				for _, r := range b.allRuns() {
					remaining, err := time.ParseDuration(r.request.Header.Get("Remaining"))
					if err != nil || remaining > test.want-r.at.Sub(b.allRuns()[0].at) {
						t.Errorf("target was told %v of remaining time (error %v), want no more than is left", remaining, err)
					}
				}
			})
		})
	}
}

// Guards against events that are buffered instead of passed on at once.
func TestEventsPassAtOnce(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		var last time.Time
		b.targets[0].set(func(c net.Conn, r *run) {
			answerOK(c, r)
			last = time.Now()
		})
		got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
		if got.body != allEvents() || time.Since(last) > 120*time.Millisecond {
			t.Errorf("got stream %q, ended %v after its target; want at most 120 ms", got.body, time.Since(last))
		}
	})
}

// Guards against a target that is taken for alive, or whose stream counts as
// begun, because of empty lines.
func TestEmptyLines(t *testing.T) {
	tests := []struct {
		name   string
		script script
	}{
		{"without end", repeatText(func(r *run) string { return r.responseHead(200, "") }, "\n", 50*time.Millisecond)},
		{"then closed", writeText(func(r *run) string { return r.responseHead(200, chunked) + chunk("\r\n\n") })},
	}
	for _, test := range tests {
		for _, path := range []string{"/stream/x", "/once/x"} {
			t.Run(test.name+path, func(t *testing.T) {
				withTestbed(t, 2, func(b *testbed) {
					for _, target := range b.targets {
						target.set(func(c net.Conn, r *run) {
							if len(b.allRuns()) == 1 {
								test.script(c, r)
								return
							}
							answerOK(c, r)
						})
					}
					got := b.call(http.MethodPost, path, headers("id-1"), "")
					want, wantBody := http.StatusBadGateway, ""
					if path == "/stream/x" {
						want, wantBody = http.StatusOK, allEvents()
					} else if test.name == "without end" {
						want = http.StatusGatewayTimeout
					}
					if got.err != nil || got.status != want || got.status == http.StatusOK && got.body != wantBody {
						t.Errorf("got status %d, body %.80q, error %v; want status %d, body %q", got.status, got.body, got.err, want, wantBody)
					}
				})
			})
		}
	}
}

// Guards against a broken stream that looks complete to a caller with HTTP/1.0,
// where a response without a length ends with its connection.
func TestStreamBreaksInOldVersion(t *testing.T) {
	tests := []struct {
		name     string
		script   script
		complete bool
	}{
		{"whole", answerOK, true},
		{"broken off", breakAfter(2, "", closeConnection), false},
		{"broken off inside an event", breakAfter(2, "id: 3", closeConnection), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 1, func(b *testbed) {
				b.targets[0].set(test.script)
				c, err := b.network.Host("10.0.9.9").Dial(b.t.Context(), callers)
				if err != nil {
					b.t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				if _, err := io.WriteString(c, "POST /once/x HTTP/1.0\r\nHost: service.example\r\nId: id-1\r\nKey: key\r\nRemaining: 10s\r\n\r\n"); err != nil {
					b.t.Fatal(err)
				}
				got, err := io.ReadAll(c)
				head, body, _ := strings.Cut(string(got), "\r\n\r\n")
				if !strings.HasPrefix(head, "HTTP/1.0 200") || !strings.HasPrefix(allEvents(), body) || (err == nil) != test.complete {
					b.t.Errorf("got %q, error %v, want a part of the stream, complete %v", got, err, test.complete)
				}
			})
		})
	}
}

// Guards against a connection on which no answer can be written any more once the
// deadline of an earlier stream on it has passed.
func TestRequestsAfterStreamOnConnection(t *testing.T) {
	for _, path := range []string{"/safe/x", "/order/x", "/stream/x", "/unknown"} {
		t.Run(path, func(t *testing.T) {
			withTestbed(t, 1, func(b *testbed) {
				transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
					return b.network.Host("10.0.9.9").Dial(ctx, callers)
				}}
				defer transport.CloseIdleConnections()
				if got := b.callOver(transport, "id-1", "/stream/x"); got.err != nil || got.body != allEvents() {
					t.Fatalf("%s; want the whole stream", b.describeReply(got))
				}
				time.Sleep(12 * time.Second) // the deadline is 10 s after the request, the idle limit 15 s
				if got := b.callOver(transport, "id-2", path); got.err != nil {
					t.Errorf("%s; want an answer on the same connection", b.describeReply(got))
				}
			})
		})
	}
}
