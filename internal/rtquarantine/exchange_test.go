package rtquarantine

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// digestInterval is the interval at which the processes of a fleet exchange
// observations, and maxDelay the longest delay of one.
const (
	digestInterval = 150 * time.Millisecond
	maxDelay       = 60 * time.Millisecond
	fleetSize      = 7
)

// message is a list of observations on its way.
type message struct {
	to           int
	arrival      time.Time
	observations []Observation
}

// fleet is a number of processes that exchange observations.
type fleet struct {
	random      *rand.Rand
	delay       time.Duration // longest delay of a digest
	registers   []*Register
	messages    []message
	now         time.Time
	quarantined map[rtid.Part]bool // that any process reported as newly in quarantine
}

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), delay: maxDelay, now: startTime, quarantined: make(map[rtid.Part]bool)}
	for range fleetSize {
		f.registers = append(f.registers, &Register{})
	}
	return f
}

// advance lets time pass, with the exchanges that are due.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		next := startTime.Add((f.now.Sub(startTime)/digestInterval + 1) * digestInterval)
		if end.Before(next) {
			next = end
		}
		for _, m := range f.messages {
			if m.arrival.Before(next) {
				next = m.arrival
			}
		}
		f.now = next
		f.deliver()
		if f.now.Sub(startTime)%digestInterval == 0 {
			f.exchange()
		}
	}
}

// exchange sends the observations of each process to all others.
func (f *fleet) exchange() {
	for from, r := range f.registers {
		observations := r.Observations(f.now)
		for to := range f.registers {
			if to != from && len(observations) > 0 {
				delay := 1 + time.Duration(f.random.Int64N(int64(f.delay)))
				f.messages = append(f.messages, message{to, f.now.Add(delay), observations})
			}
		}
	}
}

// deliver merges the messages that have arrived.
func (f *fleet) deliver() {
	f.messages = slices.DeleteFunc(f.messages, func(m message) bool {
		if m.arrival.After(f.now) {
			return false
		}
		f.report(f.registers[m.to].Merge(m.observations, f.now))
		return true
	})
}

func (f *fleet) report(parts []rtid.Part) {
	for _, part := range parts {
		f.quarantined[part] = true
	}
}

// crash records a crash at one process.
func (f *fleet) crash(process, target int, parts ...rtid.Part) {
	f.report(f.registers[process].RecordCrash(targetOf(target), parts, time.Time{}, f.now))
}

// decisions returns what all processes decide about a part, sorted and without
// duplicates.
func (f *fleet) decisions(part rtid.Part) []Decision {
	var decisions []Decision
	for _, r := range f.registers {
		decisions = append(decisions, r.Check(partsOf(part), f.now, nil).Decision)
	}
	slices.Sort(decisions)
	return slices.Compact(decisions)
}

// Guards against a deadly part that no process rejects because each has seen only
// one crash.
func TestCrashesSeenByDifferentProcesses(t *testing.T) {
	f := newFleet(1)
	for i := range 3 {
		f.crash(i, i, "d")
		f.advance(300 * time.Millisecond)
	}
	f.advance(300 * time.Millisecond)
	if got := f.decisions("d"); !slices.Equal(got, []Decision{Reject}) {
		t.Errorf("decisions %v, want Reject by all", got)
	}
}

// Guards against parts in quarantine after the loss of zones, of which each
// process notices a share at its own time.
func TestZoneLossQuarantinesParts(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed)
		for _, zone := range []int{0, 10} {
			detected := make(map[int][]func()) // by the delay in steps of 10 ms
			for process := range f.registers {
				for target := zone; target < zone+7; target++ {
					delay := f.random.IntN(10)
					detected[delay] = append(detected[delay], func() { f.crash(process, target, "a", "b") })
				}
			}
			for delay := range 10 {
				for _, detect := range detected[delay] {
					detect()
				}
				f.advance(10 * time.Millisecond)
			}
			f.advance(58 * time.Second)
		}
		if len(f.quarantined) > 0 {
			t.Errorf("seed %d: in quarantine: %v, want none", seed, f.quarantined)
		}
	}
}

// Guards against crashes that move away from their true time with each exchange,
// until one moment counts as several and successes refute crashes after them.
func TestExchangeMovesCrashes(t *testing.T) {
	const detection = 90 // ms
	for seed := range uint64(5) {
		f := newFleet(seed)
		crashed := []int{12, 40}[seed%2]
		for target := range crashed {
			f.crash(f.random.IntN(fleetSize), target, "live", "refuted")
			f.advance(detection * time.Millisecond / time.Duration(crashed))
		}
		f.advance(200 * time.Millisecond)
		f.registers[0].RecordSound(partsOf("refuted"), f.now)
		latest := at(detection).Add(maxDelay)
		for range 40 {
			f.advance(time.Second)
			for process, r := range f.registers {
				for part, s := range r.suspects {
					for _, c := range slices.Concat(s.live, s.settled) {
						if c.at.After(latest) {
							t.Fatalf("seed %d, process %d, after %v: %s: crash of %s at %v, want at most %v", seed, process, f.now.Sub(startTime), part, c.target, c.at.Sub(startTime), latest.Sub(startTime))
						}
					}
				}
			}
		}
	}
}

// Guards against targets of a lost zone that a process counts again because a peer
// notices their end late.
func TestLateReportCountsAgain(t *testing.T) {
	f := newFleet(1)
	for target := range 20 {
		f.crash(0, target, "a")
	}
	for target := range 3 {
		f.advance(simultaneousCrashes + maxDelay)
		f.crash(fleetSize-1, 16-target, "a")
	}
	f.advance(2 * time.Second)
	for process, r := range f.registers[:fleetSize-1] {
		if s := r.suspects["a"]; s.level != 1 {
			t.Errorf("process %d: level %d, want 1", process, s.level)
		}
	}
}

// Guards against a popular part that is rejected because the process that sees a
// crash sees no success.
func TestPopularPartOfPeersQuarantined(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed)
		for i := range 200 {
			if i%5 == 0 {
				f.crash(f.random.IntN(fleetSize), i/5%21, "popular", "d")
			}
			f.advance(100 * time.Millisecond)
			f.registers[f.random.IntN(fleetSize)].RecordSound(partsOf("popular"), f.now)
		}
		if !maps.Equal(f.quarantined, map[rtid.Part]bool{"d": true}) {
			t.Errorf("seed %d: in quarantine: %v, want d only", seed, f.quarantined)
		}
	}
}

// Guards against processes that together probe a deadly part again and again, and
// against crashes beyond the five from which the platform counts.
func TestProbesOfAllProcesses(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed)
		crashes, probes := 0, 0
		for f.now.Sub(startTime) < 7*time.Minute {
			process := f.random.IntN(fleetSize)
			designated := func(rtid.Part) bool { return process == 3 }
			switch f.registers[process].Check(partsOf("first", "d"), f.now, designated).Decision {
			case Probe:
				probes++
				fallthrough
			case Admit:
				crashes++
				f.crash(process, f.random.IntN(21), "first", "d")
			case Reject:
			}
			f.advance(400 * time.Millisecond)
			f.registers[f.random.IntN(fleetSize)].RecordSound(partsOf("first"), f.now)
		}
		// One crash more if a target crashes twice, and one before the last digest.
		if probes < 1 || probes > 3 || crashes-probes > quarantineCrashes+2 {
			t.Errorf("seed %d: %d probes and %d other crashes, want 1 to 3 and at most %d", seed, probes, crashes-probes, quarantineCrashes+2)
		}
	}
}

// Guards against a harmless part that some processes go on rejecting after one has
// seen it succeed.
func TestSuccessLiftsEverywhere(t *testing.T) {
	f := newFleet(1)
	for i := range 4 {
		f.crash(i, i, "d")
		f.advance(500 * time.Millisecond)
	}
	if got := f.decisions("d"); !slices.Equal(got, []Decision{Reject}) {
		t.Fatalf("decisions %v, want Reject by all", got)
	}
	f.registers[5].RecordSound(partsOf("d"), f.now)
	f.advance(300 * time.Millisecond)
	if got := f.decisions("d"); !slices.Equal(got, []Decision{Admit}) {
		t.Errorf("decisions %v, want Admit by all", got)
	}
	f.registers[2] = &Register{}
	f.advance(3 * time.Minute)
	for i, r := range f.registers {
		if dump := r.Dump(f.now); len(dump) > 0 {
			t.Errorf("process %d still has %+v, want nothing", i, dump)
		}
	}
}

// Guards against a restarted process that admits a part in quarantine.
func TestRestartForgetsQuarantine(t *testing.T) {
	f := newFleet(1)
	for i := range 3 {
		f.crash(0, i, "d")
		f.advance(500 * time.Millisecond)
	}
	for i := range f.registers {
		f.registers[i] = &Register{}
		f.advance(300 * time.Millisecond)
	}
	if got := f.decisions("d"); !slices.Equal(got, []Decision{Reject}) {
		t.Errorf("decisions %v, want Reject by all", got)
	}
}

// Guards against processes that keep old evidence alive by sending it to each
// other for ever.
func TestForgottenEvidenceReturns(t *testing.T) {
	f := newFleet(1)
	f.delay = MaxDelay
	f.crash(0, 0, "a", "b")
	f.advance(2 * f.delay)
	f.registers[1].RecordSound(partsOf("b"), f.now)
	f.advance(suspicionTime + f.delay)
	for i, r := range f.registers {
		if dump := r.Dump(f.now); len(dump) > 0 {
			t.Errorf("process %d still has %+v, want nothing", i, dump)
		}
	}
}

// Guards against a flood of fresh parts that keeps the evidence against a deadly
// one from being sent.
func TestFloodHidesEvidence(t *testing.T) {
	f := newFleet(1)
	for i := range 3 {
		parts := partsOf("z")
		for j := range 100 {
			parts = append(parts, rtid.Part(fmt.Sprint("fresh", i, "-", j)))
		}
		f.crash(i, i, parts...)
		f.advance(2 * time.Second)
	}
	if got := f.decisions("z"); !slices.Equal(got, []Decision{Reject}) {
		t.Errorf("decisions %v, want Reject by all", got)
	}
}

// shareOf is what one process sees: crashes beside parts and successes.
type shareOf []event

// drawShares draws the events of a deployment and the share of each process. A
// crash may be seen by several processes with some delay. pauses draws the time
// between crashes.
func drawShares(t *rapid.T, pauses *rapid.Generator[int], maxDetection int) []shareOf {
	shares := make([]shareOf, fleetSize)
	parts := rapid.SliceOfNDistinct(rapid.SampledFrom(partsOf("a", "b", "c", "d")), 1, 4, rapid.ID)
	ms := 0
	for i := range rapid.IntRange(1, maxReportedCrashes).Draw(t, "crashes") {
		ms += pauses.Draw(t, "pause")
		beside := parts.Draw(t, "beside")
		for _, process := range rapid.SliceOfNDistinct(rapid.IntRange(0, fleetSize-1), 1, 3, rapid.ID).Draw(t, "seen by") {
			delay := rapid.IntRange(0, maxDetection).Draw(t, "delay")
			shares[process] = append(shares[process], event{ms + delay, []int{i}, beside})
		}
		if rapid.IntRange(0, 3).Draw(t, "success") == 0 {
			process := rapid.IntRange(0, fleetSize-1).Draw(t, "success at")
			shares[process] = append(shares[process], event{ms + 500, nil, parts.Draw(t, "sound")})
		}
	}
	for _, share := range shares {
		slices.SortStableFunc(share, func(a, b event) int { return cmp.Compare(a.ms, b.ms) })
	}
	return shares
}

// state returns the evidence of a register as text.
func state(r *Register, now time.Time) string {
	r.evict(now)
	text := ""
	for _, part := range slices.Sorted(maps.Keys(r.suspects)) {
		s := r.suspects[part]
		text += fmt.Sprintf("%s: live %v, settled %v, level %d, until %v\n", part, s.live, s.settled, s.level, s.until)
	}
	return text
}

// observationsOf returns the observations of each share.
func observationsOf(shares []shareOf, now time.Time) [][]Observation {
	var all [][]Observation
	for _, share := range shares {
		var r Register
		play(&r, share)
		all = append(all, r.Observations(now))
	}
	return all
}

// Guards against evidence that depends on the order or the number of the digests
// in which it arrives.
func TestMergeOrderChangesEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := at(13500)
		all := observationsOf(drawShares(t, rapid.IntRange(0, 2000), 200), now)
		var ordered, shuffled Register
		for _, observations := range all {
			ordered.Merge(observations, now)
		}
		order := rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 0, 1, 2, 3, 4, 5, 6}).Draw(t, "order")
		for _, i := range order {
			shuffled.Merge(all[i], now)
			shuffled.Merge(shuffled.Observations(now), now)
		}
		if got, want := state(&shuffled, now), state(&ordered, now); got != want {
			t.Fatalf("order %v:\n%swant\n%s", order, got, want)
		}
	})
}

// Guards against a crash that counts twice because reports of it arrive with
// different delays.
func TestDelayedReportCountedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registers := []*Register{{}, {}, {}}
		elapsed := 0
		registers[0].RecordCrash(targetOf(0), partsOf("a"), time.Time{}, at(0))
		registers[1].RecordCrash(targetOf(0), partsOf("a"), time.Time{}, at(100))
		for range rapid.IntRange(1, 60).Draw(t, "exchanges") {
			from := rapid.IntRange(0, 2).Draw(t, "from")
			to := rapid.IntRange(0, 2).Draw(t, "to")
			sent := at(100 + elapsed)
			elapsed += rapid.IntRange(0, 400).Draw(t, "delay")
			registers[to].Merge(registers[from].Observations(sent), at(100+elapsed))
		}
		for i, r := range registers {
			for _, suspect := range r.Dump(at(100 + elapsed)) {
				if suspect.Crashes != 1 {
					t.Fatalf("register %d: %+v, want one crash", i, suspect)
				}
			}
		}
	})
}

// Guards against processes that disagree for good after each has seen a share of
// the crashes and successes. Crashes are simultaneous or well apart: with delays,
// processes cannot agree on a time of exactly simultaneousCrashes.
func TestProcessesDisagree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"))
		shares := drawShares(t, rapid.OneOf(rapid.Just(0), rapid.IntRange(500, 2000)), 50)
		last := 0
		for f.now.Before(at(16000)) {
			for process, share := range shares {
				for _, e := range share {
					if e.ms >= int(f.now.Sub(startTime).Milliseconds()) && e.ms < int(f.now.Sub(startTime).Milliseconds())+10 {
						play(f.registers[process], []event{{int(f.now.Sub(startTime).Milliseconds()), e.targets, e.parts}})
						last = e.ms
					}
				}
			}
			f.advance(10 * time.Millisecond)
			if f.now.After(at(last + 2000)) {
				break
			}
		}
		f.advance(time.Second)
		for _, part := range partsOf("a", "b", "c", "d") {
			if got := f.decisions(part); len(got) != 1 {
				t.Fatalf("%s: decisions %v, want the same by all", part, got)
			}
		}
	})
}

// Guards against evidence that comes back or stays because a peer's success
// arrives before it, after it, or by way of a third process.
func TestPeersSuccessInAnyOrder(t *testing.T) {
	now := at(2000)
	var crashed, partial, sound Register
	play(&crashed, crashesEvery(500, 3, "d"))
	play(&partial, crashesEvery(500, 1, "d"))
	sound.Merge(crashed.Observations(at(1400)), at(1400))
	sound.RecordSound(partsOf("d"), at(1500))
	digests := [][]Observation{crashed.Observations(now), partial.Observations(now), sound.Observations(now)}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}, {2, 0, 2, 1, 0}} {
		var r, third Register
		for _, i := range order {
			r.Merge(digests[i], now)
			third.Merge(r.Observations(now), now)
		}
		for _, receiver := range []*Register{&r, &third} {
			if dump := receiver.Dump(now); len(dump) != 1 || dump[0].Crashes != 0 {
				t.Errorf("order %v: %+v, want no evidence", order, dump)
			}
		}
	}
	// A process that has seen the success learns of the crashes afterwards.
	var early Register
	early.RecordSound(partsOf("d"), at(1500))
	early.Merge(digests[0], now)
	crashed.Merge(early.Observations(now), now)
	if verdict := crashed.Check(partsOf("d"), now, nil); verdict.Decision != Admit {
		t.Errorf("after the success of a process that did not know of the crashes: %v, want Admit", verdict.Decision)
	}
}
