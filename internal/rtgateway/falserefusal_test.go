package rtgateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// notRunStatuses are the statuses that callers take for the promise that a request has
// not run and never will.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// promisesNotRun reports whether callers take a status for that promise.
func promisesNotRun(status int) bool { return slices.Contains(notRunStatuses, status) }

// Guards against a request that a target has run and whose caller is told by the status
// of the target that it has not. A 421 is left out: targets make the promise with it.
func TestFalseRefusals(t *testing.T) {
	for _, route := range testRoutes {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			t.Run(fmt.Sprint(route.Name, status), func(t *testing.T) {
				withTestbed(t, 2, func(b *testbed) {
					b.inOrder(answerWith(status, "Retry-After: 1\r\n", "bad"))
					got := b.call(http.MethodPost, route.Prefix+"x", headers("id-1"), "body")
					if got.status != http.StatusBadGateway || got.header.Get("Stamp") != "" || got.header.Get("Retry-After") != "" {
						t.Errorf("got status %d, stamp %q, Retry-After %q; want 502 without them", got.status, got.header.Get("Stamp"), got.header.Get("Retry-After"))
					}
					if runs := len(b.allRuns()); runs > 1 && !route.Repeatable() {
						t.Errorf("ran %d times, want once", runs)
					}
					if lines := b.logged("Refused."); len(lines) != 1 || !strings.Contains(lines[0], fmt.Sprint(status)) {
						t.Errorf("log lines %q, want one with the status %d of the target", lines, status)
					}
				})
			})
		}
	}
}

// Guards against a failure of a target that is withheld because a later one must not
// be passed on.
func TestFailureBeforeFalseRefusal(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		b.inOrder(answerWith(http.StatusInternalServerError, "", "bad"), answerWith(http.StatusServiceUnavailable, "", failureText))
		got := b.call(http.MethodPost, "/safe/x", headers("id-1"), "")
		if got.status != http.StatusInternalServerError || got.body != "bad" || got.header.Get("Stamp") != string(b.allRuns()[0].target.id) {
			t.Errorf("got status %d, body %q, stamp %q; want the failure of the first target", got.status, got.body, got.header.Get("Stamp"))
		}
	})
}
