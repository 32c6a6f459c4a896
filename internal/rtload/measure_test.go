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

// fullVariable is the environment variable that runs the full tables.
const fullVariable = "RHUBARBTALLY_MEASURE"

// Lengths of the parts of a measurement, in virtual time. The warm-up is sent
// at half load, so that agents have raised their limits.
const (
	fullWarmUp  = 30 * time.Second
	fullLength  = 45 * time.Second
	quickWarmUp = 10 * time.Second
	quickLength = 10 * time.Second
	seed        = 1
)

var (
	deployments = []*Deployment{&Kavango, &NepGap}
	loads       = []float64{0.50, 0.80, 0.95, 1.20}
	policies    = append([]Policy{Product}, Baselines...)
)

// full reports whether the full tables are asked for.
func full() bool {
	return os.Getenv(fullVariable) == "full"
}

// runWorld runs body in a bubble with a deployment that serves.
func runWorld(t *testing.T, d *Deployment, policy Policy, body func(context.Context, *RunningDeployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w, err := StartDeployment(t.Context(), d, policy, seed)
		defer func() {
			if err := w.Close(); err != nil {
				t.Logf("close: %v", err)
			}
		}()
		if err == nil {
			err = w.AwaitReady(t.Context())
		}
		if err != nil {
			t.Error(err)
			return
		}
		body(t.Context(), w)
	})
}

// run is one run of a deployment under one policy at one load.
type run struct {
	deployment *Deployment
	load       float64
	policy     Policy
	short      bool // only the drafts of the short class are sent
}

func (r *run) name() string {
	name := fmt.Sprintf("%s/%.0f/%s", r.deployment.Name, 100*r.load, r.policy.Name)
	if r.short {
		name += "/short"
	}
	return name
}

// drive sends a warm-up and then the load.
func (r *run) drive(t *testing.T, warmUp, length time.Duration) *Recorder {
	t.Helper()
	recorder := &Recorder{}
	d := r.deployment
	arrivals := Schedule(seed, &d.Mix, Phase{warmUp, d.PlannedRate / 2}, Phase{length, d.PlannedRate * r.load})
	if r.short {
		arrivals = Filter(arrivals, IsShortDraft)
	}
	runWorld(t, d, r.policy, func(ctx context.Context, w *RunningDeployment) {
		if err := w.Driver.Run(ctx, arrivals); err != nil {
			t.Error(err)
		}
		recorder = w.Driver.Recorder.Since(warmUp)
	})
	return recorder
}

// driveAll does runs side by side and returns what was recorded, by name.
func driveAll(t *testing.T, runs []run, drive func(*testing.T, *run) *Recorder) map[string]*Recorder {
	t.Helper()
	recorders := make(map[string]*Recorder)
	var mu sync.Mutex
	t.Run("runs", func(t *testing.T) {
		for i := range runs {
			t.Run(runs[i].name(), func(t *testing.T) {
				t.Parallel()
				recorder := drive(t, &runs[i])
				mu.Lock()
				defer mu.Unlock()
				recorders[runs[i].name()] = recorder
			})
		}
	})
	return recorders
}

// allRuns returns all runs of the full tables.
func allRuns() []run {
	var runs []run
	for _, d := range deployments {
		for _, load := range loads {
			for _, policy := range policies {
				runs = append(runs, run{deployment: d, load: load, policy: policy})
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

func ofBand(band int) func(*Result) bool {
	return func(x *Result) bool { return x.Kind == KindDraft && x.Band == band }
}

// TestSaturation measures what the engines carry: the prompt tokens done in
// time under far too much load.
func TestSaturation(t *testing.T) {
	if !full() {
		return
	}
	const overload = 2
	var runs []run
	for _, d := range deployments {
		for _, policy := range []Policy{Product, Baselines[0]} {
			runs = append(runs, run{deployment: d, load: overload, policy: policy})
		}
	}
	// Longer than the time limits of most drafts, so that the queues are full
	// in the part that counts.
	const settle, length = 60 * time.Second, 60 * time.Second
	recorders := driveAll(t, runs, func(t *testing.T, r *run) *Recorder {
		return r.drive(t, 0, settle+length)
	})
	fmt.Println("| deployment | policy | drafts/s in time | tokens/s in time | tokens/s of the engines | drafts/s of that work |")
	fmt.Println("|---|---|---|---|---|---|")
	for i := range runs {
		r := &runs[i]
		tally := recorders[r.name()].Summarise(func(x *Result) bool {
			end := x.Due + x.Duration
			return fitsOneEngine(x) && end >= settle && end < settle+length
		})
		rate := float64(tally.TokensInTime) / length.Seconds()
		fmt.Printf("| %s | %s | %.1f | %.0f | %.0f | %.1f |\n", r.deployment.Name, r.policy.Name,
			float64(tally.InTime)/length.Seconds(), rate, EnginePrefillRate*zones*zoneEngines,
			rate/r.deployment.Mix.MeanTokens(len(Bands)-1))
	}
}

// TestLoad prints the time to first token by band, and the slowdown of short
// requests beside long ones.
func TestLoad(t *testing.T) {
	if !full() {
		return
	}
	runs := allRuns()
	for _, r := range allRuns() {
		r.short = true
		runs = append(runs, r)
	}
	recorders := driveAll(t, runs, func(t *testing.T, r *run) *Recorder {
		return r.drive(t, fullWarmUp, fullLength)
	})
	for _, d := range deployments {
		printFirst(d, recorders)
		printSlowdown(d, recorders)
	}
}

// printFirst prints the time to first token by band.
func printFirst(d *Deployment, recorders map[string]*Recorder) {
	fmt.Printf("\n%s: time to first token, p50/p95 in ms\n\n", d.Name)
	fmt.Println("| load % | policy | 1k | 4k | 16k | 64k | 256k | in time % | useful work % | late | ratio of p95 to ours: 1k, 4k, 16k, 64k, 256k |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, load := range loads {
		ours := recorders[(&run{deployment: d, load: load, policy: Product}).name()]
		for _, policy := range policies {
			recorder := recorders[(&run{deployment: d, load: load, policy: policy}).name()]
			fmt.Printf("| %.0f | %s |", 100*load, policy.Name)
			ratios := ""
			for band := range len(Bands) - 1 {
				tally := recorder.Summarise(ofBand(band))
				fmt.Printf(" %d/%d |", tally.FirstTextPercentile(50).Milliseconds(), tally.FirstTextPercentile(95).Milliseconds())
				ratios += fmt.Sprintf(" %.2f", ratio(tally.FirstTextPercentile(95), ours.Summarise(ofBand(band)).FirstTextPercentile(95)))
			}
			all := recorder.Summarise(fitsOneEngine)
			fmt.Printf(" %.1f | %.1f | %d |%s |\n", 100*all.InTimeRatio(), 100*float64(all.TokensInTime)/float64(all.TokensOffered), all.Late, ratios)
		}
	}
}

// printSlowdown prints short requests beside long ones against the same short
// requests alone.
func printSlowdown(d *Deployment, recorders map[string]*Recorder) {
	fmt.Printf("\n%s: slowdown of short requests (<= 4k) beside long ones\n\n", d.Name)
	fmt.Println("| load % | policy | first token alone mean/p95 ms | beside mean/p95 ms | slowdown mean | slowdown p95 | slowdown to ours, mean | not in time alone/beside |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, load := range loads {
		var ours float64
		for _, policy := range policies {
			r := run{deployment: d, load: load, policy: policy}
			beside := recorders[r.name()].Summarise(isShortResult)
			r.short = true
			alone := recorders[r.name()].Summarise(isShortResult)
			slowdown := ratio(beside.MeanFirstText(), alone.MeanFirstText())
			if policy.Name == Product.Name {
				ours = slowdown
			}
			fmt.Printf("| %.0f | %s | %d/%d | %d/%d | %.2f | %.2f | %.2f | %d/%d |\n", 100*load, policy.Name,
				alone.MeanFirstText().Milliseconds(), alone.FirstTextPercentile(95).Milliseconds(),
				beside.MeanFirstText().Milliseconds(), beside.FirstTextPercentile(95).Milliseconds(),
				slowdown, ratio(beside.FirstTextPercentile(95), alone.FirstTextPercentile(95)), slowdown/ours, alone.NotInTime(), beside.NotInTime())
		}
	}
}

func ratio(a, b time.Duration) float64 {
	return float64(a) / float64(max(1, b))
}
