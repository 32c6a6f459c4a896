package rtplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// BenchmarkDecideByReports measures one decision together with the loads that it is made
// by, as other gateways report them. The sizes are those of a small site, of a cell of
// the large site and of a cell of 10,000 engines.
func BenchmarkDecideByReports(b *testing.B) {
	for _, size := range []struct{ engines, gateways int }{{21, 4}, {86, 34}, {130, 30}} {
		b.Run(fmt.Sprint(size.engines, " engines ", size.gateways, " gateways"), func(b *testing.B) {
			candidates := idleEngines(size.engines)
			var tracker LoadTracker
			for i := range size.gateways - 1 {
				loads := make(map[rtid.Target]Load)
				for j := i % 3; j < size.engines; j += 3 { // each gateway has requests at a third
					loads[candidates[j].Instance.ID] = Load{Requests: 1, Interactive: 1, Context: 6000, PrefillBacklog: 30 * time.Millisecond}
				}
				tracker.SetPeerLoads(rtid.VM(fmt.Sprint("vm", i)), loads, now)
			}
			var scheduler Scheduler
			at := now
			for b.Loop() {
				at = at.Add(time.Microsecond)
				for i := range candidates {
					candidates[i].Load = tracker.Load(candidates[i].Instance.ID, at)
					candidates[i].HelperOnly = i%4 > 0
				}
				if _, ok := scheduler.Decide(publishedCosts, shortWork, candidates, size.gateways, at); !ok {
					b.Fatal("not placed")
				}
			}
		})
	}
}
