package rtplacement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

var now = time.Unix(1000, 0)

// publishedCosts are the costs of an engine as operators publish them.
var publishedCosts = &rtcatalog.Engine{
	Slots: 16, Memory: 315000, StepsPerPass: 51,
	StepTime: 850 * time.Microsecond, StepPerRequest: 4250 * time.Nanosecond, StepPerKilotoken: 2850 * time.Nanosecond,
	PrefillPerToken: 5650 * time.Nanosecond, PrefillPerMillionPairs: 184 * time.Microsecond,
}

// idleEngines returns candidates without load.
func idleEngines(n int) []Candidate {
	var candidates []Candidate
	for i := range n {
		candidates = append(candidates, Candidate{
			Instance: &rtcatalog.Instance{ID: rtid.Target(fmt.Sprint("e", i)), Slots: 16},
			Hash:     uint32(i),
			TieBreak: uint32(n - i),
		})
	}
	return candidates
}

var (
	shortWork = Work{Prompt: 5000, Output: 1600, LatencySLO: 300 * time.Millisecond, GapSLO: 250 * time.Millisecond, AbandonTimeout: 2 * time.Second}
	longWork  = Work{Prompt: 154000, Output: 800, LatencySLO: 3 * time.Second, GapSLO: time.Second, AbandonTimeout: 12 * time.Second}
)

// begun returns work whose answer has begun.
func begun(work Work) Work {
	work.Begun = true
	return work
}

// Guards against a long prompt that is sent although engines have no room, so
// that it and other requests are late; against one that waits although engines
// have room; and against a request that waits although no engines can serve it
// before its caller gives up, unless its answer has begun.
func TestAdmit(t *testing.T) {
	busyPool := LongPoolLoad{PrefillBacklog: 400 * time.Millisecond, Engines: 21}
	idlePool := LongPoolLoad{Engines: 21}
	fewEngines := LongPoolLoad{Engines: 5}
	withLoad := func(placement Placement, backlog time.Duration, requests float64) Placement {
		placement.PrefillBacklog, placement.Requests = backlog, requests
		return placement
	}
	withPart := func(prefill time.Duration) Placement {
		return Placement{PredictedFirstEvent: prefill + 100*time.Millisecond, PartPrefill: prefill, Helpers: make([]*rtcatalog.Instance, 11)}
	}
	tests := []struct {
		name      string
		work      Work
		waited    time.Duration
		placement Placement
		pool      LongPoolLoad
		want      Decision
	}{
		{"short, in time", shortWork, 0, Placement{PredictedFirstEvent: 100 * time.Millisecond, PartPrefill: 30 * time.Millisecond}, busyPool, Send},
		{"short, predicted late", shortWork, 0, Placement{PredictedFirstEvent: time.Second, PartPrefill: 30 * time.Millisecond}, busyPool, Send},
		{"short, predicted after the abandon timeout", shortWork, 0, Placement{PredictedFirstEvent: 3 * time.Second}, idlePool, Refuse},
		{"long, engines have room", longWork, 0, Placement{PredictedFirstEvent: time.Second, PartPrefill: 200 * time.Millisecond}, idlePool, Send},
		{"long, engines have a backlog", longWork, 0, Placement{PredictedFirstEvent: time.Second, PartPrefill: 200 * time.Millisecond}, busyPool, Wait},
		{"long, late and engines busy", longWork, 4 * time.Second, Placement{PredictedFirstEvent: time.Second, PartPrefill: 100 * time.Millisecond}, busyPool, Wait},
		{"long, late and engines idle", longWork, 4 * time.Second, Placement{PredictedFirstEvent: time.Second, PartPrefill: 100 * time.Millisecond}, idlePool, Send},
		{"long, predicted after the abandon timeout", longWork, 11500 * time.Millisecond, Placement{PredictedFirstEvent: time.Second}, idlePool, Refuse},
		{"large prompt, engines have room", longWork, 0, withPart(800 * time.Millisecond), idlePool, Send},
		{"large prompt, engines have a backlog", longWork, 0, withPart(800 * time.Millisecond), busyPool, Wait},
		{"blocking parts, engines idle", longWork, 0, withPart(2 * time.Second), idlePool, Send},
		{"blocking parts, engines prefill", longWork, 0, withLoad(withPart(2*time.Second), 400*time.Millisecond, 0), idlePool, Wait},
		{"blocking parts, only other engines prefill", longWork, 0, withPart(2 * time.Second), busyPool, Send},
		{"blocking parts, engines decode", longWork, 0, withLoad(withPart(2*time.Second), 0, 1), idlePool, Wait},
		{"blocking parts, engines decode, waited 5 s", longWork, 5 * time.Second, withLoad(withPart(2*time.Second), 0, 1), idlePool, Wait},
		{"blocking parts, engines decode, waited over half of the abandon timeout", longWork, 6100 * time.Millisecond, withLoad(withPart(2*time.Second), 0, 1), idlePool, Refuse},
		{"parts longer than the latency SLO, more engines may be free later", longWork, 0, withPart(3500 * time.Millisecond), idlePool, Wait},
		{"more than all engines prefill within the latency SLO", longWork, 0, withPart(5 * time.Second), idlePool, Refuse},
		{"begun, predicted after the abandon timeout", begun(shortWork), 0, Placement{PredictedFirstEvent: 3 * time.Second}, idlePool, Send},
		{"begun, long, engines have a backlog", begun(longWork), 0, Placement{PredictedFirstEvent: time.Second, PartPrefill: 200 * time.Millisecond}, busyPool, Wait},
		{"begun, blocking parts, engines decode, waited over half of the abandon timeout", begun(longWork), 6100 * time.Millisecond, withLoad(withPart(2*time.Second), 0, 1), idlePool, Send},
		{"begun, more than all engines prefill within the latency SLO", begun(longWork), 0, withPart(5 * time.Second), idlePool, Send},
		{"large prompt, few engines", longWork, 0, withPart(2 * time.Second), fewEngines, Refuse},
	}
	for _, test := range tests {
		test.work.Waited = test.waited
		if got := Admit(test.work, test.placement, test.pool); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against parts of long prompts on the engines of the interactive pool,
// and against short requests that queue while an engine is free.
func TestEngine(t *testing.T) {
	const interactiveEngines = 6
	fullPool := idleEngines(18)
	for i := range interactiveEngines {
		fullPool[i].Load.Requests = 60
	}
	prefilling := idleEngines(18)
	for i := range 3 {
		prefilling[i].Load.PrefillBacklog = 400 * time.Millisecond
	}
	blocked := idleEngines(18)
	for i := interactiveEngines; i < 16; i++ {
		blocked[i].Load.PrefillBacklog = 5 * time.Second
	}
	tests := []struct {
		name       string
		work       Work
		candidates []Candidate
		least      int // index range of the engines that may be used
		most       int
		parts      int
	}{
		{"short", shortWork, idleEngines(18), 0, interactiveEngines, 2},
		{"short, interactive pool full", shortWork, fullPool, interactiveEngines, 18, 2},
		{"short, part of the interactive pool prefills", shortWork, prefilling, 3, interactiveEngines, 2},
		{"long", longWork, idleEngines(18), interactiveEngines, 18, 12},
		{"long, most of the long-prompt pool blocked", longWork, blocked, 16, 18, 2},
		{"very short", Work{Prompt: 300, GapSLO: shortWork.GapSLO, LatencySLO: shortWork.LatencySLO, AbandonTimeout: shortWork.AbandonTimeout}, idleEngines(18), 0, interactiveEngines, 1},
	}
	for _, test := range tests {
		placement, ok := PlaceOnEngines(publishedCosts, test.work, test.candidates, PoolState{InteractiveEngines: interactiveEngines, Gateways: 1})
		if !ok {
			t.Errorf("%s: not placed, want a placement", test.name)
			continue
		}
		used := append([]*rtcatalog.Instance{placement.Target}, placement.Helpers...)
		if len(used) != test.parts {
			t.Errorf("%s: split into %d parts, want %d", test.name, len(used), test.parts)
		}
		for _, instance := range used {
			i := slices.IndexFunc(test.candidates, func(c Candidate) bool { return c.Instance == instance })
			if i < test.least || i >= test.most {
				t.Errorf("%s: engine %d used, want %d to %d", test.name, i, test.least, test.most-1)
			}
		}
	}
	if _, ok := PlaceOnEngines(publishedCosts, shortWork, nil, PoolState{}); ok {
		t.Error("got a placement without engines, want none")
	}
}

// Guards against short requests that are refused while engines are free. One
// of many gateways samples only a few engines. When a burst of short requests
// begins while most engines prefill one large prompt, the sample must not
// consist of these engines alone.
func TestBlockedEngines(t *testing.T) {
	const interactiveEngines = 6
	work := Work{Prompt: 300, GapSLO: shortWork.GapSLO, LatencySLO: shortWork.LatencySLO, AbandonTimeout: shortWork.AbandonTimeout}
	for round := range 50 {
		candidates := idleEngines(18)
		for i := range candidates {
			candidates[i].TieBreak = uint32((i*7919 + round*104729) % 1009)
			if i != interactiveEngines-1 {
				candidates[i].Load.PrefillBacklog = 2400 * time.Millisecond
			}
		}
		placement, ok := PlaceOnEngines(publishedCosts, work, candidates, PoolState{InteractiveEngines: interactiveEngines, Gateways: 20})
		if !ok || Admit(work, placement, LongPoolLoad{Engines: 18}) != Send {
			t.Fatalf("round %d: short request not sent, first event predicted after %v at %s", round, placement.PredictedFirstEvent, placement.Target.ID)
		}
	}
}

// Guards against pools that do not follow a swing of the load within about a
// second, or that leave one kind of request without engines.
func TestPools(t *testing.T) {
	const fleet, slots = 20, 16
	var sizer PoolSizer
	at := now
	run := func(interactiveRequests int, backlog, d time.Duration) int {
		size := 0
		for end := at.Add(d); at.Before(end); at = at.Add(10 * time.Millisecond) {
			size = sizer.Resize(fleet, slots, interactiveRequests, backlog, at)
			if size < 1 || size > fleet-minLongEngines {
				t.Fatalf("interactive pool of %d engines, want at least 1, and room for the smallest long-prompt pool", size)
			}
		}
		return size
	}
	if got := run(160, 0, 2*time.Second); got*slots < 160 {
		t.Errorf("interactive pool of %d engines, want room for 160 requests", got)
	}
	if got := run(20, 400*time.Millisecond, 1500*time.Millisecond); got > 4 {
		t.Errorf("interactive pool of %d engines for 20 requests while long prompts wait, want at most 4", got)
	}
	if got := run(160, 400*time.Millisecond, 20*time.Millisecond); got*slots < 160 {
		t.Errorf("interactive pool of %d engines right after the burst began, want room for 160 requests", got)
	}
	for engines := range 4 {
		var few PoolSizer
		if got := few.Resize(engines, slots, 100, 0, now); got > engines || engines > 0 && got < 1 {
			t.Errorf("interactive pool of %d of %d engines, want at least 1 and at most all", got, engines)
		}
	}
}

// Guards against reservations beyond the memory of an engine, and against
// reservations for prompts that fit into their target.
func TestHolds(t *testing.T) {
	tests := []struct {
		name   string
		prompt rtid.Tokens
		used   rtid.Tokens // memory in use at each other engine
		ok     bool
		count  int // number of reservations
	}{
		{"fits", 200000, 0, true, 0},
		{"a little over", 300000, 0, true, 1},
		{"twice an engine", 630000, 0, true, 2},
		{"others are half full", 630000, 160000, true, 3},
		{"no memory anywhere", 630000, 310000, false, 0},
	}
	for _, test := range tests {
		candidates := idleEngines(8)
		for i := range candidates[1:] {
			candidates[i+1].Load.Memory = test.used
		}
		reservations, ok := PlanReservations(publishedCosts, Work{Prompt: test.prompt, Output: 1000}, Placement{Target: candidates[0].Instance}, candidates)
		if ok != test.ok || ok && len(reservations) != test.count {
			t.Errorf("%s: got %d reservations, enough memory %v", test.name, len(reservations), ok)
		}
		reserved := rtid.Tokens(0)
		for _, reservation := range reservations {
			reserved += reservation.Tokens
			if reservation.Target == candidates[0].Instance || reservation.Tokens > publishedCosts.Memory-test.used {
				t.Errorf("%s: %d tokens reserved at %s, which is the target or has less free memory", test.name, reservation.Tokens, reservation.Target.ID)
			}
		}
		if ok && test.prompt-reserved > publishedCosts.Memory {
			t.Errorf("%s: %d tokens remain for the target, more than its memory", test.name, test.prompt-reserved)
		}
	}
}

// Guards against loads in which a request counts twice, does not count or still
// counts after its end.
func TestBook(t *testing.T) {
	var tracker LoadTracker
	candidates := idleEngines(3)
	placement := Placement{
		Target: candidates[0].Instance, Helpers: []*rtcatalog.Instance{candidates[1].Instance},
		PredictedFirstEvent: 500 * time.Millisecond, PartPrefill: 400 * time.Millisecond,
	}
	request := tracker.Start(placement, longWork, now)
	if l := tracker.Load("e0", now); l.Requests != 1 || l.PrefillBacklog != placement.PartPrefill || l.Memory != longWork.Prompt+longWork.Output {
		t.Errorf("load on the target after the start: %+v", l)
	}
	if l := tracker.Load("e1", now); l.Requests != 0 || l.PrefillBacklog != placement.PartPrefill || l.Memory != 0 {
		t.Errorf("load on the helper after the start: %+v", l)
	}
	tracker.SetPeerLoads("peer", map[rtid.Target]Load{"e0": {Requests: 2, PrefillBacklog: time.Second}}, now)
	if l := tracker.Load("e0", now.Add(time.Second)); l.Requests != 3 || l.PrefillBacklog != placement.PartPrefill/4 {
		t.Errorf("load on the target a second later: %+v", l)
	}
	if l := tracker.Load("e0", now.Add(peerReportTTL+time.Second)); l.Requests != 1 {
		t.Errorf("expired report of a peer still counts: %+v", l)
	}
	tracker.PrefillDone(request)
	if l := tracker.Load("e0", now); l.PrefillBacklog != time.Second || tracker.Load("e1", now) != (Load{}) {
		t.Errorf("loads on target and helper after the first event: %+v, %+v", l, tracker.Load("e1", now))
	}
	tracker.Finish(request)
	tracker.Finish(request)
	if local := tracker.LocalLoads(now); len(local) != 0 {
		t.Errorf("loads after the end: %v, want none", local)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{20, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var scheduler Scheduler
			candidates := idleEngines(n)
			b.ReportAllocs()
			for b.Loop() {
				scheduler.Decide(publishedCosts, longWork, candidates, 4, now)
			}
		})
	}
}

// Guards against an engine with a rate limit that helps with parts of prompts, which
// would use up its limit.
func TestLimitedEnginesDoNotHelp(t *testing.T) {
	tests := []struct {
		name    string
		work    Work
		limited []int
	}{
		{"long prompt, one limited", longWork, []int{3}},
		{"long prompt, many limited", longWork, []int{1, 3, 5, 7, 9, 11}},
		{"long prompt, all limited", longWork, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}},
		{"short prompt, many limited", shortWork, []int{1, 3, 5, 7, 9, 11}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engines := idleEngines(12)
			limited := make(map[rtid.Target]bool)
			for _, i := range test.limited {
				engines[i].Limited = true
				limited[engines[i].Instance.ID] = true
			}
			placement, ok := PlaceOnEngines(publishedCosts, test.work, engines, PoolState{InteractiveEngines: 3, Gateways: 1})
			if !ok {
				t.Fatal("no placement")
			}
			for _, helper := range placement.Helpers {
				if limited[helper.ID] {
					t.Errorf("%s has a rate limit and helps %s", helper.ID, placement.Target.ID)
				}
			}
		})
	}
}

// Guards against many processes that reserve memory at the same engine, because by the
// loads that all of them know it has the most.
func TestReservationsSpread(t *testing.T) {
	const processes, engines = 30, 86
	asked := make(map[rtid.Target]int)
	for i := range processes {
		candidates := idleEngines(engines)
		for j := range candidates {
			candidates[j].Load.Memory = rtid.Tokens(j * 100)
			candidates[j].TieBreak = uint32((j*37 + i*53) % 101)
		}
		reservations, ok := PlanReservations(publishedCosts, Work{Prompt: 400_000, Output: 1000}, Placement{Target: candidates[engines-1].Instance}, candidates)
		if !ok || len(reservations) != 1 {
			t.Fatalf("%d reservations, %v, want one", len(reservations), ok)
		}
		asked[reservations[0].Target.ID]++
	}
	for target, n := range asked {
		if n > processes/10 {
			t.Errorf("%d of %d processes ask %s for memory", n, processes, target)
		}
	}
}

// Guards against memory at an engine outside the placement while its helpers have
// enough: an engine that holds memory prefills a part, so that an engine for interactive
// requests would block these.
func TestReservationsAtHelpers(t *testing.T) {
	work := longWork
	work.Prompt = 500_000
	for _, full := range []bool{false, true} {
		candidates := idleEngines(40)
		placement, ok := PlaceOnEngines(publishedCosts, work, candidates, PoolState{InteractiveEngines: 10, Gateways: 4})
		if !ok {
			t.Fatal("not placed")
		}
		for i := range candidates {
			if helper := slices.Contains(placement.Helpers, candidates[i].Instance); helper {
				candidates[i].Load.Memory = 100_000
				if full {
					candidates[i].Load.Memory = publishedCosts.Memory
				}
			}
		}
		reservations, ok := PlanReservations(publishedCosts, work, placement, candidates)
		if !ok || len(reservations) == 0 {
			t.Fatalf("helpers full %v: %d reservations, %v", full, len(reservations), ok)
		}
		for _, r := range reservations {
			if slices.Contains(placement.Helpers, r.Target) == full {
				t.Errorf("helpers full %v: memory at %s, helper %v", full, r.Target.ID, !full)
			}
		}
	}
}

// Guards against a part of a second or more at engines that still decode interactive
// requests, after a swing from short to long prompts has given them to the other pool.
func TestBlockingPartsBesideInteractive(t *testing.T) {
	work := longWork
	work.Prompt = 500_000
	tests := []struct {
		name        string
		interactive int // requests at each engine
		want        Decision
	}{
		{"idle engines", 0, Send},
		{"interactive requests at each", 2, Wait},
	}
	for _, test := range tests {
		candidates := idleEngines(40)
		for i := range candidates {
			candidates[i].Load = Load{Requests: test.interactive, Interactive: test.interactive}
		}
		placement, ok := PlaceOnEngines(publishedCosts, work, candidates, PoolState{InteractiveEngines: 10, Gateways: 4})
		if !ok || placement.PartPrefill <= blockingPart {
			t.Fatalf("placed %v, parts of %v, want them to block", ok, placement.PartPrefill)
		}
		if got := Admit(work, placement, LongPoolLoadOf(candidates, 10)); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against parts for engines that refuse to help, and against reports of peers that
// name so many that prompts are not split any more.
func TestRefusingEnginesDoNotHelp(t *testing.T) {
	tests := []struct {
		name     string
		work     Work
		refusing int // of 40 engines, every other one first
		used     bool
	}{{"long, some", longWork, 10, false}, {"long, half", longWork, 20, false}, {"long, all", longWork, 40, true}, {"short, half", shortWork, 20, false}, {"short, all", shortWork, 40, true}}
	for _, test := range tests {
		candidates := idleEngines(40)
		for i := range test.refusing {
			at := 2 * i
			if at >= len(candidates) {
				at = at - len(candidates) + 1
			}
			candidates[at].Refuses = true
		}
		placement, ok := PlaceOnEngines(publishedCosts, test.work, candidates, PoolState{InteractiveEngines: 10, Gateways: 1})
		if !ok {
			t.Errorf("%s: not placed", test.name)
		}
		refusing := 0
		for _, helper := range placement.Helpers {
			if slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Instance == helper && c.Refuses }) {
				refusing++
			}
		}
		if len(placement.Helpers) == 0 || (refusing > 0) != test.used {
			t.Errorf("%s: %d of %d helpers refuse, want some: %v", test.name, refusing, len(placement.Helpers), test.used)
		}
	}
}

// Guards against a request that is sent to a target that takes only parts of it from
// this process, and against parts that are kept from such targets: a large prompt needs
// more engines than the parts of one of many gateways reach.
func TestHelperOnly(t *testing.T) {
	largest := longWork
	largest.Prompt = 500_000
	tests := []struct {
		name    string
		work    Work
		targets []int // of 40 engines, those that may be the target
		blocked []int // by a prefill backlog
		helpers int   // at least; -1 if the request is not placed
	}{
		{"short", shortWork, []int{3, 8}, nil, 0},
		{"short, target of the other pool", shortWork, []int{30}, nil, 0},
		{"short, all targets blocked", shortWork, []int{3, 30}, []int{3, 30}, 0},
		{"long", longWork, []int{1, 12, 30}, nil, 10},
		{"long, target of the other pool", longWork, []int{1}, nil, 10},
		{"largest", largest, []int{12, 30}, nil, 16},
		{"largest, target of the other pool", largest, []int{4}, nil, 16},
		{"largest, all targets blocked", largest, []int{12, 30}, []int{12, 30}, 16},
		{"short, no target", shortWork, nil, nil, -1},
		{"largest, no target", largest, nil, nil, -1},
	}
	for _, test := range tests {
		for _, gateways := range []int{1, 34, 300} {
			t.Run(fmt.Sprint(test.name, " ", gateways), func(t *testing.T) {
				candidates := idleEngines(40)
				for i := range candidates {
					candidates[i].HelperOnly = !slices.Contains(test.targets, i)
				}
				for _, i := range test.blocked {
					candidates[i].Load.PrefillBacklog = 2 * blockingPart
				}
				placement, ok := PlaceOnEngines(publishedCosts, test.work, candidates, PoolState{InteractiveEngines: 10, Gateways: gateways})
				if !ok || test.helpers < 0 {
					if ok != (test.helpers >= 0) {
						t.Errorf("placed: %v", ok)
					}
					return
				}
				if !slices.ContainsFunc(test.targets, func(i int) bool { return candidates[i].Instance == placement.Target }) {
					t.Errorf("target %s takes only parts", placement.Target.ID)
				}
				if len(placement.Helpers) < test.helpers || slices.Contains(placement.Helpers, placement.Target) {
					t.Errorf("%d helpers, want %d or more, none of them the target", len(placement.Helpers), test.helpers)
				}
			})
		}
	}
}

// Guards against a placement that panics, has a target that takes no request, uses one
// for nothing but parts that takes none, or uses one twice, whatever the candidates are.
func TestPlacementOfAnyCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := idleEngines(rapid.IntRange(0, 24).Draw(t, "engines"))
		for i := range candidates {
			c := &candidates[i]
			c.Limited, c.HelperOnly = rapid.IntRange(0, 3).Draw(t, "limited") == 0, rapid.Bool().Draw(t, "helper only")
			c.Load.Requests = rapid.IntRange(0, 3).Draw(t, "requests")
			c.Load.PrefillBacklog = time.Duration(rapid.IntRange(0, 2).Draw(t, "backlog")) * blockingPart * 3 / 4
		}
		work := rapid.SampledFrom([]Work{shortWork, longWork}).Draw(t, "work")
		work.Prompt = rtid.Tokens(rapid.IntRange(1, 800_000).Draw(t, "prompt"))
		pools := PoolState{InteractiveEngines: rapid.IntRange(0, 24).Draw(t, "interactive"), Gateways: rapid.IntRange(1, 40).Draw(t, "gateways")}
		placement, ok := PlaceOnEngines(publishedCosts, work, candidates, pools)
		if possible := slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.HelperOnly }); ok != possible {
			t.Fatalf("placed %v, want %v", ok, possible)
		}
		if !ok {
			return
		}
		used := make(map[*rtcatalog.Instance]bool)
		for i, instance := range append([]*rtcatalog.Instance{placement.Target}, placement.Helpers...) {
			c := candidates[slices.IndexFunc(candidates, func(c Candidate) bool { return c.Instance == instance })]
			if used[instance] || i == 0 && c.HelperOnly || i > 0 && c.Limited {
				t.Errorf("place %d of the request: %+v", i, c)
			}
			used[instance] = true
		}
	})
}

// Guards against a request without a prompt that is sent to a target which takes none
// from this process.
func TestHelperOnlyOfService(t *testing.T) {
	candidates := idleEngines(2)
	candidates[0].HelperOnly, candidates[1].Load.Requests = true, 5
	if placement, ok := PlaceOnService(candidates); !ok || placement.Target != candidates[1].Instance {
		t.Errorf("request without a prompt: got %v, %v, want the target that takes it", placement.Target, ok)
	}
}

// Guards against pools that follow a swing of the load the later the more engines there
// are. After a burst of short prompts, long ones need the engines within about a second.
func TestPoolsFollowSwing(t *testing.T) {
	const slots, step, bound = 10, 20 * time.Millisecond, 1200 * time.Millisecond
	for _, engines := range []int{21, 69, 86, 300, 1000} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			var pools PoolSizer
			at := now
			resize := func(requests int, span time.Duration) int {
				for end := at.Add(span); at.Before(end); at = at.Add(step) {
					pools.Resize(engines, slots, requests, 0, at)
				}
				return pools.Size()
			}
			busy := resize(engines*slots/2, 2*time.Second)
			idle := resize(engines*slots/10, 10*time.Second)
			resize(engines*slots/2, 10*time.Second)
			if got := resize(engines*slots/10, bound); got > idle || idle >= busy {
				t.Errorf("%d engines are left for short prompts after %v, want %d as after 10 s; %d were in the burst", got, bound, idle, busy)
			}
		})
	}
}
