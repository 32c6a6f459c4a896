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
		Engines: engines, Gateways: gateways, Report: 150 * time.Millisecond,
	}
}

// calm is the planned load of 21 engines.
func calm() []Kind {
	return []Kind{
		{Name: "short", Rate: 43, Tokens: 4960, Spread: 0.77, Most: 23800, Events: 33, LatencySLO: 300 * time.Millisecond, GapSLO: 250 * time.Millisecond, Value: 1.3},
		{Name: "medium", Rate: 2.2, Tokens: 45000, Spread: 0.47, Most: 110000, Events: 20, LatencySLO: 1500 * time.Millisecond, GapSLO: 600 * time.Millisecond, Value: 4.2},
		{Name: "long", Rate: 1.3, Tokens: 154000, Spread: 0.51, Most: 700000, Events: 16, LatencySLO: 3 * time.Second, GapSLO: time.Second, Value: 21},
	}
}

// swing is a load that swings between short and long prompts every ten
// seconds.
func swing(kind string, at time.Duration) float64 {
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
		return plan * swing(kind, 0)
	case seconds > 13 && seconds < 22.5:
		return plan * swing(kind, 10*time.Second)
	default:
		return plan
	}
}

// steady is a load that keeps to the plan.
func steady(string, time.Duration) float64 { return 1 }

// overload returns a load of a multiple of the plan.
func overload(x float64) func(string, time.Duration) float64 {
	return func(string, time.Duration) float64 { return x }
}

// seeds of the runs of a test.
var seeds = []uint64{1, 2, 3}

// mean returns the mean worth of runs, and the sums of each kind's results.
func mean(fleet Fleet, factor func(string, time.Duration) float64, policy func() Policy) (float64, []Result) {
	worth := 0.0
	var sums []Result
	for _, seed := range seeds {
		report := Run(fleet, Load{Kinds: calm(), Length: 40 * time.Second, Factor: factor}, policy, seed)
		worth += report.Worth / float64(len(seeds))
		if sums == nil {
			sums = make([]Result, len(report.Results))
		}
		for i, r := range report.Results {
			sums[i].Kind = r.Kind
			sums[i].Asked += r.Asked
			sums[i].InTime += r.InTime
			sums[i].Late += r.Late
			sums[i].Refused += r.Refused
			sums[i].Largest += r.Largest
			sums[i].LargestOK += r.LargestOK
		}
	}
	return worth, sums
}

func pooled() Policy { return &Pooled{} }

// Guards against a policy that serves users worse than simple ones do, under
// each pattern of load that a decision was made for.
func TestPooledBeatsBaselines(t *testing.T) {
	loads := []struct {
		name   string
		fleet  Fleet
		factor func(string, time.Duration) float64
	}{
		{"planned load", fleetOf(21, 4), steady},
		{"0.8 of it", fleetOf(21, 4), overload(0.8)},
		{"1.5 times", fleetOf(21, 4), overload(1.5)},
		{"2.5 times", fleetOf(21, 4), overload(2.5)},
		{"quiet day", fleetOf(21, 4), quietDay},
		{"swing between short and long", fleetOf(21, 4), swing},
		{"swing, a third of the engines away", fleetOf(14, 4), swing},
		{"swing, many gateways", fleetOf(21, 20), swing},
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
			ours, results := mean(load.fleet, load.factor, pooled)
			t.Logf("pooled: worth %.3f, %+v", ours, results)
			for _, baseline := range baselines {
				theirs, results := mean(load.fleet, load.factor, baseline.policy)
				t.Logf("%s: worth %.3f, %+v", baseline.name, theirs, results)
				if ours < theirs {
					t.Errorf("worth %.3f, %s has %.3f", ours, baseline.name, theirs)
				}
			}
		})
	}
}

// Guards against gains that some callers pay for: the largest prompts of each
// kind are served at least half as often as their kind, and no kind less than a
// quarter as often as all.
func TestFairness(t *testing.T) {
	loads := []struct {
		name   string
		fleet  Fleet
		factor func(string, time.Duration) float64
	}{
		{"planned load", fleetOf(21, 4), steady},
		{"swing", fleetOf(21, 4), swing},
		{"swing, many gateways", fleetOf(21, 20), swing},
		{"1.5 times", fleetOf(21, 4), overload(1.5)},
	}
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			_, results := mean(load.fleet, load.factor, pooled)
			asked, served := 0, 0.0
			for _, r := range results {
				asked += r.Asked
				served += float64(r.InTime + r.Late)
			}
			for _, r := range results {
				largest := float64(r.LargestOK) / float64(r.Largest)
				if largest < r.Served()/2 {
					t.Errorf("%s: largest tenth served %.2f, its kind %.2f", r.Kind, largest, r.Served())
				}
				if r.Served() < served/float64(asked)/4 {
					t.Errorf("%s: served %.2f, all %.2f", r.Kind, r.Served(), served/float64(asked))
				}
			}
		})
	}
}

// Guards against a lull in which the largest prompts take most engines, so that
// short requests find none when their burst begins: their callers leave after
// two seconds.
func TestBurstAfterLull(t *testing.T) {
	kinds := calm()
	largest := kinds[2]
	largest.Tokens, largest.Spread = 525000, 0
	burst := func(large float64) func(string, time.Duration) float64 {
		return func(kind string, at time.Duration) float64 {
			switch {
			case kind == largest.Name && at < 2*time.Second:
				return large
			case kind == "short" && at > 1500*time.Millisecond:
				return 2.4
			default:
				return 0
			}
		}
	}
	inTime := func(large float64) float64 {
		share := 0.0
		for _, seed := range seeds {
			load := Load{Kinds: []Kind{kinds[0], largest}, Length: 6 * time.Second, Factor: burst(large)}
			short := Run(fleetOf(18, 4), load, pooled, seed).Results[0]
			share += float64(short.InTime) / float64(short.Asked) / float64(len(seeds))
		}
		return share
	}
	with, without := inTime(1), inTime(0)
	t.Logf("short requests in time: %.3f, %.3f without large prompts", with, without)
	// A prompt may take a third of the engines.
	if with < without*2/3 {
		t.Errorf("%.3f of short requests in time, %.3f without large prompts", with, without)
	}
}

// Guards against a run that differs from another with the same seed.
func TestRunRepeats(t *testing.T) {
	load := Load{Kinds: calm(), Length: 10 * time.Second, Factor: swing}
	first := fmt.Sprint(Run(fleetOf(21, 4), load, pooled, 7))
	if second := fmt.Sprint(Run(fleetOf(21, 4), load, pooled, 7)); first != second {
		t.Errorf("two runs differ:\n%s\n%s", first, second)
	}
}

// Guards against a model whose engine does not follow the published costs: one
// prompt alone waits for its reading and one pass.
func TestSinglePrompt(t *testing.T) {
	kinds := calm()[:1]
	kinds[0].Rate, kinds[0].Spread = 0.002, 0
	fleet := fleetOf(1, 1)
	for _, tokens := range []float64{1000, 5000, 23800} {
		kinds[0].Tokens = tokens
		report := Run(fleet, Load{Kinds: kinds, Length: 2000 * time.Second}, func() Policy { return LeastInFlight{} }, 1)
		reading := time.Duration(tokens*5650 + tokens*tokens/2/1e6*184e3)
		pass := 51 * (850*time.Microsecond + 4250*time.Nanosecond + time.Duration(tokens/1000*2850))
		want := reading + pass
		for _, first := range report.Results[0].Firsts {
			if first < want-time.Millisecond || first > want+time.Millisecond {
				t.Errorf("%v tokens: first event after %v, want %v", tokens, first, want)
			}
		}
	}
}
