package rtgateway

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an organisation whose sound requests are all rejected because
// they share a part with a few deadly ones that arrived between two of them.
func TestSharedPartIsServedAtLowTraffic(t *testing.T) {
	const (
		interval = time.Second // between two sound requests
		end      = 60 * time.Second
		quiet    = 20 * time.Second // before the deadly requests
	)
	for seed := range uint64(crashSeeds) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			withCrashBed(t, seed, deadlyParts, func(s *crashBed) {
				var arrivals []arrival
				for after := time.Duration(0); after < end; after += interval {
					arrivals = append(arrivals, arrival{after: after, path: "/stream/x", parts: fmt.Sprint("first,subject,own", after)})
				}
				for i := range 3 {
					after := quiet + interval*3/10 + time.Duration(i)*260*time.Millisecond
					arrivals = append(arrivals, arrival{after: after, path: "/stream/x", parts: fmt.Sprint("first,subject,bad1,own", i)})
				}
				exchanges := s.play(arrivals)
				crashes := s.crashesOf(deadlyParts[0])
				if len(crashes) == 0 {
					t.Fatal("no target crashed, want some")
				}
				settled := crashes[len(crashes)-1].at.Add(2 * stableWindow)
				before := begunShare(exchanges, time.Time{}, crashes[0].at)
				after := begunShare(exchanges, settled, settled.Add(time.Hour))
				if after.sent < 20 || after.of() < before.of()/2 {
					t.Errorf("%d of %d sound requests began before %d crashes and %d of %d after them, want 20 or more sent and at least half of the share before",
						before.begun, before.sent, len(crashes), after.begun, after.sent)
				}
			})
		})
	}
}
