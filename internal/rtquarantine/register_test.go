package rtquarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time some milliseconds after startTime.
func at(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

func targetOf(i int) rtid.Target { return rtid.Target(fmt.Sprint("i-", i)) }

func partsOf(parts ...rtid.Part) []rtid.Part { return parts }

// event is a crash of targets beside parts, or a success of parts, at a time in
// milliseconds.
type event struct {
	ms      int
	targets []int // that crash; none for a success
	parts   []rtid.Part
}

// play records events and returns the parts that they put into quarantine.
func play(r *Register, events []event) []rtid.Part {
	var quarantined []rtid.Part
	for _, e := range events {
		if len(e.targets) == 0 {
			r.RecordSound(e.parts, at(e.ms))
		}
		for _, target := range e.targets {
			quarantined = append(quarantined, r.RecordCrash(targetOf(target), e.parts, time.Time{}, at(e.ms))...)
		}
	}
	return quarantined
}

// crashesEvery returns crashes of different targets at an interval.
func crashesEvery(ms, count int, parts ...rtid.Part) []event {
	var events []event
	for i := range count {
		events = append(events, event{i * ms, []int{i}, parts})
	}
	return events
}

// repeatedCrashes returns crashes of one target at an interval.
func repeatedCrashes(ms, count int, parts ...rtid.Part) []event {
	var events []event
	for i := range count {
		events = append(events, event{i * ms, []int{1}, parts})
	}
	return events
}

// Guards against a deadly part that is admitted after the threshold, and against
// parts in quarantine for crashes that are no evidence.
func TestQuarantineThreshold(t *testing.T) {
	zone := []int{0, 1, 2, 3, 4, 5, 6}
	tests := []struct {
		name   string
		events []event
		want   []rtid.Part
	}{
		{"one crash too few", crashesEvery(500, quarantineCrashes-1, "d"), nil},
		{"enough crashes", crashesEvery(500, quarantineCrashes, "d"), partsOf("d")},
		{"crashes of one target", []event{{0, []int{1}, partsOf("d")}, {4000, []int{1}, partsOf("d")}, {8000, []int{1}, partsOf("d")}}, nil},
		{"crashes of two targets", []event{{0, []int{1}, partsOf("d")}, {4000, []int{2}, partsOf("d")}, {8000, []int{1}, partsOf("d")}}, nil},
		{"four crashes of one target", repeatedCrashes(4000, quarantineRepeats-1, "d"), nil},
		{"five crashes of one target", repeatedCrashes(4000, quarantineRepeats, "d"), partsOf("d")},
		{"targets that crash again before others", []event{{0, []int{1}, partsOf("d")}, {4000, []int{1}, partsOf("d")}, {4500, []int{2}, partsOf("d")}, {5000, []int{3}, partsOf("d")}}, partsOf("d")},
		{"zone lost", []event{{0, zone, partsOf("a", "b")}}, nil},
		{"zone lost over 240 ms", []event{{0, zone[:3], partsOf("a")}, {120, zone[3:5], partsOf("a")}, {240, zone[5:], partsOf("a")}}, nil},
		{"zones lost a minute apart", []event{{0, zone, partsOf("a")}, {59000, []int{10, 11, 12, 13, 14, 15, 16}, partsOf("a")}}, nil},
		{"zone lost, then a deadly part", append([]event{{0, zone, partsOf("d")}}, event{2000, []int{0}, partsOf("d")}, event{2500, []int{1}, partsOf("d")}), partsOf("d")},
		{"simultaneous crash of two targets, then one of them again", []event{{0, []int{0, 1}, partsOf("d")}, {4000, []int{0}, partsOf("d")}, {4500, []int{2}, partsOf("d")}}, partsOf("d")},
		{"two deadly parts at once", []event{
			{0, []int{0}, partsOf("d", "x")}, {300, []int{1}, partsOf("e", "y")}, {600, []int{2}, partsOf("d", "y")},
			{900, []int{3}, partsOf("e", "z")}, {1200, []int{4}, partsOf("d", "z")}, {1500, []int{5}, partsOf("e", "w")},
		}, partsOf("d", "e")},
		{"success between", []event{{0, []int{0}, partsOf("a")}, {500, []int{1}, partsOf("a")}, {700, nil, partsOf("a")}, {1000, []int{2}, partsOf("a")}, {1500, []int{3}, partsOf("a")}}, nil},
		{"deadly since its last success", append([]event{{-100, nil, partsOf("d")}}, crashesEvery(500, 3, "d")...), partsOf("d")},
		{"crashes far apart", crashesEvery(61000, 5, "a"), nil},
	}
	for _, test := range tests {
		var r Register
		got := play(&r, test.events)
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: %q in quarantine, want %q", test.name, got, test.want)
		}
		end := at(test.events[len(test.events)-1].ms)
		for _, part := range partsOf("a", "b", "d", "e", "w", "x", "y", "z") {
			want := Admit
			if slices.Contains(test.want, part) {
				want = Reject
			}
			if verdict := r.Check(partsOf("other", part), end, nil); verdict.Decision != want {
				t.Errorf("%s: %s: %v, want %v", test.name, part, verdict.Decision, want)
			}
		}
	}
}

// Guards against rejected callers who share a popular part with the deadly one.
func TestPopularPartNeverQuarantined(t *testing.T) {
	var r Register
	for ms := 0; ms < 30000; ms += 10 {
		if ms%300 == 0 {
			got := r.RecordCrash(targetOf(ms/300%21), partsOf("popular", "d"), time.Time{}, at(ms))
			if slices.Contains(got, "popular") {
				t.Fatalf("popular part in quarantine after %d ms", ms)
			}
		}
		if ms%200 == 100 {
			r.RecordSound(partsOf("popular"), at(ms))
		}
	}
	if verdict := r.Check(partsOf("popular", "d"), at(30000), nil); verdict.Decision != Reject || verdict.Part != "d" {
		t.Errorf("%v because of %q, want Reject because of d", verdict.Decision, verdict.Part)
	}
}

// Guards against repeats of requests that crash one target after the other, and
// against lost requests that only shared the target with them.
func TestUnprovenPartRepeated(t *testing.T) {
	ms := func(d time.Duration) int { return int(d.Milliseconds()) }
	tests := []struct {
		name   string
		events []event
		now    int
		want   []rtid.Part
	}{
		{"never seen", nil, 0, partsOf("a", "b")},
		{"sound", []event{{0, nil, partsOf("a", "b")}}, 1000, nil},
		{"one sound", []event{{0, nil, partsOf("a")}}, 1000, partsOf("b")},
		{"sound before the window", []event{{0, nil, partsOf("a", "b")}}, ms(soundWindow) + 1, partsOf("a", "b")},
		{"sound before one crash", []event{{0, nil, partsOf("a", "b")}, {10, []int{0}, partsOf("a", "b")}}, 10, nil},
		{"sound before two crashes", []event{{0, nil, partsOf("a", "b")}, {10, []int{0}, partsOf("a", "b")}, {500, []int{1}, partsOf("a")}}, 500, partsOf("a")},
		{"sound before a zone was lost", []event{{0, nil, partsOf("a", "b")}, {10, []int{0, 1, 2}, partsOf("a", "b")}}, 10, nil},
	}
	for _, test := range tests {
		var r Register
		play(&r, test.events)
		if got := r.Unproven(partsOf("a", "b"), at(test.now)); !slices.Equal(got, test.want) {
			t.Errorf("%s: unproven %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against a quarantine that ends too early, never, or by the probes of
// several processes.
func TestQuarantineEnd(t *testing.T) {
	anyone := func(rtid.Part) bool { return true }
	const last = 2 * 500 // of the crashes, in ms
	minute := int(minQuarantine.Milliseconds())
	tests := []struct {
		name       string
		events     []event // after the crashes
		now        int
		designated func(rtid.Part) bool
		want       Decision
	}{
		{"before the end", nil, last + minute - 1, anyone, Reject},
		{"after the end", nil, last + minute, anyone, Probe},
		{"after the end, not designated", nil, last + minute, func(rtid.Part) bool { return false }, Reject},
		{"after the end, nobody designated", nil, last + minute, nil, Reject},
		{"forgotten", nil, last + 2*minute, nil, Admit},
		{"late crash", []event{{last + 500, []int{9}, partsOf("d")}}, last + 500 + minute - 1, anyone, Reject},
		{"failed probe", []event{{last + minute, []int{0}, partsOf("d")}}, last + minute + 2*(last+minute) - 1, anyone, Reject},
		{"after a failed probe", []event{{last + minute, []int{0}, partsOf("d")}}, last + minute + 2*(last+minute), anyone, Probe},
		{"success", []event{{last + minute, nil, partsOf("d")}}, last + minute, anyone, Admit},
		{"success before the end", []event{{last + 100, nil, partsOf("d")}}, last + 100, anyone, Admit},
	}
	for _, test := range tests {
		var r Register
		play(&r, append(crashesEvery(500, 3, "d"), test.events...))
		if got := r.Check(partsOf("d"), at(test.now), test.designated); got.Decision != test.want {
			t.Errorf("%s: %v, want %v", test.name, got.Decision, test.want)
		}
	}
}

// Guards against a second probe before the result of the first, and against a
// part that is never probed again after a probe without a result.
func TestProbesOverlap(t *testing.T) {
	anyone := func(rtid.Part) bool { return true }
	var r Register
	play(&r, append(crashesEvery(500, 3, "d"), crashesEvery(500, 3, "e")...))
	now := at(1000).Add(minQuarantine)
	steps := []struct {
		after time.Duration
		parts []rtid.Part
		want  Decision
	}{
		{0, partsOf("e", "d"), Probe},
		{0, partsOf("d"), Reject},
		{time.Second, partsOf("e"), Reject},
		{probeTimeout, partsOf("d"), Probe},
	}
	for i, step := range steps {
		if got := r.Check(step.parts, now.Add(step.after), anyone); got.Decision != step.want {
			t.Errorf("step %d: %v, want %v", i, got.Decision, step.want)
		}
	}
	if lifted := r.RecordSound(partsOf("a", "d"), now.Add(probeTimeout)); !slices.Equal(lifted, partsOf("d")) {
		t.Errorf("success of the probe lifted %q, want d", lifted)
	}
}

// Guards against a quarantine that is lost, and against memory that grows, under
// traffic with many fresh parts in each request.
func TestFloodEvictsQuarantine(t *testing.T) {
	var r Register
	play(&r, crashesEvery(500, 3, "d"))
	for i := range 100 {
		fresh := make([]rtid.Part, 0, 200)
		for j := range 200 {
			fresh = append(fresh, rtid.Part(fmt.Sprint("fresh", i, "-", j)))
		}
		now := at(1000 + i*300)
		r.RecordSound(fresh[:100], now)
		r.RecordCrash(targetOf(i), fresh, time.Time{}, now)
		if verdict := r.Check(partsOf("d"), now, nil); verdict.Decision != Reject {
			t.Fatalf("crash %d: deadly part: %v, want Reject", i, verdict.Decision)
		}
		if observations := r.Observations(now); observations[0].Part != "d" || len(observations) > maxObservations {
			t.Fatalf("crash %d: %d observations, the first about %s, want at most %d and d", i, len(observations), observations[0].Part, maxObservations)
		}
	}
	if got := len(r.suspects); got > maxSuspects {
		t.Errorf("%d suspects, want at most %d", got, maxSuspects)
	}
	for i := range 5 * maxSoundParts {
		r.RecordSound(partsOf(rtid.Part(fmt.Sprint("sound", i))), at(40000))
	}
	if got := len(r.sound.recent) + len(r.sound.older); got > 2*maxSoundParts {
		t.Errorf("%d sound parts, want at most %d", got, 2*maxSoundParts)
	}
	if unproven := r.Unproven(partsOf(rtid.Part(fmt.Sprint("sound", 5*maxSoundParts-1))), at(40000)); unproven != nil {
		t.Errorf("%q unproven, want the latest successes kept", unproven)
	}
}

// Guards against evidence that stays for ever.
func TestEvidenceForgotten(t *testing.T) {
	tests := []struct {
		name   string
		events []event
		kept   time.Duration // after the last event
	}{
		{"below the threshold", crashesEvery(500, 2, "a"), suspicionTime},
		{"quarantine", crashesEvery(500, 3, "a"), 2 * minQuarantine},
		{"refuted", append(crashesEvery(500, 3, "a"), event{1100, nil, partsOf("a")}), refutationTime},
	}
	for _, test := range tests {
		var r Register
		play(&r, test.events)
		end := at(test.events[len(test.events)-1].ms).Add(test.kept)
		if got := len(r.Dump(end.Add(-time.Millisecond))); got != 1 {
			t.Errorf("%s: %d parts before the end, want 1", test.name, got)
		}
		if got := len(r.Dump(end)); got != 0 {
			t.Errorf("%s: %d parts after the end, want none", test.name, got)
		}
	}
}

// Guards against a dump that does not show operators why a part is rejected.
func TestDumpLacksEvidence(t *testing.T) {
	var r Register
	play(&r, append(crashesEvery(500, 3, "d"), event{1200, []int{7}, partsOf("x")}))
	dump := r.Dump(at(1300))
	if len(dump) != 2 || dump[0].Part != "d" || dump[1].Part != "x" {
		t.Fatalf("dump %+v, want d and x", dump)
	}
	d := dump[0]
	if d.Crashes != 3 || !d.First.Equal(at(0)) || !d.Last.Equal(at(1000)) || !d.Quarantined || !d.Until.Equal(at(1000).Add(minQuarantine)) {
		t.Errorf("d: %+v, want 3 crashes in a second and the end of the quarantine", d)
	}
	if !slices.Equal(d.Targets, []rtid.Target{"i-0", "i-1", "i-2"}) {
		t.Errorf("d: targets %q, want those that crashed", d.Targets)
	}
	if dump[1].Quarantined || dump[1].Crashes != 1 {
		t.Errorf("x: %+v, want one crash and no quarantine", dump[1])
	}
}

func BenchmarkRequest(b *testing.B) {
	var r Register
	now := at(0)
	play(&r, crashesEvery(500, 3, "d"))
	requests := make([][]rtid.Part, 1000)
	for i := range requests {
		requests[i] = partsOf("first", rtid.Part(fmt.Sprint("key", i%10)), rtid.Part(fmt.Sprint("document", i)))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		r.Check(requests[i%len(requests)], now, nil)
		r.RecordSound(requests[i%len(requests)], now)
	}
}
