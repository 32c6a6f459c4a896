package rtlimit

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// startingFleet is a number of processes that send as much as they may to one target,
// more processes than the limit has requests.
type startingFleet struct {
	processes int
	bound     float64
	starts    func(process int) []time.Duration // of each process
}

// sends returns when requests are sent to a target, in order. Processes hear at once of
// others that have started.
func (f startingFleet) sends(target string) []time.Duration {
	const step, length = 50 * time.Millisecond, 3 * time.Second
	type process struct {
		position float64
		starts   []time.Duration
		last     time.Duration // of its requests since its last start; -1 for none
	}
	processes := make([]process, f.processes)
	for i := range processes {
		hash := xxhash.Sum64String(fmt.Sprint(target, " vm", i))
		processes[i] = process{position: float64(hash) / math.MaxUint64, starts: f.starts(i), last: -1}
	}
	slices.SortFunc(processes, func(a, b process) int {
		if a.position < b.position {
			return -1
		}
		return 1
	})
	limit := int(0.8 * f.bound)
	var sends []time.Duration
	for at := time.Duration(0); at < length; at += step {
		alone := true
		for _, p := range processes {
			alone = alone && at-p.starts[0] < DiscoveryTime
		}
		rank := 0
		for i := range processes {
			p := &processes[i]
			if at < p.starts[0] {
				continue
			}
			if len(p.starts) > 1 && at >= p.starts[1] {
				p.starts, p.last = p.starts[1:], -1
			}
			share := StartShare(rank, f.processes, at-p.starts[0], p.position, alone)
			rank++
			if (p.last < 0 || at-p.last >= time.Second) && share.ColdPart(limit, f.bound) > 0 {
				p.last = at
				sends = append(sends, at)
			}
		}
	}
	return sends
}

// mostWithinSecond returns the most of some times, in order, within a second.
func mostWithinSecond(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against processes that do not know their ranks yet and together send more to a
// target than it bears while it is cold: if all start together, one after the other or
// twice within a second.
func TestStartShareSum(t *testing.T) {
	const targets = 40
	orders := []struct {
		name   string
		starts func(process int) []time.Duration
	}{
		{"together", func(int) []time.Duration { return []time.Duration{0} }},
		{"one after the other", func(i int) []time.Duration { return []time.Duration{time.Duration(i) * 20 * time.Millisecond} }},
		{"one after the other, slowly", func(i int) []time.Duration { return []time.Duration{time.Duration(i) * 100 * time.Millisecond} }},
		{"twice at once", func(int) []time.Duration { return []time.Duration{0, 100 * time.Millisecond} }},
		{"twice, before the ranks are known", func(int) []time.Duration { return []time.Duration{0, 450 * time.Millisecond} }},
		{"twice, after the ranks are known", func(int) []time.Duration { return []time.Duration{0, 550 * time.Millisecond} }},
		{"twice within a second", func(int) []time.Duration { return []time.Duration{0, 950 * time.Millisecond} }},
	}
	for _, processes := range []int{2, 4, 29, 46, 68, 120} {
		for _, bound := range []float64{1, 3, 8, 26, 44, 59} {
			if float64(processes) <= 0.8*bound {
				continue // no process sends by hash
			}
			for _, order := range orders {
				fleet, worst := startingFleet{processes, bound, order.starts}, 0
				for target := range targets {
					worst = max(worst, mostWithinSecond(fleet.sends(fmt.Sprint("t", target))))
				}
				if float64(worst) > bound {
					t.Errorf("%d processes, %s: up to %d requests within a second, want at most %v", processes, order.name, worst, bound)
				}
			}
		}
	}
}

// Guards against a process that refuses all requests while it does not know its rank:
// with the gateways, engines and the rate of the larger deployment.
func TestStartShareOfEach(t *testing.T) {
	const processes, targets, bound, limit = 46, 72, 44.0, 35
	for i := range processes {
		usable := 0
		for target := range targets {
			hash := xxhash.Sum64String(fmt.Sprintf("cold t%d vm%d", target, i))
			share := StartShare(0, processes, 0, float64(hash)/math.MaxUint64, true)
			usable += share.ColdPart(limit, bound)
		}
		if usable == 0 {
			t.Errorf("process %d of %d may send to none of %d targets at its start, want some", i, processes, targets)
		}
	}
}

// Guards against a start that changes parts where each process has at least one request,
// and against processes that use no more than a part of the limit for good.
func TestColdPart(t *testing.T) {
	const bound = 44.0
	tests := []struct {
		name  string
		share Share
		limit int
		want  int
	}{
		{"enough for all, discovering", StartShare(0, 30, 0, 0, true), 35, 1},
		{"enough for all, settling", StartShare(4, 30, DiscoveryTime, 0, true), 35, 2},
		{"more processes, drawn", StartShare(45, 46, 0, 0.01, true), 35, 1},
		{"more processes, not drawn", StartShare(45, 46, 0, 0.6, true), 35, 0},
		{"more processes, others run", StartShare(45, 46, 0, 0.01, false), 35, 0},
		{"more processes, settling, low rank", StartShare(16, 46, DiscoveryTime, 0.4, true), 35, 1},
		{"more processes, settling, middle rank", StartShare(17, 46, DiscoveryTime, 0.4, true), 35, 0},
		{"more processes, settled, middle rank", StartShare(17, 46, DiscoveryTime+settleTime, 0.4, true), 35, 1},
		{"more processes, settled, last rank", StartShare(45, 46, DiscoveryTime+settleTime, 0.9, true), 35, 0},
		{"no limit at all", StartShare(0, 46, 0, 0, true), 0, 0},
	}
	for _, test := range tests {
		if got := test.share.ColdPart(test.limit, bound); got != test.want {
			t.Errorf("%s: part %d, want %d", test.name, got, test.want)
		}
	}
}
