package rtoutlier

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

var epoch = time.Unix(1_000_000, 0)

func targetsOf(count int) []rtid.TargetIncarnation {
	targets := make([]rtid.TargetIncarnation, count)
	for i := range targets {
		targets[i] = rtid.TargetIncarnation{ID: rtid.Target(fmt.Sprint("t", i)), Born: 1}
	}
	return targets
}

// fleet is gateways that exchange reports.
type fleet struct {
	trackers []*Tracker
	targets  []rtid.TargetIncarnation
	now      time.Time
	random   *rand.Rand
}

func newFleet(gateways, targets int) *fleet {
	f := &fleet{targets: targetsOf(targets), now: epoch, random: rand.New(rand.NewPCG(1, 2))}
	for range gateways {
		f.trackers = append(f.trackers, &Tracker{})
	}
	return f
}

// requestRate is the requests per second of the replayed load.
const requestRate = 130

// play sends requests for a time, each to a target that its gateway does not
// avoid, and returns the share of them that failed. Reports are exchanged every 450 ms.
func (f *fleet) play(length time.Duration, failureShare func(target int) float64) float64 {
	step := time.Second / requestRate
	failures, requests := 0, 0
	lastExchange := f.now
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		if f.now.Sub(lastExchange) >= 450*time.Millisecond {
			lastExchange = f.now
			f.exchange()
		}
		tracker := f.trackers[f.random.IntN(len(f.trackers))]
		avoided := make(map[rtid.TargetIncarnation]bool)
		for _, target := range tracker.Outliers(f.targets, f.now) {
			avoided[target] = true
		}
		target := f.random.IntN(len(f.targets))
		for avoided[f.targets[target]] {
			target = f.random.IntN(len(f.targets))
		}
		failed := f.random.Float64() < failureShare(target)
		tracker.Record(f.targets[target], failed, f.now)
		requests++
		if failed {
			failures++
		}
	}
	return float64(failures) / float64(requests)
}

func (f *fleet) exchange() {
	for i, from := range f.trackers {
		reports := from.Reports(f.now)
		for j, to := range f.trackers {
			if i != j {
				to.SetPeerReports(rtid.VM(fmt.Sprint("vm", i)), reports, f.now)
			}
		}
	}
}

// Guards against targets that fail a part of their requests and keep getting as many as
// the others, because no gateway sees enough of their answers.
func TestGreyTargetsOfManyGateways(t *testing.T) {
	f := newFleet(23, 69)
	grey := func(target int) float64 {
		if target < 10 {
			return 0.38
		}
		return 0
	}
	f.play(3*time.Second, grey)
	without := 0.38 * 10 / 69
	if share := f.play(10*time.Second, grey); share > without/2 {
		t.Errorf("%.4f of the requests failed, want at most half of the %.4f without outlier detection", share, without)
	}
	sound := func(int) float64 { return 0 }
	f.play(8*time.Second, sound)
	if avoided := f.trackers[0].Outliers(f.targets, f.now); len(avoided) > 0 {
		t.Errorf("%d targets are still avoided 8 s after they have recovered, want 0", len(avoided))
	}
}

// Guards against load that is moved when the requests or the whole service fail, and
// against single failures that take sound targets out of use.
func TestNoOutliers(t *testing.T) {
	tests := []struct {
		name         string
		targets      int
		failureShare func(target int) float64
	}{
		{"all fail often", 69, func(int) float64 { return 0.5 }},
		{"every hundredth request fails", 69, func(int) float64 { return 0.01 }},
		{"two of three fail", 3, func(target int) float64 { return []float64{0.5, 0.5, 0}[target] }},
		{"one target", 1, func(int) float64 { return 0.9 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(23, test.targets)
			f.play(10*time.Second, test.failureShare)
			f.exchange()
			avoided := f.trackers[0].Outliers(f.targets, f.now)
			if test.name == "every hundredth request fails" && len(avoided) <= 1 {
				return // two failures of few answers may meet by chance
			}
			if len(avoided) > 0 {
				t.Errorf("got %d targets to avoid, want 0", len(avoided))
			}
		})
	}
}

// Guards against reports that no process sends, reports that never expire, and a new
// start of a target that is blamed for the one before it.
func TestReports(t *testing.T) {
	targets := targetsOf(6)
	hostile := []Outcomes{
		{Answers: math.NaN(), Failures: math.NaN()}, {Answers: math.Inf(1), Failures: math.Inf(1)},
		{Answers: 1, Failures: 5}, {Answers: -1, Failures: -1}, {Answers: 1e9, Failures: 1e9},
	}
	var tracker Tracker
	var reports []Report
	for i, outcomes := range hostile {
		reports = append(reports, Report{Target: targets[i], Outcomes: outcomes})
	}
	for i := range 10 * MaxReports {
		reports = append(reports, Report{Target: rtid.TargetIncarnation{ID: rtid.Target(fmt.Sprint("x", i))}, Outcomes: Outcomes{1, 1}})
	}
	tracker.SetPeerReports("vm", reports, epoch)
	if got := tracker.Outliers(targets, epoch); len(got) > 0 {
		t.Errorf("malformed reports: got %v, want none", got)
	}
	if got := len(tracker.peers["vm"].outcomes); got > MaxReports {
		t.Errorf("%d reports of one peer are kept, want at most %d", got, MaxReports)
	}
	tracker.SetPeerReports("vm", []Report{{Target: targets[0], Outcomes: Outcomes{4, 4}}}, epoch)
	if got := tracker.Outliers(targets, epoch); len(got) != 1 || got[0] != targets[0] {
		t.Errorf("got %v, want the failing target", got)
	}
	restarted := append([]rtid.TargetIncarnation{{ID: targets[0].ID, Born: 2}}, targets[1:]...)
	if got := tracker.Outliers(restarted, epoch); len(got) > 0 {
		t.Errorf("after a new start: got %v, want none", got)
	}
	if got := tracker.Outliers(targets, epoch.Add(reportTTL+time.Millisecond)); len(got) > 0 {
		t.Errorf("after the peer fell silent: got %v, want none", got)
	}
}
