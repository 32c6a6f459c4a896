package rtgateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against a resumable stream that ends with its connection before its last
// event and looks complete: another target must be asked for the rest.
func TestUnframedStreamEndsEarly(t *testing.T) {
	continued := []struct {
		name     string
		attempts int
		script   script
		whole    bool
	}{
		{"in chunks", 2, answerOK, true},
		{"with its connection and confirmed", 3, unframed(events, closeInOrder), true},
		// The first end has proven wrong, and nobody can confirm the second one.
		{"with its connection at the last attempt", 2, unframed(events, closeInOrder), false},
	}
	for wholeEvents := range events {
		for _, second := range continued {
			t.Run(fmt.Sprint(wholeEvents, " events, continued ", second.name), func(t *testing.T) {
				withTestbed(t, 3, func(b *testbed) {
					b.publishAttempts(second.attempts)
					b.inOrder(unframed(wholeEvents, closeInOrder), second.script, answerOK)
					got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
					if (got.err == nil) != second.whole || got.status != http.StatusOK || got.body != allEvents() {
						t.Errorf("%s; want all events, and the end of the response %v", b.describeReply(got), second.whole)
					}
				})
			})
		}
	}
}

// Guards against a continuation that ends with its connection before its first event
// and is taken for the end of a stream that was broken off.
func TestUnframedEmptyContinuation(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		b.inOrder(breakAfter(2, "", closeConnection), unframed(0, closeInOrder))
		got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
		if got.err == nil || !strings.HasPrefix(allEvents(), got.body) {
			t.Errorf("%s; want a response that is broken off", b.describeReply(got))
		}
	})
}

// Guards against a stream that looks complete although one target was lost and the last
// one ended its answer early, with its connection.
func TestUnframedEndAfterLoss(t *testing.T) {
	losses := []struct {
		name   string
		script script
	}{
		{"broken off", breakAfter(1, "", closeConnection)},
		{"killed", unframed(1, endProcess)},
		{"closed in its head", writeText(func(*run) string { return "HTTP/1.1 200 OK\r\nId: i" })},
		{"out of order", writeText(func(r *run) string { return r.responseHead(200, chunked) + chunk(event(2)+event(1)) })},
	}
	for _, loss := range losses {
		for attempts := 2; attempts <= 3; attempts++ {
			t.Run(fmt.Sprint(loss.name, ", ", attempts, " attempts"), func(t *testing.T) {
				withTestbed(t, 4, func(b *testbed) {
					b.publishAttempts(attempts)
					b.inOrder(loss.script, unframed(1, closeInOrder), answerOK)
					got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
					if _, ordered := lastInOrder(got.body); !ordered || (got.err == nil) != (attempts == 3) {
						t.Errorf("%s; want the stream whole after 3 attempts, and broken off after 2", b.describeReply(got))
					}
				})
			})
		}
	}
}

// unconfirmed are behaviours of the target that is asked whether a stream goes on, all
// of which leave it open.
var unconfirmed = []struct {
	name   string
	script script
	answer bool // it says that the stream has ended
}{
	{"empty stream", answerOK, true},
	{"empty stream without a length", unframed(events, closeInOrder), true},
	{"refuses", refuseNotRun, false},
	{"silent", neverAnswer, false},
	{"comments only", repeatText(func(r *run) string { return r.responseHead(200, chunked) }, chunk(":\n\n"), pause), false},
}

// contradicting are behaviours of that target which are faults themselves, so that the
// end may have been one, too.
var contradicting = []struct {
	name   string
	script script
}{
	{"is killed", endProcess},
	{"closes", closeInOrder},
	{"closes in its head", writeText(func(*run) string { return "HTTP/1.1 200 OK\r\nId: i" })},
	{"breaks off", breakAfter(0, "", closeConnection)},
	{"silent inside an event", breakAfter(0, "id: ", func(c net.Conn) { neverAnswer(c, nil) })},
	{"fails", answerWith(500, "", failureText)},
	{"does not know the stream", answerWith(404, "", failureText)},
	{"no content", writeText(func(r *run) string { return r.responseHead(204, "") })},
	{"another type", answerWith(200, "Content-Type: application/json\r\n", "{}")},
	{"starts again", func(c net.Conn, r *run) {
		r.request.Header.Del("After")
		answerOK(c, r)
	}},
}

// Guards against a stream that ends early with its connection and looks complete because
// the connection to the target that is asked for more breaks, too.
func TestUnframedEndBesideLosses(t *testing.T) {
	for _, second := range contradicting {
		for wholeEvents := 1; wholeEvents <= events; wholeEvents++ {
			for attempts := 2; attempts <= 3; attempts++ {
				t.Run(fmt.Sprint(second.name, " after ", wholeEvents, " events, ", attempts, " attempts"), func(t *testing.T) {
					withTestbed(t, 3, func(b *testbed) {
						b.publishAttempts(attempts)
						b.inOrder(unframed(wholeEvents, closeInOrder), second.script, answerOK)
						got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
						if !strings.HasPrefix(allEvents(), got.body) || (got.err == nil) != (attempts == 3) || got.err == nil && got.body != allEvents() {
							t.Errorf("%s; want the stream whole after 3 attempts, and broken off after 2", b.describeReply(got))
						}
					})
				})
			}
		}
	}
}

// Guards against a whole stream that ends with its connection and is broken off, held
// back or given twice because the target that is asked for more has none or cannot
// answer.
func TestWholeUnframedStream(t *testing.T) {
	for _, second := range unconfirmed {
		for _, after := range []int{0, 2, events} {
			want := http.StatusOK
			if after == events && !second.answer {
				want = http.StatusBadGateway // neither target has shown anything of the stream
			}
			t.Run(fmt.Sprint(second.name, ", caller has ", after), func(t *testing.T) {
				withTestbed(t, 2, func(b *testbed) {
					b.inOrder(unframed(events, closeInOrder), second.script)
					request := headers("id-1")
					if after > 0 {
						request["After"] = fmt.Sprint(after)
					}
					checkWhole(b, b.call(http.MethodPost, "/stream/x", request, ""), want, after)
				})
			})
		}
	}
}

// checkWhole checks a reply to a request for the events after one that its caller has.
func checkWhole(b *testbed, got reply, status, after int) {
	if got.err != nil || got.status != status || status == http.StatusOK && got.body != eventsAfter(after) {
		b.t.Errorf("%s; want status %d, and the whole stream after event %d", b.describeReply(got), status, after)
	}
	if got.took > 2*time.Second {
		b.t.Errorf("ended after %v, want it before the caller abandons it 2s after the last event", got.took)
	}
	if runs := len(b.allRuns()); runs > 2 {
		b.t.Errorf("sent %d times, want at most 2", runs)
	}
}

// Guards against a whole stream that ends with its connection and is broken off, held
// back or sent again too often where nobody can be asked for more.
func TestWholeUnframedStreamAlone(t *testing.T) {
	situations := []struct {
		name    string
		targets int
		prepare func(b *testbed)
	}{
		{"no other target", 1, func(*testbed) {}},
		{"no retries", 2, func(b *testbed) { b.gateway.SetBounds(Bounds{RetryWindow: 10 * time.Second, Grace: grace}) }},
		{"one attempt", 2, func(b *testbed) { b.publishAttempts(1) }},
	}
	for _, situation := range situations {
		for _, path := range []string{"/stream/x", "/once/x"} {
			t.Run(situation.name+path, func(t *testing.T) {
				withTestbed(t, situation.targets, func(b *testbed) {
					situation.prepare(b)
					for _, target := range b.targets {
						target.set(unframed(events, closeInOrder))
					}
					got := b.call(http.MethodPost, path, headers("id-1"), "")
					if got.err != nil || got.body != allEvents() || got.took > time.Second || len(b.allRuns()) != 1 {
						t.Errorf("%s after %v; want the whole stream at once from one attempt", b.describeReply(got), got.took)
					}
				})
			})
		}
	}
}

// Guards against a service whose streams all end with their connections and that gets
// so many requests for more that lost streams cannot be continued.
func TestUnframedStreamsLeaveRetries(t *testing.T) {
	withTestbed(t, 3, func(b *testbed) {
		for _, target := range b.targets {
			target.set(unframed(events, closeInOrder))
		}
		for i := range 200 {
			b.call(http.MethodPost, "/stream/x", headers(fmt.Sprint("whole-", i)), "")
		}
		asked := len(b.allRuns()) - 200
		if asked == 0 {
			t.Error("no stream was confirmed")
		}
		first := rtid.Request("lost")
		for _, target := range b.targets {
			target.set(func(c net.Conn, r *run) {
				if rtid.Request(r.request.Header.Get("Id")) == first {
					first = ""
					breakAfter(2, "", closeConnection)(c, r)
					return
				}
				answerOK(c, r)
			})
		}
		got := b.call(http.MethodPost, "/stream/x", headers("lost"), "")
		if got.err != nil || got.body != allEvents() {
			t.Errorf("after %d requests for more: %s; want the whole stream", asked, b.describeReply(got))
		}
	})
}

// Guards against an end that is not confirmed because the first target that was to be
// asked cannot be reached.
func TestUnframedEndBesideUnreachableTargets(t *testing.T) {
	withTestbed(t, 4, func(b *testbed) {
		for _, target := range b.targets {
			target.set(func(c net.Conn, r *run) {
				if len(b.allRuns()) > 1 {
					answerOK(c, r)
					return
				}
				unreachable := 0
				for _, other := range b.targets {
					if other != r.target && unreachable < 2 {
						unreachable++
						b.network.Kill(string(other.address))
					}
				}
				unframed(2, closeInOrder)(c, r)
			})
		}
		got := b.call(http.MethodPost, "/stream/x", headers("id-1"), "")
		if got.err != nil || got.body != allEvents() {
			t.Errorf("%s; want the whole stream", b.describeReply(got))
		}
	})
}

// Guards against a target that ends its streams after one event and whose later streams
// look complete while nobody can be asked for their rest, although a confirmation has
// shown what it does.
func TestTruncatingTarget(t *testing.T) {
	situations := []struct {
		name string
		path string
		end  func(b *testbed) // ends the possibility of confirmations
	}{
		{"no other target", "/stream/x", func(b *testbed) { b.network.Kill(string(b.targets[1].address)) }},
		{"no retries", "/stream/x", func(b *testbed) {
			b.gateway.SetBounds(Bounds{RetryWindow: 10 * time.Second, Grace: grace})
			b.gateway.mu.Lock()
			defer b.gateway.mu.Unlock()
			clear(b.gateway.retries) // the share of earlier requests
		}},
		{"one attempt", "/stream/x", func(b *testbed) { b.publishAttempts(1) }},
		{"silent confirmation", "/stream/x", func(b *testbed) { b.targets[1].set(neverAnswer) }},
		{"stream that may not be resumed", "/once/x", func(*testbed) {}},
	}
	for _, situation := range situations {
		for _, shown := range []bool{true, false} {
			t.Run(fmt.Sprint(situation.name, ", shown ", shown), func(t *testing.T) {
				withTestbed(t, 2, func(b *testbed) {
					truncating, wholeEvents := b.targets[0], events
					truncating.set(func(c net.Conn, r *run) { unframed(wholeEvents, closeInOrder)(c, r) })
					if shown {
						wholeEvents = 1
						b.callUntilSentTo(truncating, "/stream/x")
					}
					situation.end(b)
					got := b.callUntilSentTo(truncating, situation.path)
					if (got.err == nil) == shown || !shown && got.body != allEvents() {
						t.Errorf("%s; want it broken off if the target is known to truncate streams, else whole", b.describeReply(got))
					}
					time.Sleep(time.Minute)
					wholeEvents = events
					if got := b.callUntilSentTo(truncating, situation.path); got.err != nil || got.body != allEvents() {
						t.Errorf("a minute later: %s; want the whole stream", b.describeReply(got))
					}
				})
			})
		}
	}
}

// callUntilSentTo sends requests until one goes to a target first, and returns the reply to
// that one.
func (b *testbed) callUntilSentTo(target *target, path string) reply {
	for i := range 100 {
		before := len(b.allRuns())
		got := b.call(http.MethodPost, path, headers(fmt.Sprint("id-", before, "-", i)), "")
		if runs := b.allRuns(); len(runs) > before && runs[before].target == target {
			return got
		}
	}
	b.t.Fatal("no request was sent to the target")
	return reply{}
}
