package rtgateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a stream that breaks because one engine refuses memory for its
// continuation each time, although other engines have enough.
func TestContinuationBesideEngineWithoutMemory(t *testing.T) {
	withTestbed(t, 24, func(b *testbed) {
		useEngineService(b)
		b.firstRun(sendSlowly(2, 50*time.Millisecond, func(net.Conn, *run) {}))
		var full *target // the first engine that is asked for memory for the continuation
		for _, target := range b.targets {
			target.commandStatus = func(command string) int {
				if strings.HasPrefix(command, "reserve") && len(b.allRuns()) == 1 {
					if full == nil {
						full = target
					}
					if full == target {
						return http.StatusConflict
					}
				}
				return http.StatusOK
			}
		}
		got := b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "330000"), "")
		if got.err != nil || got.body != allEvents() {
			t.Errorf("got status %d, body %q after %v, error %v; want the whole stream; attempts %s, refusals %d",
				got.status, got.body, got.took, got.err, describe(b.allRuns()), len(b.logged("Memory not set aside.")))
		}
	})
}
