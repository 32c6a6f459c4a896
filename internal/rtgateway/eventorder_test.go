package rtgateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against events that come twice for a caller that continues its stream at
// another gateway, because a target begins the stream again.
func TestTargetBeginsAgainForCaller(t *testing.T) {
	again := func(c net.Conn, r *run) {
		r.request.Header.Del("After")
		answerOK(c, r)
	}
	for after := 1; after <= events; after++ {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				b.inOrder(again, answerOK)
				got := b.call(http.MethodPost, "/stream/x", headers("id-1", "After", fmt.Sprint(after)), "")
				if got.err != nil || got.status != http.StatusOK || got.body != eventsAfter(after) {
					t.Errorf("%s; want the events after %d", b.describeReply(got), after)
				}
			})
		})
	}
}

// lastInOrder returns the number of the last event of a body, and whether the numbers
// increase.
func lastInOrder(body string) (last int, ordered bool) {
	ordered = true
	for line := range strings.Lines(body) {
		number := 0
		if _, err := fmt.Sscanf(line, "id: %d", &number); err != nil {
			continue
		}
		ordered = ordered && number > last
		last = number
	}
	return last, ordered
}

// Guards against events that go back or come twice within the answer of one target.
func TestEventsOfOneTargetOutOfOrder(t *testing.T) {
	orders := []struct {
		name    string
		numbers []int
	}{
		{"twice", []int{1, 2, 2, 3, 4, 5}}, {"back", []int{1, 2, 3, 1, 2, 3, 4, 5}}, {"swapped", []int{1, 3, 2, 4, 5}},
	}
	for _, order := range orders {
		for _, path := range []string{"/stream/x", "/once/x"} {
			t.Run(order.name+path, func(t *testing.T) {
				withTestbed(t, 2, func(b *testbed) {
					disordered := writeText(func(r *run) string {
						text := r.responseHead(200, chunked)
						for _, i := range order.numbers {
							text += chunk(event(i))
						}
						return text + lastChunk
					})
					b.inOrder(disordered, answerOK)
					got := b.call(http.MethodPost, path, headers("id-1"), "")
					last, ordered := lastInOrder(got.body)
					if !ordered {
						t.Errorf("%s; want no event twice, and none after a later one", b.describeReply(got))
					}
					if complete := got.err == nil; complete != (path == "/stream/x") || complete && last != events {
						t.Errorf("%s; want it whole if it may be continued, and broken off otherwise", b.describeReply(got))
					}
				})
			})
		}
	}
}

// Guards against events that are held back while another target continues, because more
// bytes of the failed attempt had been received behind them.
func TestEventsBeforeFailureAreSent(t *testing.T) {
	behind := []struct{ name, text string }{{"disordered event", event(1)}, {"no event", "HTTP/1.1 200 OK\r\n\r\n"}}
	for _, test := range behind {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				const wait = 500 * time.Millisecond
				b.inOrder(writeText(func(r *run) string {
					return r.responseHead(200, chunked) + chunk(event(1)+event(2)+test.text) + lastChunk
				}), pauseAfter(2, wait))
				client := &http.Client{Transport: &http.Transport{
					DisableKeepAlives: true,
					DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
						return b.network.Host("10.0.9.9").Dial(ctx, callers)
					},
				}}
				request, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, "http://service.example/stream/x", http.NoBody)
				if err != nil {
					t.Fatal(err)
				}
				for name, value := range headers("id-1") {
					request.Header.Set(name, value)
				}
				sent := time.Now()
				response, err := client.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = response.Body.Close() }()
				first := make([]byte, len(event(1)+event(2)))
				if _, err := io.ReadFull(response.Body, first); err != nil || time.Since(sent) >= wait {
					t.Errorf("got the first events %q after %v, error %v; want them before the other target answers", first, time.Since(sent), err)
				}
				rest, err := io.ReadAll(response.Body)
				if err != nil || string(first)+string(rest) != allEvents() {
					t.Errorf("got %q and %q, error %v; want the whole stream", first, rest, err)
				}
			})
		})
	}
}

// Guards against events that come twice because a stream whose events have no IDs is
// continued: the next target can only begin it again.
func TestStreamWithoutIDsIsNotContinued(t *testing.T) {
	plain := func(i int) string { return fmt.Sprintf("data: e%d\n\n", i) }
	streams := []struct {
		name   string
		events []string // before the loss
	}{
		{"no IDs", []string{plain(1), plain(2)}},
		{"no ID of the last event", []string{event(1), plain(2)}},
	}
	losses := []struct {
		name string
		end  func(net.Conn)
	}{{"closed", closeConnection}, {"silent", func(c net.Conn) { neverAnswer(c, nil) }}}
	for _, stream := range streams {
		for _, loss := range losses {
			t.Run(stream.name+", "+loss.name, func(t *testing.T) {
				withTestbed(t, 2, func(b *testbed) {
					want := strings.Join(stream.events, "")
					for _, target := range b.targets {
						target.set(func(c net.Conn, r *run) {
							_, _ = io.WriteString(c, r.responseHead(200, chunked)+chunk(want))
							loss.end(c)
						})
					}
					got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
					if got.err == nil || got.body != want || len(b.allRuns()) != 1 {
						t.Errorf("%s; want %q once, and the response broken off", b.describeReply(got), want)
					}
				})
			})
		}
	}
}

// Guards against a stream that is not continued because its target has sent something
// about the stream that has no ID and no data.
func TestStreamWithOtherFieldsIsContinued(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		const other = "retry: 3000\n\n"
		b.inOrder(writeText(func(r *run) string {
			return r.responseHead(200, chunked) + chunk(other+event(1)+other+event(2)+other)
		}), answerOK)
		got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
		if want := other + event(1) + other + event(2) + other + eventsAfter(2); got.err != nil || got.body != want {
			t.Errorf("%s; want %q", b.describeReply(got), want)
		}
	})
}
