package rtload

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// Parts of the measurement of an availability zone that is taken out and
// returns cold, in virtual time after the warm-up.
const (
	zoneBefore = 15 * time.Second
	zoneOut    = 25 * time.Second
	zoneAfter  = 30 * time.Second
)

// zoneParts are the parts by the time at which requests are sent.
var zoneParts = []struct {
	name       string
	start, end time.Duration
}{
	{"before", 0, zoneBefore},
	{"out", zoneBefore, zoneBefore + zoneOut},
	{"after", zoneBefore + zoneOut, zoneBefore + zoneOut + zoneAfter},
}

// driveOutage sends the load while the first zone is out for a while. Its
// engines restart before the zone returns, so that they are cold.
func driveOutage(t *testing.T, r *run) *Recorder {
	t.Helper()
	recorder := &Recorder{}
	d := r.deployment
	arrivals := Schedule(seed, &d.Mix, Phase{fullWarmUp, d.PlannedRate / 2},
		Phase{zoneBefore + zoneOut + zoneAfter, d.PlannedRate * r.load})
	runWorld(t, d, r.policy, func(ctx context.Context, w *RunningDeployment) {
		operator := rttask.Start(ctx, "operator", func(ctx context.Context) error {
			return outage(ctx, w)
		})
		if err := w.Driver.Run(ctx, arrivals); err != nil {
			t.Error(err)
		}
		if err := <-operator.Done(); err != nil {
			t.Error(err)
		}
		recorder = w.Driver.Recorder.Since(fullWarmUp)
	})
	return recorder
}

// outage takes the first zone out and returns it cold.
func outage(ctx context.Context, w *RunningDeployment) error {
	pause(ctx, fullWarmUp+zoneBefore)
	if err := w.PublishZoneState(0, rtdocument.ZoneOutOfService); err != nil {
		return err
	}
	// Running work ends before the restart.
	const restart = time.Second
	pause(ctx, zoneOut-restart)
	w.RestartEngines(0)
	pause(ctx, restart)
	return w.PublishZoneState(0, rtdocument.ZoneInService)
}

// TestZone prints the service before, while and after an availability zone is
// out.
func TestZone(t *testing.T) {
	if !full() {
		return
	}
	runs := allRuns()
	recorders := driveAll(t, runs, driveOutage)
	for _, d := range deployments {
		printOutage(d, recorders)
	}
}

func printOutage(d *Deployment, recorders map[string]*Recorder) {
	fmt.Printf("\n%s: drafts before, while and after zone-1 is out\n\n", d.Name)
	fmt.Println("| load % | policy | part | sent | not in time | late | short first p50/p95 ms | medium first p50/p95 ms | not in time, ratio to ours | short p95, ratio to ours | ends |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, load := range loads {
		for _, policy := range policies {
			for _, part := range zoneParts {
				ours := recorders[(&run{deployment: d, load: load, policy: Product}).name()].Between(fullWarmUp+part.start, fullWarmUp+part.end)
				these := recorders[(&run{deployment: d, load: load, policy: policy}).name()].Between(fullWarmUp+part.start, fullWarmUp+part.end)
				printPart(fmt.Sprintf("%.0f | %s | %s", 100*load, policy.Name, part.name), these, ours)
			}
		}
	}
}

func printPart(name string, these, ours *Recorder) {
	all, ourAll := these.Summarise(fitsOneEngine), ours.Summarise(fitsOneEngine)
	shorts, ourShorts := these.Summarise(isShortResult), ours.Summarise(isShortResult)
	mediums := these.Summarise(func(x *Result) bool { return x.Kind == KindDraft && (x.Band == 2 || x.Band == 3) })
	fmt.Printf("| %s | %d | %d | %d | %d/%d | %d/%d | %s | %.2f | %s |\n", name, all.Sent, all.NotInTime(), all.Late,
		shorts.FirstTextPercentile(50).Milliseconds(), shorts.FirstTextPercentile(95).Milliseconds(),
		mediums.FirstTextPercentile(50).Milliseconds(), mediums.FirstTextPercentile(95).Milliseconds(),
		countRatio(all.NotInTime(), ourAll.NotInTime()), ratio(shorts.FirstTextPercentile(95), ourShorts.FirstTextPercentile(95)), all.ends())
}

// countRatio compares two counts. No ratio exists to a count of zero.
func countRatio(count, ours int) string {
	if ours == 0 {
		return fmt.Sprintf("%d to 0", count)
	}
	return fmt.Sprintf("%.2f", float64(count)/float64(ours))
}
