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
func withLimit(rate string, s script) script {
	return func(c net.Conn, r *run) { s(&limitConn{Conn: c, rate: rate}, r) }
}

// limitConn adds the header of a rate limit to the response that is written.
type limitConn struct {
	net.Conn
	rate  string
	begun bool
}

func (c *limitConn) Write(data []byte) (int, error) {
	text := string(data)
	if !c.begun {
		c.begun = true
		text = strings.Replace(text, "\r\n", "\r\nLimit: "+c.rate+"\r\n", 1)
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
