package rtload

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfleet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
)

// TestSchedule guards against a mix other than that of the design page, and
// against schedules that the same seed does not reproduce.
func TestSchedule(t *testing.T) {
	const rate = 100.0
	for _, mix := range []*Mix{&KavangoMix, &NepGapMix} {
		arrivals := Schedule(7, mix, Phase{1000 * time.Second, rate})
		if !slices.Equal(arrivals, Schedule(7, mix, Phase{1000 * time.Second, rate})) {
			t.Error("seed 7 gave two different schedules")
		}
		drafts := Filter(arrivals, func(a *Arrival) bool { return a.Kind == KindDraft })
		if got := float64(len(drafts)) / 1000; math.Abs(got-rate) > 2 {
			t.Errorf("%v drafts per second, want %v", got, rate)
		}
		long := Filter(drafts, func(a *Arrival) bool { return a.Tokens > 100_000 })
		if got := float64(len(long)) / float64(len(drafts)); math.Abs(got-0.02) > 0.002 {
			t.Errorf("fraction of drafts over 100k tokens: got %v, want 0.02", got)
		}
	}
}

// TestRunOverTCP guards against a load generator that cannot connect to entries
// or loses answers.
func TestRunOverTCP(t *testing.T) {
	fleet, err := rtfleet.New(t.Context(), rtfleet.Options{
		Networks: &rtfleet.Loopback{},
		Document: NepGap.document(),
		Entries:  1, Engines: 1, Services: 1,
		Engine:       rtfake.EngineConfig{Warm: true},
		Agent:        rtsettings.Agent{KVMemory: 400_000, Slots: 8, ColdSlots: 2, PrefillRate: 4e6},
		DrainTimeout: time.Minute,
		MaxTimeLimit: time.Minute,
		Log:          logr.Discard(),
	})
	defer func() {
		if err := fleet.Close(); err != nil {
			t.Error(err)
		}
	}()
	if err != nil {
		t.Fatal(err)
	}
	settings := Settings{
		Organisations: []rtid.Organisation{"large-1", "small-1"},
		DraftService:  draftService, OrderService: orderService, Mix: "nepgap",
		Rate: 10, Duration: time.Second, Seed: 1, BandCount: 2,
	}
	for _, entry := range fleet.Entries {
		settings.Entries = append(settings.Entries, entry.CallerAddress)
	}
	running := RunningDeployment{Fleet: fleet, Driver: &Driver{}, Document: NepGap.document()}
	for _, entry := range settings.Entries {
		running.Driver.Callers = append(running.Driver.Callers, newCaller(entry))
	}
	if err := running.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	if err := Run(t.Context(), settings, &table); err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(table.String(), "\n") {
		if strings.Contains(line, "broken") || strings.Contains(line, "notrun") || strings.Contains(line, "failed") {
			t.Errorf("some requests were not done:\n%s", table.String())
		}
	}
}
