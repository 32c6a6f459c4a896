package rtgateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeature"
)

// hedgeAfter is when the testbed's requests get an extra attempt once fast ones have been
// seen: half of their latency SLO.
const hedgeAfter = 150 * time.Millisecond

// useHedging turns extra attempts on and lets the gateway see requests that are fast.
func useHedging(b *testbed, ratio float64) {
	b.gateway.settings.Features = rtfeature.Settings{Hedging: rtfeature.Hedging{Ratio: ratio}}
	for i := range 40 {
		for _, path := range []string{"/stream/x", "/safe/x"} {
			if got := b.call(http.MethodPost, path, headers(fmt.Sprint("fast-", path, i)), "body"); got.status != http.StatusOK {
				b.t.Fatalf("%s: got status %d, error %v", path, got.status, got.err)
			}
		}
	}
}

// inTurn sets a script that follows first for the first run of a request and second for
// the others.
func (b *testbed) inTurn(first, second script) {
	for _, target := range b.targets {
		target.set(func(c net.Conn, r *run) {
			if len(b.runsOf(r.request.Header.Get("Id"))) == 1 {
				first(c, r)
				return
			}
			second(c, r)
		})
	}
}

// runsOf returns the runs of one request.
func (b *testbed) runsOf(id string) []*run {
	var runs []*run
	for _, r := range b.allRuns() {
		if r.request.Header.Get("Id") == id {
			runs = append(runs, r)
		}
	}
	return runs
}

// after returns a script that follows another one after a time.
func after(delay time.Duration, s script) script {
	return func(c net.Conn, r *run) {
		time.Sleep(delay)
		s(c, r)
	}
}

// breakAfterEvent sends one event and breaks the connection.
func breakAfterEvent(c net.Conn, r *run) {
	_, _ = io.WriteString(c, r.responseHead(200, chunked)+chunk(event(1)))
	time.Sleep(20 * time.Millisecond)
	r.target.reset()
}

// hedgingTest is a slow request, after many fast ones.
type hedgingTest struct {
	name          string
	ratio         float64
	path          string
	first, second script
	status        int // 0 for a response that is broken off
	body          string
	runs          int
	most          time.Duration // that the caller waits
}

func hedgingTests() []hedgingTest {
	fail := writeText(func(r *run) string { return r.responseHead(500, "Content-Length: 4\r\n") + "fail" })
	return []hedgingTest{
		{"extra attempt wins", 0.2, "/stream/x", neverAnswer, answerOK, 200, allEvents(), 2, 500 * time.Millisecond},
		{"first attempt wins", 0.2, "/stream/x", after(250*time.Millisecond, answerOK), neverAnswer, 200, allEvents(), 2, 600 * time.Millisecond},
		{"both answer", 0.2, "/stream/x", after(110*time.Millisecond, answerOK), answerOK, 200, allEvents(), 2, 600 * time.Millisecond},
		{"extra attempt is refused", 0.2, "/stream/x", after(250*time.Millisecond, answerOK), refuseNotRun, 200, allEvents(), 2, 600 * time.Millisecond},
		{"first attempt is refused late", 0.2, "/stream/x", after(200*time.Millisecond, refuseNotRun), after(100*time.Millisecond, answerOK), 200, allEvents(), 2, 600 * time.Millisecond},
		{"both fail", 0.2, "/stream/x", after(250*time.Millisecond, fail), fail, 500, "fail", 2, time.Second},
		{"winner breaks after an event", 0.2, "/stream/x", neverAnswer, breakAfterEvent, 0, "", 2, time.Second},
		{"safe request", 0.2, "/safe/x", neverAnswer, answerOK, 200, "ok", 2, 300 * time.Millisecond},
		{"fast answer", 0.2, "/stream/x", answerOK, answerOK, 200, allEvents(), 1, 300 * time.Millisecond},
		{"order", 0.2, "/order/x", after(time.Second, answerOK), answerOK, 200, "ok", 1, 1100 * time.Millisecond},
		{"stream that may not be resumed", 0.2, "/once/x", after(time.Second, answerOK), answerOK, 200, allEvents(), 1, 1400 * time.Millisecond},
		{"off", 0, "/stream/x", after(time.Second, answerOK), answerOK, 200, allEvents(), 1, 1400 * time.Millisecond},
	}
}

// Guards against callers who wait for one slow target, against two answers that are mixed
// or both passed on, against extra attempts at requests that may run only once or that are
// not allowed for, and against targets that go on working for nobody.
func TestHedging(t *testing.T) {
	for _, test := range hedgingTests() {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 3, test.play)
		})
	}
}

// play sends the request and checks what its caller and its targets see.
func (test hedgingTest) play(b *testbed) {
	useHedging(b, test.ratio)
	b.inTurn(test.first, test.second)
	got := b.call(http.MethodPost, test.path, headers("slow"), "body")
	broken := test.status == 0
	if broken && got.err == nil || !broken && (got.err != nil || got.status != test.status || got.body != test.body) {
		b.t.Errorf("got status %d, body %q, error %v; want status %d, body %q", got.status, got.body, got.err, test.status, test.body)
	}
	if got.took > test.most {
		b.t.Errorf("the caller waited for %v, want at most %v", got.took, test.most)
	}
	synctest.Wait()
	runs := b.runsOf("slow")
	if len(runs) != test.runs {
		b.t.Fatalf("got runs %s, want %d", describe(runs), test.runs)
	}
	time.Sleep(500 * time.Millisecond) // a target that sleeps in its script sees the end of its connection then
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range runs {
		if r.ended.IsZero() {
			b.t.Errorf("%s still works for a request that has ended", r.target.id)
		}
	}
	if len(runs) == 2 && (runs[0].target == runs[1].target || runs[1].at.Sub(runs[0].at) < hedgeAfter) {
		b.t.Errorf("extra attempt at %s after %v, first at %s", runs[1].target.id, runs[1].at.Sub(runs[0].at), runs[0].target.id)
	}
}

// Guards against two targets that go on working after the caller has left.
func TestCallerLeavesHedgedRequest(t *testing.T) {
	withTestbed(t, 3, func(b *testbed) {
		useHedging(b, 0.2)
		b.inTurn(neverAnswer, neverAnswer)
		ctx, cancel := context.WithTimeout(b.t.Context(), 2*hedgeAfter)
		defer cancel()
		if got := b.callCtx(ctx, http.MethodPost, "/stream/x", headers("slow"), "body"); got.err == nil {
			b.t.Errorf("got status %d, want none", got.status)
		}
		time.Sleep(100 * time.Millisecond)
		runs := b.runsOf("slow")
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(runs) != 2 || runs[0].ended.IsZero() || runs[1].ended.IsZero() {
			b.t.Errorf("got runs %s, want two that have ended", describe(runs))
		}
	})
}

// Guards against more extra attempts than the ratio while all targets are slow, and against
// loads that stay counted after a request has ended.
func TestHedgingBudget(t *testing.T) {
	withTestbed(t, 3, func(b *testbed) {
		const ratio, slow = 0.05, 100
		useHedging(b, ratio)
		before := len(b.allRuns())
		for _, target := range b.targets {
			target.set(after(250*time.Millisecond, answerOK))
		}
		for i := range slow {
			if got := b.call(http.MethodPost, "/safe/x", headers(fmt.Sprint("slow-", i)), "body"); got.status != http.StatusOK {
				b.t.Fatalf("got status %d, error %v", got.status, got.err)
			}
		}
		extra := len(b.allRuns()) - before - slow
		if most := ratio * (slow + 80); extra == 0 || float64(extra) > most {
			b.t.Errorf("got %d extra attempts, want 1 to %v", extra, most)
		}
		time.Sleep(time.Second)
		if loads := b.gateway.LocalLoads(); len(loads) != 0 {
			b.t.Errorf("loads %v are left", loads)
		}
	})
}

// Guards against a crash that is no evidence because another attempt of the request has
// answered.
func TestCrashUnderSlowerAttempt(t *testing.T) {
	withTestbed(t, 3, func(b *testbed) {
		useHedging(b, 0.2)
		crash := func(_ net.Conn, r *run) { r.target.reset() }
		b.inTurn(after(hedgeAfter+50*time.Millisecond, crash), after(100*time.Millisecond, answerOK))
		if got := b.call(http.MethodPost, "/safe/x", headers("slow"), "body"); got.status != http.StatusOK {
			b.t.Errorf("got status %d, error %v, want an answer", got.status, got.err)
		}
		time.Sleep(checkTimeout) // the caller does not wait for the check of the target
		if lines := b.logged("Target crashed."); len(lines) != 1 {
			b.t.Errorf("%d crashes recorded, want that of the first target: %q", len(lines), lines)
		}
	})
}
