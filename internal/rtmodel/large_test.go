package rtmodel

import (
	"testing"
	"time"
)

// largeKinds returns the planned load of a cell of the large site: 86 engines and 34
// gateways, half of all.
func largeKinds() []Kind {
	return []Kind{
		{Name: "short", Rate: 118.5, MeanPrompt: 5000, PromptLogStdDev: 0.77, MaxPrompt: 23800, MeanEvents: 23.5, LatencySLO: 400 * time.Millisecond, GapSLO: 300 * time.Millisecond, Value: 1.3},
		{Name: "medium", Rate: 8.7, MeanPrompt: 45000, PromptLogStdDev: 0.5, MaxPrompt: 110000, MeanEvents: 14.1, LatencySLO: 1500 * time.Millisecond, GapSLO: 800 * time.Millisecond, Value: 3.1},
		{Name: "long", Rate: 2.885, MeanPrompt: 220000, PromptLogStdDev: 0.55, MaxPrompt: 700000, MeanEvents: 11.8, LatencySLO: 4 * time.Second, GapSLO: 1200 * time.Millisecond, Value: 26},
	}
}

// largeFleet returns the fleet that serves largeKinds. An engine may get 26 requests in
// a second from the 68 gateways of both cells, of which they use 0.8.
func largeFleet() Fleet {
	fleet := fleetOf(86, 34)
	fleet.Engine.Slots = 10
	fleet.ReportInterval = 750 * time.Millisecond
	fleet.NewsDelay = 40 * time.Millisecond
	fleet.SendLimit, fleet.OtherGateways = 20, 34
	return fleet
}

// Guards against large prompts that find too few engines where there are many
// gateways, each of which may send requests to few of the engines: in swings between
// short and long prompts, the largest prompts of each kind must be served at least half
// as often as their kind.
func TestLargestOfManyGateways(t *testing.T) {
	largest, largestServed := make(map[string]int), make(map[string]int)
	requests, served := make(map[string]int), make(map[string]int)
	for _, seed := range seeds {
		workload := Workload{Kinds: largeKinds(), Duration: 40 * time.Second, RateFactor: alternatingLoad}
		report := Run(largeFleet(), workload, gatewayPolicy, seed)
		t.Logf("seed %d: worth %.3f, value share %.3f, worst windows %.3f, worst class %.3f", seed, report.Worth(), report.ValueShare, report.WorstWindow, report.WorstClass)
		for _, r := range report.Results {
			t.Logf("%s: value share %.3f, of the largest tenth %.3f", r.Kind, r.ValueShare, r.LargestShare)
			largest[r.Kind] += r.LargestRequests
			largestServed[r.Kind] += r.LargestServed
			requests[r.Kind] += r.Requests
			served[r.Kind] += r.InTime + r.Late
		}
	}
	for kind := range requests {
		of, ofKind := float64(largestServed[kind])/float64(largest[kind]), float64(served[kind])/float64(requests[kind])
		if of < ofKind/2 {
			t.Errorf("%s: largest tenth served %.2f, its kind %.2f", kind, of, ofKind)
		}
	}
}
