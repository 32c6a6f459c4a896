package rtroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// warm returns an idle warm target.
func warm(name string, zone rtid.Zone) Report {
	return Report{Target: rtid.Target(name), Zone: zone, Alive: true, Ready: true, Limit: 10, Slots: 10, PrefillRate: 10_000}
}

// fleet returns n idle warm targets in zones a, b and c.
func fleet(n int) []Report {
	reports := make([]Report, n)
	for i := range reports {
		reports[i] = warm(fmt.Sprintf("engine-%d", i), rtid.Zone("abc"[i%3:i%3+1]))
	}
	return reports
}

// Guards against new work for a target that is not alive, not ready or draining,
// or whose zone is out.
func TestEligible(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Report)
		want   bool
	}{
		{"warm", func(*Report) {}, true},
		{"silent", func(r *Report) { r.Alive = false }, false},
		{"leaving", func(r *Report) { r.Draining = true }, false},
		{"starting", func(r *Report) { r.Ready = false }, false},
		{"zone out", func(r *Report) { r.Zone = "out" }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := warm("engine-1", "in")
			test.change(&report)
			if got := report.Eligible(func(zone rtid.Zone) bool { return zone == "in" }); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against load that oscillates between zones because the spill starts and
// stops at the same utilisation.
func TestSpillHysteresis(t *testing.T) {
	var spill Spill
	steps := []struct {
		utilisation float64
		want        bool
	}{{0.5, false}, {0.89, false}, {0.90, true}, {0.80, true}, {0.76, true}, {0.75, false}, {0.89, false}, {1.5, true}}
	for _, step := range steps {
		fraction := spill.Update(step.utilisation)
		if spill.Active() != step.want {
			t.Errorf("at utilisation %v: spills %v, want %v", step.utilisation, spill.Active(), step.want)
		}
		if fraction < 0 || fraction > 1 || fraction > 0 && !step.want {
			t.Errorf("at utilisation %v: fraction %v of the requests spills, want 0 to 1, and 0 unless the zone spills", step.utilisation, fraction)
		}
	}
}

// Guards against a wrong zone: another zone while the own has free slots, the own
// zone while it is full, or a zone whose targets are still cold.
func TestChooseZone(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Report)
		rates  map[rtid.Zone][2]float64 // planned, measured
		want   rtid.Zone                // zone of at least 150 of 200 requests
	}{
		{"idle stays", func(*Report) {}, nil, "a"},
		{"full places spill", func(r *Report) {
			if r.Zone != "c" {
				r.Running = 10
			}
		}, nil, "c"},
		{"planned rate reached", func(r *Report) {
			if r.Zone == "b" {
				r.Running = 9
			}
		}, map[rtid.Zone][2]float64{"a": {100, 95}}, "c"},
		{"planned rate of a cold zone reached", func(r *Report) {
			r.Limit = 5
			if r.Zone == "b" {
				r.Running = 5
			}
		}, map[rtid.Zone][2]float64{"a": {100, 50}}, "c"},
		{"cold zone gets little", func(r *Report) {
			switch r.Zone {
			case "a":
				r.Running = 10
			case "b":
				r.Limit, r.Running = 1, 1
			}
		}, nil, "c"},
		{"cold own zone spills", func(r *Report) {
			if r.Zone == "a" {
				r.Limit, r.Running = 1, 1
			}
			if r.Zone == "b" {
				r.Running = 10
			}
		}, nil, "c"},
		{"all full takes the earliest", func(r *Report) {
			r.Running = 10
			r.QueuedTokens = 50_000
			if r.Zone == "b" {
				r.QueuedTokens = 1000
			}
		}, nil, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reports := fleet(9)
			for i := range reports {
				test.change(&reports[i])
			}
			pool := NewPool(reports, "entry-1")
			for zone, rate := range test.rates {
				pool.SetRate(zone, rate[0], rate[1])
			}
			count := countZone(pool, test.want)
			if count < 150 {
				t.Errorf("%d of 200 requests in zone %s, want at least 150", count, test.want)
			}
		})
	}
}

// countZone returns how many of 200 requests of an entry in zone a are placed in
// zone want.
func countZone(pool *Pool, want rtid.Zone) int {
	random := newRandom()
	var spill Spill
	count := 0
	for range 200 {
		if zone, ok := pool.ChooseZone("a", &spill, Request{Tokens: 1000}, random); ok && zone == want {
			count++
		}
	}
	return count
}

// Guards against short prompts behind a long prefill, long prompts at targets
// that get none, and a second offer to a target that has refused.
func TestChooseTarget(t *testing.T) {
	reports := make([]Report, 10)
	for i := range reports {
		reports[i] = warm(fmt.Sprintf("engine-%d", i), "a")
	}
	for i := range reports {
		reports[i].QueuedTokens = 600_000
	}
	reports[3].QueuedTokens, reports[3].PrefillTokens = 0, 500_000
	pool := NewPool(reports, "entry-1")
	random := newRandom()
	exclude := []rtid.Target{"engine-1", "engine-2"}
	for i := range 500 {
		short := Request{Tokens: 500, Class: rtid.ClassShort, Prefix: uint64(i), Exclude: exclude}
		if target, _ := pool.ChooseTarget("a", short, random); target == "engine-3" {
			t.Fatal("short prompt was placed behind a long prefill")
		}
		long := Request{Tokens: 500_000, Class: rtid.ClassLong, Prefix: uint64(i), Exclude: exclude}
		target, ok := pool.ChooseTarget("a", long, random)
		if !ok || pool.targets[pool.index[target]].noLongPrompts {
			t.Fatalf("long prompt was placed at %s, which must get no long prompts", target)
		}
		if long.excludes(target) {
			t.Fatalf("request was placed again at %s, which is excluded", target)
		}
	}
	short := Request{Class: rtid.ClassShort}
	for _, report := range reports {
		short.Exclude = append(short.Exclude, report.Target)
	}
	if target, ok := pool.ChooseTarget("a", short, random); ok {
		t.Errorf("got target %s, although all are excluded", target)
	}
}

// Guards against offers of prompts that no target can prefill in time, and
// against a refusal because of load or an unknown rate.
func TestPossible(t *testing.T) {
	tests := []struct {
		name      string
		change    func(*Report)
		remaining time.Duration
		want      bool
	}{
		{"in time", func(*Report) {}, 10 * time.Second, true},
		{"a little late by the reported rate", func(*Report) {}, 9 * time.Second, true},
		{"far too late", func(*Report) {}, 5 * time.Second, false},
		{"load does not count", func(r *Report) { r.QueuedTokens = 1_000_000 }, 10 * time.Second, true},
		{"rate not known", func(r *Report) { r.PrefillRate = 0 }, time.Second, true},
		{"no time limit", func(*Report) {}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := warm("engine-1", "a")
			test.change(&report)
			pool := NewPool([]Report{report}, "entry-1")
			if got := pool.Feasible(Request{Tokens: 100_000, Remaining: test.remaining}); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against lost cache hits because the same prefix is sent to several
// targets, and against one popular prefix that overloads its target.
func TestAffinity(t *testing.T) {
	pool := NewPool(fleet(30), "entry-1")
	random := newRandom()
	request := Request{Tokens: 2000, Class: rtid.ClassShort, Prefix: PrefixHash([]byte("minutes of the court"))}
	first, _ := pool.ChooseTarget("a", request, random)
	for range 20 {
		if target, _ := pool.ChooseTarget("a", request, random); target != first {
			t.Fatalf("same prefix was placed at %s and %s", first, target)
		}
	}
	most := 0
	counts := map[rtid.Target]int{}
	for range 50 {
		target, _ := pool.ChooseTarget("a", request, random)
		pool.AddPending(target, Pending{Tokens: request.Tokens, Requests: 1})
		counts[target]++
		most = max(most, counts[target])
	}
	if most > 10 {
		t.Errorf("one of ten targets got %d of 50 requests, want at most 10", most)
	}
}

// Guards against work that is counted twice after the report that includes it,
// and against records that are never removed.
func TestFlights(t *testing.T) {
	var inFlight InFlight
	start := time.Unix(100, 0)
	first := inFlight.Add("engine-1", 10)
	second := inFlight.Add("engine-1", 5)
	if got := inFlight.Pending("engine-1", start); got != (Pending{Tokens: 15, Requests: 2}) {
		t.Errorf("before the replies: got %+v, want 15 tokens and 2 requests", got)
	}
	inFlight.MarkAccepted("engine-1", first, start.Add(time.Second))
	if got := inFlight.Pending("engine-1", start); got.Requests != 2 {
		t.Errorf("accepted after the report: got %+v, want 2 requests", got)
	}
	if got := inFlight.Pending("engine-1", start.Add(time.Second)); got.Requests != 1 {
		t.Errorf("included in the report: got %+v, want 1 request", got)
	}
	inFlight.Remove("engine-1", second)
	if len(inFlight.targets) != 0 {
		t.Errorf("offers left after the last was removed: %v", inFlight.targets)
	}
}

// Guards against a decision whose cost grows with the number of targets.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			pool := NewPool(fleet(n), "entry-1")
			random := newRandom()
			var spill Spill
			request := Request{Tokens: 1000, Class: rtid.ClassShort}
			b.ReportAllocs()
			for b.Loop() {
				request.Prefix++
				zone, _ := pool.ChooseZone("a", &spill, request, random)
				if _, ok := pool.ChooseTarget(zone, request, random); !ok {
					b.Fatal("no target for the request")
				}
			}
		})
	}
}

// BenchmarkNewPool measures a pool refresh, which happens several times a second.
func BenchmarkNewPool(b *testing.B) {
	for _, n := range []int{20, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			reports := fleet(n)
			b.ReportAllocs()
			for b.Loop() {
				NewPool(reports, "entry-1")
			}
		})
	}
}
