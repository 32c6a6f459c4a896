package rtload

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fullVariable is the environment variable that selects the full tables.
const fullVariable = "RHUBARBTALLY_MEASURE"

// Durations of the phases of a measurement, in virtual time. The warm-up has
// half the load, so that agents have raised their limits when it ends.
const (
	fullWarmUp    = 30 * time.Second
	fullDuration  = 45 * time.Second
	quickWarmUp   = 10 * time.Second
	quickDuration = 10 * time.Second
	seed          = 1
)

var (
	deployments = []*Deployment{&Kavango, &NepGap}
	loads       = []float64{0.50, 0.80, 0.95, 1.20}
	policies    = append([]Policy{Product}, Baselines...)
)

// isFullRun reports whether the full tables are to be measured.
func isFullRun() bool {
	return os.Getenv(fullVariable) == "full"
}

// runDeployment runs body in virtual time with a deployment that is ready.
func runDeployment(t *testing.T, d *Deployment, policy Policy, body func(context.Context, *RunningDeployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		running, err := StartDeployment(t.Context(), d, policy, seed)
		defer func() {
			if err := running.Close(); err != nil {
				t.Logf("close deployment: %v", err)
			}
		}()
		if err == nil {
			err = running.AwaitReady(t.Context())
		}
		if err != nil {
			t.Error(err)
			return
		}
		body(t.Context(), running)
	})
}

// measurement is one run of a deployment with one policy at one load.
type measurement struct {
	deployment *Deployment
	load       float64 // fraction of the planned rate
	policy     Policy
	shortOnly  bool // send only drafts of the short class
}

func (r *measurement) name() string {
	name := fmt.Sprintf("%s/%.0f/%s", r.deployment.Name, 100*r.load, r.policy.Name)
	if r.shortOnly {
		name += "/short"
	}
	return name
}

// sendLoad sends the warm-up and then the load, and returns the results of the
// latter.
func (r *measurement) sendLoad(t *testing.T, warmUp, duration time.Duration) *Recorder {
	t.Helper()
	recorder := &Recorder{}
	d := r.deployment
	arrivals := Schedule(seed, &d.Mix, Phase{warmUp, d.PlannedRate / 2}, Phase{duration, d.PlannedRate * r.load})
	if r.shortOnly {
		arrivals = Filter(arrivals, IsShortDraft)
	}
	runDeployment(t, d, r.policy, func(ctx context.Context, running *RunningDeployment) {
		if err := running.Driver.Run(ctx, arrivals); err != nil {
			t.Error(err)
		}
		recorder = running.Driver.Recorder.Since(warmUp)
	})
	return recorder
}

// runAll runs measurements in parallel and returns their recorders by name.
func runAll(t *testing.T, runs []measurement, measure func(*testing.T, *measurement) *Recorder) map[string]*Recorder {
	t.Helper()
	recorders := make(map[string]*Recorder)
	var mu sync.Mutex
	t.Run("runs", func(t *testing.T) {
		for i := range runs {
			t.Run(runs[i].name(), func(t *testing.T) {
				t.Parallel()
				recorder := measure(t, &runs[i])
				mu.Lock()
				defer mu.Unlock()
				recorders[runs[i].name()] = recorder
			})
		}
	})
	return recorders
}

// allMeasurements returns all measurements of the full tables.
func allMeasurements() []measurement {
	var runs []measurement
	for _, d := range deployments {
		for _, load := range loads {
			for _, policy := range policies {
				runs = append(runs, measurement{deployment: d, load: load, policy: policy})
			}
		}
	}
	return runs
}

func fitsOneEngine(x *Result) bool {
	return x.Kind == KindDraft && Bands[x.Band].MaxTokens <= engineMemory
}

func isShortResult(x *Result) bool {
	return IsShortDraft(&x.Arrival)
}

func isOfBand(band int) func(*Result) bool {
	return func(x *Result) bool { return x.Kind == KindDraft && x.Band == band }
}

// TestSaturation measures the rate that the engines sustain: the prompt tokens
// done in time at twice the planned load.
func TestSaturation(t *testing.T) {
	if !isFullRun() {
		return
	}
	const overload = 2
	var runs []measurement
	for _, d := range deployments {
		for _, policy := range []Policy{Product, Baselines[0]} {
			runs = append(runs, measurement{deployment: d, load: overload, policy: policy})
		}
	}
	// settle is longer than the time limits of most drafts, so that the queues
	// are full in the phase that is counted.
	const settle, duration = 60 * time.Second, 60 * time.Second
	recorders := runAll(t, runs, func(t *testing.T, r *measurement) *Recorder {
		return r.sendLoad(t, 0, settle+duration)
	})
	fmt.Println("| deployment | policy | drafts/s in time | tokens/s in time | tokens/s of the engines | drafts/s of that work |")
	fmt.Println("|---|---|---|---|---|---|")
	for i := range runs {
		r := &runs[i]
		summary := recorders[r.name()].Summarise(func(x *Result) bool {
			end := x.Due + x.Duration
			return fitsOneEngine(x) && end >= settle && end < settle+duration
		})
		rate := float64(summary.TokensInTime) / duration.Seconds()
		fmt.Printf("| %s | %s | %.1f | %.0f | %.0f | %.1f |\n", r.deployment.Name, r.policy.Name,
			float64(summary.InTime)/duration.Seconds(), rate, EnginePrefillRate*zoneCount*enginesPerZone,
			rate/r.deployment.Mix.MeanTokens(len(Bands)-1))
	}
}

// TestLoad prints the time to first token by band, and the slowdown of short
// requests by long ones.
func TestLoad(t *testing.T) {
	if !isFullRun() {
		return
	}
	runs := allMeasurements()
	for _, r := range allMeasurements() {
		r.shortOnly = true
		runs = append(runs, r)
	}
	recorders := runAll(t, runs, func(t *testing.T, r *measurement) *Recorder {
		return r.sendLoad(t, fullWarmUp, fullDuration)
	})
	for _, d := range deployments {
		printFirstText(d, recorders)
		printSlowdown(d, recorders)
	}
}

// printFirstText prints the time to first token by band.
func printFirstText(d *Deployment, recorders map[string]*Recorder) {
	fmt.Printf("\n%s: time to first token, p50/p95 in ms\n\n", d.Name)
	fmt.Println("| load % | policy | 1k | 4k | 16k | 64k | 256k | in time % | useful work % | late | ratio of p95 to ours: 1k, 4k, 16k, 64k, 256k |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, load := range loads {
		production := recorders[(&measurement{deployment: d, load: load, policy: Product}).name()]
		for _, policy := range policies {
			recorder := recorders[(&measurement{deployment: d, load: load, policy: policy}).name()]
			fmt.Printf("| %.0f | %s |", 100*load, policy.Name)
			ratios := ""
			for band := range len(Bands) - 1 {
				summary := recorder.Summarise(isOfBand(band))
				fmt.Printf(" %d/%d |", summary.FirstTextPercentile(50).Milliseconds(), summary.FirstTextPercentile(95).Milliseconds())
				ratios += fmt.Sprintf(" %.2f", ratio(summary.FirstTextPercentile(95), production.Summarise(isOfBand(band)).FirstTextPercentile(95)))
			}
			all := recorder.Summarise(fitsOneEngine)
			fmt.Printf(" %.1f | %.1f | %d |%s |\n", 100*all.InTimeRatio(), 100*float64(all.TokensInTime)/float64(all.TokensOffered), all.Late, ratios)
		}
	}
}

// printSlowdown prints the times of short requests among long ones, compared
// with the same short requests alone.
func printSlowdown(d *Deployment, recorders map[string]*Recorder) {
	fmt.Printf("\n%s: slowdown of short requests (<= 4k) beside long ones\n\n", d.Name)
	fmt.Println("| load % | policy | first token alone mean/p95 ms | beside mean/p95 ms | slowdown mean | slowdown p95 | slowdown to ours, mean | not in time alone/beside |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, load := range loads {
		var production float64
		for _, policy := range policies {
			r := measurement{deployment: d, load: load, policy: policy}
			beside := recorders[r.name()].Summarise(isShortResult)
			r.shortOnly = true
			alone := recorders[r.name()].Summarise(isShortResult)
			slowdown := ratio(beside.MeanFirstText(), alone.MeanFirstText())
			if policy.Name == Product.Name {
				production = slowdown
			}
			fmt.Printf("| %.0f | %s | %d/%d | %d/%d | %.2f | %.2f | %.2f | %d/%d |\n", 100*load, policy.Name,
				alone.MeanFirstText().Milliseconds(), alone.FirstTextPercentile(95).Milliseconds(),
				beside.MeanFirstText().Milliseconds(), beside.FirstTextPercentile(95).Milliseconds(),
				slowdown, ratio(beside.FirstTextPercentile(95), alone.FirstTextPercentile(95)), slowdown/production, alone.NotInTime(), beside.NotInTime())
		}
	}
}

func ratio(a, b time.Duration) float64 {
	return float64(a) / float64(max(1, b))
}
