package rtplacement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

var now = time.Unix(1000, 0)

// published are the costs of an engine as operators publish them.
var published = &rtcatalog.Engine{
	Slots: 16, Memory: 315000, StepsPerPass: 51,
	StepTime: 850 * time.Microsecond, StepPerRequest: 4250 * time.Nanosecond, StepPerKilotoken: 2850 * time.Nanosecond,
	PrefillPerToken: 5650 * time.Nanosecond, PrefillPerMillionPairs: 184 * time.Microsecond,
}

// engines returns idle candidates.
func engines(n int) []Candidate {
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
	short = Work{Prompt: 5000, Output: 1600, LatencySLO: 300 * time.Millisecond, GapSLO: 250 * time.Millisecond, AbandonTimeout: 2 * time.Second}
	long  = Work{Prompt: 154000, Output: 800, LatencySLO: 3 * time.Second, GapSLO: time.Second, AbandonTimeout: 12 * time.Second}
)

// Guards against a prompt that is sent though it will be late, that waits though
// there is room, or that is held though nothing can serve it.
func TestAdmit(t *testing.T) {
	busy := LongPoolLoad{PrefillBacklog: 400 * time.Millisecond, Engines: 21}
	idle := LongPoolLoad{Engines: 21}
	few := LongPoolLoad{Engines: 5}
	held := func(choice Placement, backlog time.Duration, streams float64) Placement {
		choice.PrefillBacklog, choice.LongRequests = backlog, streams
		return choice
	}
	part := func(length time.Duration) Placement {
		return Placement{PredictedFirstEvent: length + 100*time.Millisecond, PartPrefill: length, Helpers: make([]*rtcatalog.Instance, 11)}
	}
	tests := []struct {
		name     string
		work     Work
		waited   time.Duration
		choice   Placement
		pressure LongPoolLoad
		want     Decision
	}{
		{"short, in time", short, 0, Placement{PredictedFirstEvent: 100 * time.Millisecond, PartPrefill: 30 * time.Millisecond}, busy, Send},
		{"short, late", short, 0, Placement{PredictedFirstEvent: time.Second, PartPrefill: 30 * time.Millisecond}, busy, Send},
		{"short, caller would have left", short, 0, Placement{PredictedFirstEvent: 3 * time.Second}, idle, Refuse},
		{"long, room", long, 0, Placement{PredictedFirstEvent: time.Second, PartPrefill: 200 * time.Millisecond}, idle, Send},
		{"long, engines have enough to read", long, 0, Placement{PredictedFirstEvent: time.Second, PartPrefill: 200 * time.Millisecond}, busy, Wait},
		{"long, late and engines busy", long, 4 * time.Second, Placement{PredictedFirstEvent: time.Second, PartPrefill: 100 * time.Millisecond}, busy, Wait},
		{"long, late and engines idle", long, 4 * time.Second, Placement{PredictedFirstEvent: time.Second, PartPrefill: 100 * time.Millisecond}, idle, Send},
		{"long, caller would have left", long, 11500 * time.Millisecond, Placement{PredictedFirstEvent: time.Second}, idle, Refuse},
		{"a large prompt, room", long, 0, part(800 * time.Millisecond), idle, Send},
		{"a large prompt, engines have enough to read", long, 0, part(800 * time.Millisecond), busy, Wait},
		{"parts that stop streams, lull", long, 0, part(2 * time.Second), idle, Send},
		{"parts that stop streams, engines read", long, 0, held(part(2*time.Second), 400*time.Millisecond, 0), idle, Wait},
		{"parts that stop streams, only other engines read", long, 0, part(2 * time.Second), busy, Send},
		{"parts that stop streams, engines write", long, 0, held(part(2*time.Second), 0, 1), idle, Wait},
		{"the same, later", long, 5 * time.Second, held(part(2*time.Second), 0, 1), idle, Wait},
		{"the same, after half of its caller's patience", long, 6100 * time.Millisecond, held(part(2*time.Second), 0, 1), idle, Refuse},
		{"parts longer than the aim, more engines may come", long, 0, part(3500 * time.Millisecond), idle, Wait},
		{"more than all engines read within the aim", long, 0, part(5 * time.Second), idle, Refuse},
		{"a large prompt, few engines", long, 0, part(2 * time.Second), few, Refuse},
	}
	for _, test := range tests {
		test.work.Waited = test.waited
		if got := Admit(test.work, test.choice, test.pressure); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against long parts beside short requests and against short requests
// that queue while an engine is free.
func TestEngine(t *testing.T) {
	const tight = 6
	crowded := engines(18)
	for i := range tight {
		crowded[i].Load.Requests = 60
	}
	reading := engines(18)
	for i := range 3 {
		reading[i].Load.PrefillBacklog = 400 * time.Millisecond
	}
	blocked := engines(18)
	for i := tight; i < 16; i++ {
		blocked[i].Load.PrefillBacklog = 5 * time.Second
	}
	tests := []struct {
		name       string
		work       Work
		candidates []Candidate
		least      int // order of the engines that may be used
		most       int
		parts      int
	}{
		{"short", short, engines(18), 0, tight, 2},
		{"short, its pool full", short, crowded, tight, 18, 2},
		{"short, some of its pool read", short, reading, 3, tight, 2},
		{"long", long, engines(18), tight, 18, 12},
		{"long, most of its pool taken for long", long, blocked, 16, 18, 2},
		{"very short", Work{Prompt: 300, GapSLO: short.GapSLO, LatencySLO: short.LatencySLO, AbandonTimeout: short.AbandonTimeout}, engines(18), 0, tight, 1},
	}
	for _, test := range tests {
		choice, ok := PlaceOnEngines(published, test.work, test.candidates, PoolState{InteractiveEngines: tight, Gateways: 1})
		if !ok {
			t.Errorf("%s: no choice", test.name)
			continue
		}
		used := append([]*rtcatalog.Instance{choice.Target}, choice.Helpers...)
		if len(used) != test.parts {
			t.Errorf("%s: read in %d parts, want %d", test.name, len(used), test.parts)
		}
		for _, instance := range used {
			i := slices.IndexFunc(test.candidates, func(c Candidate) bool { return c.Instance == instance })
			if i < test.least || i >= test.most {
				t.Errorf("%s: engine %d used, want %d to %d", test.name, i, test.least, test.most-1)
			}
		}
	}
	if _, ok := PlaceOnEngines(published, short, nil, PoolState{}); ok {
		t.Error("choice without engines")
	}
}

// Guards against short requests that are refused while engines are free: a
// gateway of many looks at a few engines only, and a burst that begins while
// most of them read one large prompt must not see just these.
func TestBlockedEngines(t *testing.T) {
	const tight = 6
	work := Work{Prompt: 300, GapSLO: short.GapSLO, LatencySLO: short.LatencySLO, AbandonTimeout: short.AbandonTimeout}
	for round := range 50 {
		candidates := engines(18)
		for i := range candidates {
			candidates[i].TieBreak = uint32((i*7919 + round*104729) % 1009)
			if i != tight-1 {
				candidates[i].Load.PrefillBacklog = 2400 * time.Millisecond
			}
		}
		choice, ok := PlaceOnEngines(published, work, candidates, PoolState{InteractiveEngines: tight, Gateways: 20})
		if !ok || Admit(work, choice, LongPoolLoad{Engines: 18}) != Send {
			t.Fatalf("round %d: first event predicted after %v at %s", round, choice.PredictedFirstEvent, choice.Target.ID)
		}
	}
}

// Guards against pools that do not follow a swing within about a second, or
// leave one kind without engines.
func TestPools(t *testing.T) {
	const fleet, slots = 20, 16
	var pools PoolSizer
	at := now
	run := func(writers int, backlog, d time.Duration) int {
		tight := 0
		for end := at.Add(d); at.Before(end); at = at.Add(10 * time.Millisecond) {
			tight = pools.Resize(fleet, slots, writers, backlog, at)
			if tight < 1 || tight > fleet-leastLong {
				t.Fatalf("%d engines for tight requests", tight)
			}
		}
		return tight
	}
	if got := run(160, 0, 2*time.Second); got*slots < 160 {
		t.Errorf("%d engines for 160 tight requests", got)
	}
	if got := run(20, 400*time.Millisecond, 1500*time.Millisecond); got > 4 {
		t.Errorf("%d engines for 20 tight requests while long reads wait", got)
	}
	if got := run(160, 400*time.Millisecond, 20*time.Millisecond); got*slots < 160 {
		t.Errorf("%d engines right after the burst began", got)
	}
	for engines := range 4 {
		var few PoolSizer
		if got := few.Resize(engines, slots, 100, 0, now); got > engines || engines > 0 && got < 1 {
			t.Errorf("%d of %d engines for tight requests", got, engines)
		}
	}
}

// Guards against more memory than an engine has, and against orders for
// prompts that fit.
func TestHolds(t *testing.T) {
	tests := []struct {
		name   string
		prompt rtid.Tokens
		used   rtid.Tokens // at each other engine
		ok     bool
		holds  int
	}{
		{"fits", 200000, 0, true, 0},
		{"a little over", 300000, 0, true, 1},
		{"twice an engine", 630000, 0, true, 2},
		{"others are half full", 630000, 160000, true, 3},
		{"no memory anywhere", 630000, 310000, false, 0},
	}
	for _, test := range tests {
		candidates := engines(8)
		for i := range candidates[1:] {
			candidates[i+1].Load.Memory = test.used
		}
		holds, ok := PlanReservations(published, Work{Prompt: test.prompt, Output: 1000}, candidates[0].Instance, candidates)
		if ok != test.ok || ok && len(holds) != test.holds {
			t.Errorf("%s: %d holds, %v", test.name, len(holds), ok)
		}
		held := rtid.Tokens(0)
		for _, hold := range holds {
			held += hold.Tokens
			if hold.Target == candidates[0].Instance || hold.Tokens > published.Memory-test.used {
				t.Errorf("%s: %d tokens at %s", test.name, hold.Tokens, hold.Target.ID)
			}
		}
		if ok && test.prompt-held > published.Memory {
			t.Errorf("%s: %d tokens are left for the target", test.name, test.prompt-held)
		}
	}
}

// Guards against work that is counted twice, forgotten or kept after its end.
func TestBook(t *testing.T) {
	var book LoadTracker
	candidates := engines(3)
	choice := Placement{
		Target: candidates[0].Instance, Helpers: []*rtcatalog.Instance{candidates[1].Instance},
		PredictedFirstEvent: 500 * time.Millisecond, PartPrefill: 400 * time.Millisecond,
	}
	flight := book.Start(choice, long, now)
	if l := book.Load("e0", now); l.Requests != 1 || l.PrefillBacklog != choice.PartPrefill || l.Memory != long.Prompt+long.Output {
		t.Errorf("target: %+v", l)
	}
	if l := book.Load("e1", now); l.Requests != 0 || l.PrefillBacklog != choice.PartPrefill || l.Memory != 0 {
		t.Errorf("helper: %+v", l)
	}
	book.SetPeerLoads("peer", map[rtid.Target]Load{"e0": {Requests: 2, PrefillBacklog: time.Second}}, now)
	if l := book.Load("e0", now.Add(time.Second)); l.Requests != 3 || l.PrefillBacklog != choice.PartPrefill/4 {
		t.Errorf("a second later: %+v", l)
	}
	if l := book.Load("e0", now.Add(reportLife+time.Second)); l.Requests != 1 {
		t.Errorf("a silent peer still counts: %+v", l)
	}
	book.PrefillDone(flight)
	if l := book.Load("e0", now); l.PrefillBacklog != time.Second || book.Load("e1", now) != (Load{}) {
		t.Errorf("after the first event: %+v, %+v", l, book.Load("e1", now))
	}
	book.Finish(flight)
	book.Finish(flight)
	if own := book.LocalLoads(now); len(own) != 0 {
		t.Errorf("left at the end: %v", own)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{20, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var scheduler Scheduler
			candidates := engines(n)
			b.ReportAllocs()
			for b.Loop() {
				scheduler.Decide(published, long, candidates, 4, now)
			}
		})
	}
}
