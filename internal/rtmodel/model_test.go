package rtmodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
)

// fleetOf returns a fleet with the published costs of an engine.
func fleetOf(engines, gateways int) Fleet {
	return Fleet{
		Engine: rtcatalog.Engine{
			Slots: 16, Memory: 315000, StepsPerPass: 51,
			StepTime: 850 * time.Microsecond, StepPerRequest: 4250 * time.Nanosecond, StepPerKilotoken: 2850 * time.Nanosecond,
			PrefillPerToken: 5650 * time.Nanosecond, PrefillPerMillionPairs: 184 * time.Microsecond,
		},
		Engines: engines, Gateways: gateways, ReportInterval: 150 * time.Millisecond,
	}
}

// plannedKinds returns the planned load of 21 engines.
func plannedKinds() []Kind {
	return []Kind{
		{Name: "short", Rate: 43, MeanPrompt: 4960, PromptLogStdDev: 0.77, MaxPrompt: 23800, MeanEvents: 33, LatencySLO: 300 * time.Millisecond, GapSLO: 250 * time.Millisecond, Value: 1.3},
		{Name: "medium", Rate: 2.2, MeanPrompt: 45000, PromptLogStdDev: 0.47, MaxPrompt: 110000, MeanEvents: 20, LatencySLO: 1500 * time.Millisecond, GapSLO: 600 * time.Millisecond, Value: 4.2},
		{Name: "long", Rate: 1.3, MeanPrompt: 154000, PromptLogStdDev: 0.51, MaxPrompt: 700000, MeanEvents: 16, LatencySLO: 3 * time.Second, GapSLO: time.Second, Value: 21},
	}
}

// alternatingLoad swings between short and long prompts every ten seconds.
func alternatingLoad(kind string, at time.Duration) float64 {
	long := int(at/(10*time.Second))%2 == 0
	switch {
	case kind == "short" && long:
		return 0.35
	case kind == "short":
		return 2.4
	case kind == "medium" && long:
		return 1.3
	case kind == "medium":
		return 0.5
	case long:
		return 2.8
	default:
		return 0.05
	}
}

// quietDay is the load of the users' day quiet-1 of kvt-windhoek: 0.8 of the
// plan, with bursts of long, short and long prompts.
func quietDay(kind string, at time.Duration) float64 {
	const plan = 0.8
	seconds := at.Seconds()
	switch {
	case seconds > 2.1 && seconds < 11.6, seconds > 23 && seconds < 32.5:
		return plan * alternatingLoad(kind, 0)
	case seconds > 13 && seconds < 22.5:
		return plan * alternatingLoad(kind, 10*time.Second)
	default:
		return plan
	}
}

// plannedLoad is the planned load.
func plannedLoad(string, time.Duration) float64 { return 1 }

// multipleLoad returns a multiple of the planned load.
func multipleLoad(x float64) func(string, time.Duration) float64 {
	return func(string, time.Duration) float64 { return x }
}

// seeds are the seeds of the runs of a test.
var seeds = []uint64{1, 2, 3}

// runSeeds returns the mean value share of the runs with all seeds, and the
// sums of each kind's results.
func runSeeds(fleet Fleet, rateFactor func(string, time.Duration) float64, policy func() Policy) (float64, []Result) {
	valueShare := 0.0
	var sums []Result
	for _, seed := range seeds {
		report := Run(fleet, Workload{Kinds: plannedKinds(), Duration: 40 * time.Second, RateFactor: rateFactor}, policy, seed)
		valueShare += report.ValueShare / float64(len(seeds))
		if sums == nil {
			sums = make([]Result, len(report.Results))
		}
		for i, r := range report.Results {
			sums[i].Kind = r.Kind
			sums[i].Requests += r.Requests
			sums[i].InTime += r.InTime
			sums[i].Late += r.Late
			sums[i].Refused += r.Refused
			sums[i].LargestRequests += r.LargestRequests
			sums[i].LargestServed += r.LargestServed
		}
	}
	return valueShare, sums
}

func gatewayPolicy() Policy { return &GatewayPolicy{} }

// Guards against a policy that serves callers worse than simple policies do,
// under each kind of load that it was designed for. The measure is the value
// share: late answers earn a quarter, refused requests nothing.
func TestPooledBeatsBaselines(t *testing.T) {
	loads := []struct {
		name   string
		fleet  Fleet
		factor func(string, time.Duration) float64
	}{
		{"planned load", fleetOf(21, 4), plannedLoad},
		{"0.8 times", fleetOf(21, 4), multipleLoad(0.8)},
		{"1.5 times", fleetOf(21, 4), multipleLoad(1.5)},
		{"2.5 times", fleetOf(21, 4), multipleLoad(2.5)},
		{"quiet day", fleetOf(21, 4), quietDay},
		{"swing between short and long", fleetOf(21, 4), alternatingLoad},
		{"swing, a third of the engines missing", fleetOf(14, 4), alternatingLoad},
		{"swing, many gateways", fleetOf(21, 20), alternatingLoad},
	}
	baselines := []struct {
		name   string
		policy func() Policy
	}{
		{"least in flight", func() Policy { return LeastInFlight{} }},
		{"static split of 20 %", func() Policy { return StaticSplit{0.2} }},
		{"static split of 35 %", func() Policy { return StaticSplit{0.35} }},
		{"static split of 50 %", func() Policy { return StaticSplit{0.5} }},
	}
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			gatewayShare, results := runSeeds(load.fleet, load.factor, gatewayPolicy)
			t.Logf("gateway policy: value share %.3f, %+v", gatewayShare, results)
			for _, baseline := range baselines {
				baselineShare, results := runSeeds(load.fleet, load.factor, baseline.policy)
				t.Logf("%s: value share %.3f, %+v", baseline.name, baselineShare, results)
				if gatewayShare < baselineShare {
					t.Errorf("value share %.3f, less than that of %s, %.3f", gatewayShare, baseline.name, baselineShare)
				}
			}
		})
	}
}

// Guards against a policy that gains value at the cost of some callers: the
// largest prompts of each kind must be served at least half as often as their
// kind, and each kind at least a quarter as often as all.
func TestFairness(t *testing.T) {
	loads := []struct {
		name   string
		fleet  Fleet
		factor func(string, time.Duration) float64
	}{
		{"planned load", fleetOf(21, 4), plannedLoad},
		{"swing", fleetOf(21, 4), alternatingLoad},
		{"swing, many gateways", fleetOf(21, 20), alternatingLoad},
		{"1.5 times", fleetOf(21, 4), multipleLoad(1.5)},
	}
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			_, results := runSeeds(load.fleet, load.factor, gatewayPolicy)
			requests, served := 0, 0.0
			for _, r := range results {
				requests += r.Requests
				served += float64(r.InTime + r.Late)
			}
			for _, r := range results {
				largestServed := float64(r.LargestServed) / float64(r.LargestRequests)
				if largestServed < r.ServedShare()/2 {
					t.Errorf("%s: largest tenth served %.2f, its kind %.2f", r.Kind, largestServed, r.ServedShare())
				}
				if r.ServedShare() < served/float64(requests)/4 {
					t.Errorf("%s: served %.2f, all %.2f", r.Kind, r.ServedShare(), served/float64(requests))
				}
			}
		})
	}
}

// Guards against large prompts that use most engines while the load is low, so
// that a burst of short requests finds none free: their callers give up after
// two seconds.
func TestBurstAfterLull(t *testing.T) {
	kinds := plannedKinds()
	largest := kinds[2]
	largest.MeanPrompt, largest.PromptLogStdDev = 525000, 0
	burst := func(largeFactor float64) func(string, time.Duration) float64 {
		return func(kind string, at time.Duration) float64 {
			switch {
			case kind == largest.Name && at < 2*time.Second:
				return largeFactor
			case kind == "short" && at > 1500*time.Millisecond:
				return 2.4
			default:
				return 0
			}
		}
	}
	shareInTime := func(largeFactor float64) float64 {
		share := 0.0
		for _, seed := range seeds {
			workload := Workload{Kinds: []Kind{kinds[0], largest}, Duration: 6 * time.Second, RateFactor: burst(largeFactor)}
			short := Run(fleetOf(18, 4), workload, gatewayPolicy, seed).Results[0]
			share += float64(short.InTime) / float64(short.Requests) / float64(len(seeds))
		}
		return share
	}
	withLarge, withoutLarge := shareInTime(1), shareInTime(0)
	t.Logf("short requests in time: %.3f, %.3f without large prompts", withLarge, withoutLarge)
	// A prompt may use a third of the engines.
	if withLarge < withoutLarge*2/3 {
		t.Errorf("%.3f of short requests in time, want at least 2/3 of %.3f without large prompts", withLarge, withoutLarge)
	}
}

// Guards against runs with the same seed that differ, for example because the
// iteration order of a map affects them.
func TestRunRepeats(t *testing.T) {
	workload := Workload{Kinds: plannedKinds(), Duration: 10 * time.Second, RateFactor: alternatingLoad}
	first := fmt.Sprint(Run(fleetOf(21, 4), workload, gatewayPolicy, 7))
	if second := fmt.Sprint(Run(fleetOf(21, 4), workload, gatewayPolicy, 7)); first != second {
		t.Errorf("two runs differ:\n%s\n%s", first, second)
	}
}

// Guards against a model of an engine that does not follow the published
// costs: the first event of a single prompt comes after its prefill and one
// pass.
func TestSinglePrompt(t *testing.T) {
	kinds := plannedKinds()[:1]
	kinds[0].Rate, kinds[0].PromptLogStdDev = 0.002, 0
	fleet := fleetOf(1, 1)
	for _, tokens := range []float64{1000, 5000, 23800} {
		kinds[0].MeanPrompt = tokens
		report := Run(fleet, Workload{Kinds: kinds, Duration: 2000 * time.Second}, func() Policy { return LeastInFlight{} }, 1)
		prefill := time.Duration(tokens*5650 + tokens*tokens/2/1e6*184e3)
		pass := 51 * (850*time.Microsecond + 4250*time.Nanosecond + time.Duration(tokens/1000*2850))
		want := prefill + pass
		for _, firstEvent := range report.Results[0].FirstEvents {
			if firstEvent < want-time.Millisecond || firstEvent > want+time.Millisecond {
				t.Errorf("%v tokens: first event after %v, want %v", tokens, firstEvent, want)
			}
		}
	}
}
