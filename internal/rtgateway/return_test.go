package rtgateway

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeature"
)

// Guards against refused callers who all return at the same time, against delays over a
// third of what remains of their time, and against ones that change where the part is off.
func TestRefusedCallersReturnApart(t *testing.T) {
	for _, on := range []bool{true, false} {
		withTestbed(t, 6, func(b *testbed) {
			useEngineService(b)
			b.gateway.settings.Features = rtfeature.Settings{Returns: rtfeature.Switch{Enabled: on}}
			fillEngines(b, 20*time.Second)
			const callers = 8
			var mu sync.Mutex
			delays := make(map[string]int)
			var calls sync.WaitGroup
			for i := range callers {
				calls.Go(func() {
					got := b.call(http.MethodPost, "/once/x", headers(strconv.Itoa(i), "Size", "60000", "Remaining", "9s"), "")
					seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					if got.status != http.StatusServiceUnavailable || err != nil || seconds <= 0 || seconds > 3 {
						b.t.Errorf("got status %d, delay %q", got.status, got.header.Get("Retry-After"))
					}
					mu.Lock()
					defer mu.Unlock()
					delays[got.header.Get("Retry-After")]++
				})
			}
			calls.Wait()
			// The backlog lasts longer than the callers have, so all get the longest delay.
			if len(delays) != 1 {
				b.t.Errorf("returns %v: delays %v before any capacity is free", on, delays)
			}
			fillEngines(b, 600*time.Millisecond)
			delays = make(map[string]int)
			for _, target := range b.targets {
				target.set(refuseNotRun)
			}
			for i := range callers {
				got := b.call(http.MethodPost, "/order/x", headers("o"+strconv.Itoa(i), "Size", "120000", "Remaining", "9s"), "")
				delays[got.header.Get("Retry-After")]++
			}
			if spread := len(delays) > 1; spread != on {
				b.t.Errorf("returns %v: delays %v", on, delays)
			}
		})
	}
}
