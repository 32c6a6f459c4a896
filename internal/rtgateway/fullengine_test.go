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

// Guards against a large prompt that is refused because the first engines that are
// asked for memory have less than their known load says, and against one that asks all
// engines in turn.
func TestMemoryRefusedByEngines(t *testing.T) {
	tests := []struct {
		name    string
		refused int // commands that are refused, from the first
		status  int
	}{
		{"none", 0, http.StatusOK},
		{"one", 1, http.StatusOK},
		{"several", maxMemoryRefusals, http.StatusOK},
		{"all", 1000, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 24, func(b *testbed) {
				useEngineService(b)
				asked := make(map[*target]int)
				refused := 0
				for _, target := range b.targets {
					target.commandStatus = func(command string) int {
						b.mu.Lock()
						defer b.mu.Unlock()
						if !strings.HasPrefix(command, "reserve") {
							return http.StatusOK
						}
						asked[target]++
						if refused == test.refused {
							return http.StatusOK
						}
						refused++
						return http.StatusConflict
					}
				}
				got := b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "330000"), "")
				if runs := len(b.allRuns()); got.status != test.status || (runs > 0) != (test.status == http.StatusOK) {
					t.Errorf("got status %d after %v, %d runs, want status %d", got.status, got.took, runs, test.status)
				}
				if len(asked) > maxMemoryRefusals+1 {
					t.Errorf("%d engines were asked for memory, want at most %d", len(asked), maxMemoryRefusals+1)
				}
			})
		})
	}
}
