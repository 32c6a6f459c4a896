package rtgateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
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
