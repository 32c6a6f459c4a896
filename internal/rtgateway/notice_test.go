package rtgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Bounds of the platform: a request that a caller sends later than drainBound after
// an answer has said that its target is leaving does not reach that target; and from
// backoffNotice after a refusal that asks for a pause to the end of the pause, the
// target gets at most backoffArrivals requests.
const (
	drainBound      = 2 * time.Second
	backoffNotice   = 500 * time.Millisecond
	backoffArrivals = 2
)

// leaving returns a script that says in the answer of another one that the target is
// leaving.
func leaving(s script) script { return withHeader("Leaving", "1", s) }

// arrivalsSince returns the requests that have reached a target since a time, by the
// time at which their callers sent them.
func (b *testbed) arrivalsSince(t *target, since time.Time) []*run {
	return slices.DeleteFunc(b.allRuns(), func(r *run) bool { return r.target != t || r.at.Before(since) })
}

// commandsAt returns how many memory commands a target has received.
func commandsAt(t *target) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.commands)
}

// Guards against requests to a target that has said in an answer that it is leaving,
// while it is still published as usable.
func TestLeavingTargetGetsNothing(t *testing.T) {
	misdirected := func(instance string) script {
		return writeText(func(*run) string {
			return "HTTP/1.1 421 x\r\nAnswered-By: " + instance + "\r\nContent-Length: 0\r\n\r\n"
		})
	}
	tests := []struct {
		name   string
		path   string
		answer script
	}{
		{"whole answer", "/safe/x", answerOK},
		{"order", "/order/x", answerOK},
		{"stream", "/stream/x", answerOK},
		{"stream that breaks", "/stream/x", writeText(func(r *run) string { return r.responseHead(200, chunked) + chunk(event(1)) })},
		{"failure", "/safe/x", writeText(func(r *run) string { return r.responseHead(500, "Content-Length: 3\r\n") + "bad" })},
		{"refusal", "/stream/x", refuseNotRun},
		{"another version", "/safe/x", misdirected("t0")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 3, func(b *testbed) {
				b.targets[0].set(leaving(test.answer))
				from := time.Now()
				b.load(test.path, 50*time.Millisecond, drainBound)
				if len(b.arrivalsSince(b.targets[0], from)) == 0 {
					t.Error("no request has reached the target that leaves")
				}
				from = time.Now()
				replies := b.load(test.path, 20*time.Millisecond, 40*time.Second)
				if got := b.arrivalsSince(b.targets[0], from); len(got) > 0 {
					t.Errorf("%d of %d requests reached a target later than %v after it had said that it leaves", len(got), len(replies), drainBound)
				}
			})
		})
	}
}

// Guards against a target that is avoided because another one, which has its address
// or whose answer it passes on, is leaving, and against one that is avoided after it
// has started again.
func TestOtherLeavingTarget(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		b.targets[0].set(writeText(func(*run) string {
			return "HTTP/1.1 421 x\r\nAnswered-By: t9\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"
		}))
		b.load("/safe/x", 50*time.Millisecond, time.Second)
		if got := b.gateway.Leaves(); len(got) > 0 {
			t.Errorf("leaving targets %+v, want none: the answer was that of t9", got)
		}
		b.targets[1].set(leaving(answerOK))
		b.load("/safe/x", 50*time.Millisecond, time.Second)
		b.targets[0].set(answerOK)
		b.targets[1].set(answerOK)
		b.targets[1].born = 2
		b.publish(newConfiguration(2))
		from := time.Now()
		b.load("/safe/x", 50*time.Millisecond, time.Second)
		if got := b.arrivalsSince(b.targets[1], from); len(got) == 0 {
			t.Error("no request has reached the next start of a target that was leaving")
		}
	})
}

// Guards against a target that gets requests as the last resort although it has said
// that it is leaving.
func TestOnlyLeavingTargets(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		for _, target := range b.targets {
			target.set(leaving(answerOK))
		}
		b.load("/safe/x", 50*time.Millisecond, drainBound)
		from := time.Now()
		for _, got := range b.load("/safe/x", 100*time.Millisecond, 5*time.Second) {
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
				t.Errorf("got status %d, headers %v, want 503 with Retry-After", got.status, got.header)
				break
			}
		}
		for _, target := range b.targets {
			if got := b.arrivalsSince(target, from); len(got) > 0 {
				t.Errorf("%s got %d requests, want none", target.id, len(got))
			}
		}
	})
}

// helpsAt reports whether a request names a target as a helper.
func (r *run) helpsAt(t *target) bool {
	return strings.Contains(r.request.Header.Get("Helpers"), string(t.address))
}

// Guards against parts of prompts and memory commands that go to an engine which has
// said that it is leaving, in an answer or in the reply to a memory command, or which
// wants no requests.
func TestAnnouncingEnginesDoNotHelp(t *testing.T) {
	const reply, answer = "reply to a command", "answer"
	tests := []struct {
		name, notice, where string
	}{
		{"leaving", "Leaving: 1", reply},
		{"leaving", "Leaving: 1", answer},
		{"backoff", "Backoff: 1h", reply},
		{"backoff", "Backoff: 1h", answer},
	}
	for _, test := range tests {
		t.Run(test.name+" in "+test.where, func(t *testing.T) {
			withTestbed(t, 24, func(b *testbed) {
				useEngineService(b)
				b.sendLong("usual-", 5)
				noticing := slices.MaxFunc(b.targets, func(a, b *target) int { return commandsAt(a) - commandsAt(b) })
				if test.where == reply {
					noticing.setReply(http.StatusServiceUnavailable, test.notice+"\r\n")
					b.sendUntilCommanded(noticing)
				} else {
					line, value, _ := strings.Cut(test.notice, ": ")
					noticing.set(withHeader(line, value, refuseNotRun))
					b.sendUntilAnswered(noticing)
				}
				b.sendLong("before-", 30)
				from, commands := time.Now(), commandsAt(noticing)
				b.sendLong("after-", 30)
				if got := commandsAt(noticing) - commands; got > 0 {
					t.Errorf("%d memory commands, want none", got)
				}
				b.checkNotUsed(noticing, from)
			})
		})
	}
}

// setReply sets the status and the header of replies to memory commands from now on.
// Releases may be under way.
func (t *target) setReply(status int, header string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commandStatus, t.commandHeader = func(string) int { return status }, header
}

// sendLong sends prompts of three lengths, a number of each: long ones need helpers, and
// the longest ones memory.
func (b *testbed) sendLong(prefix string, count int) {
	for i := range count {
		for _, size := range []string{"5000", "100000", "330000"} {
			b.call(http.MethodPost, "/stream/x", headers(fmt.Sprint(prefix, size, "-", i), "Size", size), "")
		}
	}
}

// sendUntilAnswered sends prompts until a target has answered one. As long as it is only
// a helper of others, it does not answer.
func (b *testbed) sendUntilAnswered(t *target) {
	from := time.Now()
	for round := range 50 {
		if len(b.arrivalsSince(t, from)) > 0 {
			return
		}
		b.sendLong(fmt.Sprint("until-", round, "-"), 5)
	}
	b.t.Errorf("%s was never selected", t.id)
}

// sendUntilCommanded sends prompts until a target has got a memory command.
func (b *testbed) sendUntilCommanded(t *target) {
	before := commandsAt(t)
	for round := range 50 {
		if commandsAt(t) > before {
			return
		}
		b.sendLong(fmt.Sprint("until-", round, "-"), 5)
	}
	b.t.Errorf("%s has got no memory command", t.id)
}

// checkNotUsed checks that a target has got no requests since a time, and no parts of
// others.
func (b *testbed) checkNotUsed(unused *target, from time.Time) {
	for _, r := range b.allRuns() {
		if !r.at.Before(from) && (r.target == unused || r.helpsAt(unused)) {
			b.t.Errorf("%s was sent to %s with helpers %q", r.request.Header.Get("Id"), r.target.id, r.request.Header.Get("Helpers"))
		}
	}
}

// backingOff returns a script that refuses each request and asks for a pause. It
// records in ends when each pause ends.
func backingOff(b *testbed, wish func() time.Duration, ends *[]pauseWish) script {
	return func(c net.Conn, _ *run) {
		asked := wish()
		b.mu.Lock()
		*ends = append(*ends, pauseWish{at: time.Now(), length: asked})
		b.mu.Unlock()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 x\r\nNotrun: 1\r\nBackoff: %v\r\nContent-Length: 0\r\n\r\n", asked)
	}
}

// pauseWish is a pause that a target has asked for.
type pauseWish struct {
	at     time.Time
	length time.Duration
}

// worstPause returns the most requests that reached a target within a pause, from
// backoffNotice after the refusal.
func (b *testbed) worstPause(t *target, wishes []pauseWish) int {
	most := 0
	for _, wish := range wishes {
		count := 0
		for _, r := range b.arrivalsSince(t, wish.at.Add(backoffNotice)) {
			if r.at.Before(wish.at.Add(wish.length)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against requests to a target that has asked for a pause, also while all
// targets have, and against a target that is not used again after it.
func TestBackoff(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		asking int // targets of three that ask for pauses
	}{
		{"one target", "/safe/x", 1},
		{"one target, streams", "/stream/x", 1},
		{"one target, orders", "/order/x", 1},
		{"all targets", "/safe/x", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 3, func(b *testbed) {
				lengths := []time.Duration{3 * time.Second, 300 * time.Millisecond, 7 * time.Second, time.Second}
				wishes := make([][]pauseWish, test.asking)
				asked := 0
				for i := range test.asking {
					b.targets[i].set(backingOff(b, func() time.Duration { asked++; return lengths[asked%len(lengths)] }, &wishes[i]))
				}
				b.load(test.path, 10*time.Millisecond, 30*time.Second)
				for i := range test.asking {
					if got := b.worstPause(b.targets[i], wishes[i]); got > backoffArrivals {
						t.Errorf("target %d got %d requests in a pause that it had asked for, want at most %d", i, got, backoffArrivals)
					}
					if len(wishes[i]) < 3 {
						t.Errorf("target %d got %d requests in 30 s, want some after each pause", i, len(wishes[i]))
					}
				}
			})
		})
	}
}

// Guards against callers that wait for targets which have all asked for a pause, that
// are told to come back before its end, or that all come back at the same moment.
func TestBackoffOfAllTargets(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		const length = 2 * time.Second
		var wishes []pauseWish
		for _, target := range b.targets {
			target.set(backingOff(b, func() time.Duration { return length }, &wishes))
		}
		b.call(http.MethodPost, "/safe/x", headers("first"), "")
		from := time.Now()
		returns := make(map[string]bool)
		for i := range 20 {
			got := b.call(http.MethodPost, "/safe/x", headers(fmt.Sprint("id-", i)), "")
			delay, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
			if got.status != http.StatusServiceUnavailable || err != nil {
				t.Errorf("got status %d, Retry-After %q, want 503 with a delay", got.status, got.header.Get("Retry-After"))
				break
			}
			returns[got.header.Get("Retry-After")] = true
			if back := time.Now().Add(delay); back.Before(from.Add(length)) {
				t.Errorf("told to come back %v before the end of the pauses", from.Add(length).Sub(back))
			}
			if got.took > 50*time.Millisecond {
				t.Errorf("refused after %v, want it at once", got.took)
			}
		}
		if len(returns) < 15 {
			t.Errorf("%d different times to come back for 20 callers, want at least 15", len(returns))
		}
		if got := len(wishes); got != 2 {
			t.Errorf("%d requests reached the targets, want the first one's two", got)
		}
	})
}

// Guards against log lines without end about malformed announcements, and against
// one that changes what is known.
func TestMalformedBackoff(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		b.targets[0].set(withHeader("Backoff", "soon", refuseNotRun))
		b.load("/safe/x", 200*time.Millisecond, 10*time.Second)
		if got := b.logged("Announcement of a target is malformed."); len(got) != 1 {
			t.Errorf("%d log lines in 10 s, want 1", len(got))
		}
		if got := b.gateway.Backoffs(); len(got) > 0 {
			t.Errorf("pauses %+v, want none", got)
		}
		b.targets[0].set(func(c net.Conn, r *run) { _, _ = io.WriteString(c, r.responseHead(200, "Content-Length: 2\r\n")+"ok") })
		if got := b.call(http.MethodPost, "/safe/x", headers("after"), ""); got.status != http.StatusOK {
			t.Errorf("got status %d, want 200", got.status)
		}
	})
}

// Guards against a leave that a peer reports and that is not followed, or that is
// followed for another start of the target or for a target that is not published.
func TestLeavesOfPeers(t *testing.T) {
	withTestbed(t, 3, func(b *testbed) {
		b.targets[1].born = 5
		b.publish(newConfiguration(2))
		b.gateway.MergeLeaves([]rtid.TargetIncarnation{{ID: "t0"}, {ID: "t1", Born: 4}, {ID: "gone"}})
		from := time.Now()
		b.load("/safe/x", 50*time.Millisecond, 5*time.Second)
		if got := len(b.arrivalsSince(b.targets[0], from)); got > 0 {
			t.Errorf("%d requests reached a target that leaves", got)
		}
		if got := len(b.arrivalsSince(b.targets[1], from)); got == 0 {
			t.Error("no request reached a target whose earlier start has left")
		}
		if got := b.gateway.Leaves(); len(got) != 1 || got[0].Target.ID != "t0" {
			t.Errorf("leaving targets %+v, want only t0", got)
		}
	})
}
