package rtgateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
)

// Bound of the platform on a target that names a rate limit: from limitSettled
// after it first did, it gets in any limitWindow at most limitFactor times what the
// limit allows and limitExtra requests.
const (
	limitSettled = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitExtra   = 5
)

// withLimit returns a script that names a rate limit in the answer of another one.
func withLimit(rate string, s script) script { return withHeader("Limit", rate, s) }

// withHeader returns a script that adds a header to the answer of another one.
func withHeader(name, value string, s script) script {
	return func(c net.Conn, r *run) { s(&headerConn{Conn: c, line: name + ": " + value + "\r\n"}, r) }
}

// headerConn adds a header line to the response that is written.
type headerConn struct {
	net.Conn
	line  string
	begun bool
}

func (c *headerConn) Write(data []byte) (int, error) {
	text := string(data)
	if !c.begun {
		c.begun = true
		text = strings.Replace(text, "\r\n", "\r\n"+c.line, 1)
	}
	if _, err := c.Conn.Write([]byte(text)); err != nil {
		return 0, err
	}
	return len(data), nil
}

// load sends requests to a path at an interval for a time, without waiting for the
// answers, and returns the replies when all have ended.
func (b *testbed) load(path string, interval, duration time.Duration) []reply {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	started := time.Now()
	for i := 0; time.Since(started) < duration; i++ {
		wg.Go(func() {
			got := b.call(http.MethodPost, path, headers(fmt.Sprintf("load-%s-%d-%d", path, started.UnixNano(), i)), "")
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, got)
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return replies
}

// worstWindow returns the most requests that a target got within limitWindow, of
// those that arrived at from or later.
func (b *testbed) worstWindow(t *target, from time.Time) int {
	var times []time.Time
	for _, r := range b.allRuns() {
		if r.target == t && !r.at.Before(from) {
			times = append(times, r.at)
		}
	}
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a target that gets more requests than the rate limit that it
// names, whatever kind of answer names it.
func TestRateLimitExceeded(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		answer script
	}{
		{"whole answer", "/safe/x", answerOK},
		{"order", "/order/x", answerOK},
		{"stream", "/stream/x", answerOK},
		{"failure", "/safe/x", writeText(func(r *run) string { return r.responseHead(500, "Content-Length: 3\r\n") + "bad" })},
		{"refusal", "/stream/x", refuseNotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 3, func(b *testbed) {
				const rate = 1.0
				b.targets[0].set(withLimit(fmt.Sprint(rate), test.answer))
				from := time.Now().Add(limitSettled)
				b.load(test.path, 50*time.Millisecond, 15*time.Second)
				if got, want := b.worstWindow(b.targets[0], from), limitFactor*rate*limitWindow.Seconds()+limitExtra; float64(got) > want {
					t.Errorf("%d requests in %v at a limit of %v a second, want at most %v", got, limitWindow, rate, want)
				}
				synctest.Wait()
			})
		})
	}
}

// Guards against requests that queue for targets that limit their rate, and against
// refusals without a time to return: a request that gets no place in time is refused
// at once, as not run.
func TestRateLimitRefusesAtOnce(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		for _, target := range b.targets {
			target.set(withLimit("1", answerOK))
		}
		b.load("/safe/x", 100*time.Millisecond, time.Second)
		time.Sleep(limitWindow)
		var served, refused int
		for _, got := range b.load("/safe/x", 50*time.Millisecond, 10*time.Second) {
			switch {
			case got.status == http.StatusOK:
				served++
			case got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "":
				refused++
			default:
				t.Errorf("status %d, headers %v, error %v; want 200, or 503 with Retry-After", got.status, got.header, got.err)
			}
			if got.took > 200*time.Millisecond {
				t.Errorf("status %d after %v, want an answer at once", got.status, got.took)
			}
		}
		if served < 10 || refused == 0 {
			t.Errorf("%d served and %d refused in 10 s at limits of 2 a second together, want 10 served or more", served, refused)
		}
	})
}

// Guards against a limit that goes on after the target has stopped naming it, and
// against one that other gateways do not follow because the target has told only
// one of them.
func TestRateLimitBeginsAndEnds(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		limited := b.targets[0]
		b.gateway.MergeRateLimits([]rtlimit.Statement{{
			Target: rtid.TargetIncarnation{ID: limited.id}, Rate: 0.5, Sent: time.Now(), Heard: time.Now(),
		}})
		limited.set(withLimit("0.5", answerOK))
		from := time.Now()
		b.load("/safe/x", 20*time.Millisecond, 8*time.Second)
		if got := b.worstWindow(limited, from); got > 8 {
			t.Errorf("%d requests in %v at the limit of 0.5 a second that a peer reported, want at most 8", got, limitWindow)
		}
		if got := b.gateway.LimitedTargets(); len(got) != 1 || got[0].Rate != 0.5 {
			t.Errorf("limited targets %+v, want one with 0.5 a second", got)
		}
		limited.set(answerOK)
		b.load("/safe/x", 20*time.Millisecond, 8*time.Second)
		from = time.Now()
		b.load("/safe/x", 20*time.Millisecond, 4*time.Second)
		if got := b.worstWindow(limited, from); got < 50 {
			t.Errorf("%d requests in %v without a limit, want 50 or more", got, limitWindow)
		}
		if got := b.logged("Rate limit of a target changed."); len(got) != 2 {
			t.Errorf("%d log lines for a limit that was named and lifted, want 2: %q", len(got), got)
		}
	})
}

// Guards against a malformed limit that changes the one in force, or that fills the
// log.
func TestMalformedRateLimit(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		b.targets[0].set(withLimit("5", answerOK))
		b.call(http.MethodPost, "/safe/x", headers("id-1"), "")
		b.targets[0].set(withLimit("many", answerOK))
		b.load("/safe/x", 200*time.Millisecond, 10*time.Second)
		if got := b.gateway.LimitedTargets(); len(got) != 1 || got[0].Rate != 5 {
			t.Errorf("limited targets %+v, want one with 5 a second", got)
		}
		if got := b.logged("is malformed"); len(got) != 1 {
			t.Errorf("%d log lines in 10 s, want 1", len(got))
		}
	})
}
