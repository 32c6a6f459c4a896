package rtload

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// Durations of the phases of an outage in virtual time, after the warm-up: an
// availability zone is taken out of service and returns with cold engines.
const (
	beforeOutage   = 15 * time.Second
	outageDuration = 25 * time.Second
	afterOutage    = 30 * time.Second
)

// zonePhases are the phases by the time at which requests are due, after the
// warm-up.
var zonePhases = []struct {
	name       string
	start, end time.Duration
}{
	{"before", 0, beforeOutage},
	{"out", beforeOutage, beforeOutage + outageDuration},
	{"after", beforeOutage + outageDuration, beforeOutage + outageDuration + afterOutage},
}

// sendLoadWithOutage sends the load while the first zone is out of service for
// outageDuration. The engines of the zone restart before it returns, so that
// they are cold.
func sendLoadWithOutage(t *testing.T, r *measurement) *Recorder {
	t.Helper()
	recorder := &Recorder{}
	d := r.deployment
	arrivals := Schedule(seed, &d.Mix, Phase{fullWarmUp, d.PlannedRate / 2},
		Phase{beforeOutage + outageDuration + afterOutage, d.PlannedRate * r.load})
	runDeployment(t, d, r.policy, func(ctx context.Context, running *RunningDeployment) {
		operator := rttask.Start(ctx, "operator", func(ctx context.Context) error {
			return runOutage(ctx, running)
		})
		if err := running.Driver.Run(ctx, arrivals); err != nil {
			t.Error(err)
		}
		if err := <-operator.Done(); err != nil {
			t.Error(err)
		}
		recorder = running.Driver.Recorder.Since(fullWarmUp)
	})
	return recorder
}

// runOutage takes the first zone out of service and returns it to service with
// cold engines.
func runOutage(ctx context.Context, running *RunningDeployment) error {
	sleep(ctx, fullWarmUp+beforeOutage)
	if err := running.PublishZoneState(0, rtdocument.ZoneOutOfService); err != nil {
		return err
	}
	// Requests in flight in the zone have ended before the engines restart.
	const restart = time.Second
	sleep(ctx, outageDuration-restart)
	running.RestartEngines(0)
	sleep(ctx, restart)
	return running.PublishZoneState(0, rtdocument.ZoneInService)
}

// TestZone prints the results before, during and after an outage of an
// availability zone.
func TestZone(t *testing.T) {
	if !isFullRun() {
		return
	}
	runs := allMeasurements()
	recorders := runAll(t, runs, sendLoadWithOutage)
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
			for _, phase := range zonePhases {
				production := recorders[(&measurement{deployment: d, load: load, policy: Product}).name()].Between(fullWarmUp+phase.start, fullWarmUp+phase.end)
				recorder := recorders[(&measurement{deployment: d, load: load, policy: policy}).name()].Between(fullWarmUp+phase.start, fullWarmUp+phase.end)
				printPhase(fmt.Sprintf("%.0f | %s | %s", 100*load, policy.Name, phase.name), recorder, production)
			}
		}
	}
}

func printPhase(name string, recorder, production *Recorder) {
	all, productionAll := recorder.Summarise(fitsOneEngine), production.Summarise(fitsOneEngine)
	shorts, productionShorts := recorder.Summarise(isShortResult), production.Summarise(isShortResult)
	mediums := recorder.Summarise(func(x *Result) bool { return x.Kind == KindDraft && (x.Band == 2 || x.Band == 3) })
	fmt.Printf("| %s | %d | %d | %d | %d/%d | %d/%d | %s | %.2f | %s |\n", name, all.Sent, all.NotInTime(), all.Late,
		shorts.FirstTextPercentile(50).Milliseconds(), shorts.FirstTextPercentile(95).Milliseconds(),
		mediums.FirstTextPercentile(50).Milliseconds(), mediums.FirstTextPercentile(95).Milliseconds(),
		countRatio(all.NotInTime(), productionAll.NotInTime()), ratio(shorts.FirstTextPercentile(95), productionShorts.FirstTextPercentile(95)), all.formatEnds())
}

// countRatio formats the ratio of two counts. If the second one is zero, it
// formats both counts instead.
func countRatio(count, production int) string {
	if production == 0 {
		return fmt.Sprintf("%d to 0", count)
	}
	return fmt.Sprintf("%.2f", float64(count)/float64(production))
}
