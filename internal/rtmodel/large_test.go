package rtmodel

import (
	"testing"
	"time"
)

// largeKinds returns the planned load of a cell of the large site: 86 engines and 34
// gateways.
func largeKinds() []Kind {
	return []Kind{
		{Name: "short", Rate: 118.5, MeanPrompt: 5000, PromptLogStdDev: 0.77, MaxPrompt: 23800, MeanEvents: 23.5, LatencySLO: 400 * time.Millisecond, GapSLO: 300 * time.Millisecond, Value: 1.3},
		{Name: "medium", Rate: 8.7, MeanPrompt: 45000, PromptLogStdDev: 0.5, MaxPrompt: 110000, MeanEvents: 14.1, LatencySLO: 1500 * time.Millisecond, GapSLO: 800 * time.Millisecond, Value: 3.1},
		{Name: "long", Rate: 2.885, MeanPrompt: 220000, PromptLogStdDev: 0.55, MaxPrompt: 700000, MeanEvents: 11.8, LatencySLO: 4 * time.Second, GapSLO: 1200 * time.Millisecond, Value: 26},
	}
}

func largeFleet() Fleet {
	fleet := fleetOf(86, 34)
	fleet.Engine.Slots = 10
	fleet.ReportInterval = 750 * time.Millisecond
	fleet.NewsDelay = 40 * time.Millisecond
	return fleet
}

func TestLargeTrial(t *testing.T) {
	for _, load := range []struct {
		name string
		f    func(string, time.Duration) float64
		fl   Fleet
		k    []Kind
	}{
		{"large swing", alternatingLoad, largeFleet(), largeKinds()},
		{"large plan", plannedLoad, largeFleet(), largeKinds()},
		{"large 1.5", multipleLoad(1.5), largeFleet(), largeKinds()},
		{"small swing", alternatingLoad, fleetOf(21, 4), plannedKinds()},
		{"small swing20", alternatingLoad, fleetOf(21, 20), plannedKinds()},
		{"small plan", plannedLoad, fleetOf(21, 4), plannedKinds()},
		{"small 1.5", multipleLoad(1.5), fleetOf(21, 4), plannedKinds()},
	} {
		start := time.Now()
		var worth, whole, class, window, largest, kind float64
		for _, seed := range seeds {
			r := Run(load.fl, Workload{Kinds: load.k, Duration: 40 * time.Second, RateFactor: load.f}, gatewayPolicy, seed)
			worth += r.Worth() / 3
			whole += r.ValueShare / 3
			class += r.WorstClass / 3
			window += r.WorstWindow / 3
			l := r.Results[2]
			largest += float64(l.LargestServed) / float64(l.LargestRequests) / 3
			kind += l.ServedShare() / 3
		}
		t.Logf("%-14s worth %.3f whole %.3f window %.3f class %.3f largest %.2f kind %.2f (%v)", load.name, worth, whole, window, class, largest, kind, time.Since(start).Round(time.Millisecond))
	}
}
