package rthedge

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const slo = 300 * time.Millisecond

var start = time.Unix(1000, 0)

// Guards against extra attempts before enough is known, after what was known is too old,
// or earlier than half of the latency SLO.
func TestDelay(t *testing.T) {
	tests := []struct {
		name    string
		samples int
		slow    int // of the samples, 900 ms instead of 100 ms
		after   time.Duration
		want    time.Duration
		known   bool
	}{
		{"none", 0, 0, 0, 0, false},
		{"one too few", minSamples - 1, 0, 0, 0, false},
		{"all fast", minSamples, 0, 0, slo / 2, true},
		{"one in twenty slow", 100, 5, 0, slo / 2, true},
		{"more slow", 100, 6, 0, 900 * time.Millisecond, true},
		{"all slow", 100, 100, 0, 900 * time.Millisecond, true},
		{"too old", 100, 6, sampleAge, 0, false},
		{"many", 10 * maxSamples, 10 * maxSamples, 0, 900 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var latencies Latencies
			kind := KindOf("s", 1000)
			for i := range test.samples {
				took := 100 * time.Millisecond
				if i < test.slow {
					took = 900 * time.Millisecond
				}
				latencies.Record(kind, took, start)
			}
			got, known := latencies.Delay(kind, slo, start.Add(test.after))
			if got != test.want || known != test.known || len(latencies.kinds[kind]) > maxSamples {
				t.Errorf("got %v, known %v, %d samples; want %v, known %v", got, known, len(latencies.kinds[kind]), test.want, test.known)
			}
			if _, known := latencies.Delay(KindOf("s", MaxPrompt), slo, start); known {
				t.Error("samples of short prompts count for long ones")
			}
		})
	}
}

// Guards against an extra attempt at a request that may run only once, has begun, is too
// large, or meets targets that are slow because all of them have too much to do.
func TestDecide(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Situation)
		want   Decision
	}{
		{"one slow target", func(*Situation) {}, Send},
		{"may run only once", func(s *Situation) { s.Repeatable = false }, Impossible},
		{"begun", func(s *Situation) { s.Begun = true }, Impossible},
		{"last attempt", func(s *Situation) { s.LastChance = true }, Impossible},
		{"largest prompt", func(s *Situation) { s.Prompt = MaxPrompt }, Send},
		{"larger prompt", func(s *Situation) { s.Prompt = MaxPrompt + 1 }, Impossible},
		{"others wait", func(s *Situation) { s.Waiting = true }, Loaded},
		{"backlog", func(s *Situation) { s.Backlog = maxBacklog + 1 }, Loaded},
		{"retries used", func(s *Situation) { s.RetriesSpare = false }, OverBudget},
	}
	for _, test := range tests {
		situation := Situation{Repeatable: true, Prompt: 1000, Backlog: maxBacklog, RetriesSpare: true}
		test.change(&situation)
		if got := situation.Decide(); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against more extra attempts than the ratio, under an even load, a burst and a
// light load, also while every request is slow, and against none at all where a gateway
// gets few requests.
func TestBudget(t *testing.T) {
	for _, ratio := range []float64{0, 0.02, 0.2} {
		for _, requests := range []int{10, 100, 10_000} {
			var budget Budget
			taken := 0
			for range requests {
				budget.RecordRequest(ratio)
				if budget.Take() {
					taken++
				}
			}
			if most := ratio * float64(requests); float64(taken) > most+1e-6 || float64(taken) < most-1 {
				t.Errorf("ratio %v, %d requests: got %d extra attempts, want %.1f", ratio, requests, taken, most)
			}
			for range requests {
				budget.RecordRequest(ratio)
			}
			burst := 0
			for budget.Take() {
				burst++
			}
			if float64(burst) > maxBurst {
				t.Errorf("ratio %v: %d extra attempts at once after a calm time, want at most %v", ratio, burst, maxBurst)
			}
		}
	}
}

// load is requests of 23 gateways to targets, with the extra attempts that the decisions
// of this package allow.
type load struct {
	name   string
	factor float64                        // of the load for which the targets have room
	slow   func(target int) time.Duration // added to the time to the first event
}

// play returns the quantile of the time to the first event and the share of extra
// attempts.
func (l load) play(ratio float64) (p99 time.Duration, extra float64) {
	const gateways, targets, requests = 23, 60, 40_000
	// Extra attempts draw from a source of their own, so that first attempts are the same
	// with and without them.
	random, extraRandom := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(3, 4))
	var latencies [gateways]Latencies
	var budgets [gateways]Budget
	kind := KindOf("s", 1000)
	// Above their room, the targets have a backlog that slows all of them.
	backlog := time.Duration(max(0, l.factor-0.9) * float64(time.Second))
	first := func(random *rand.Rand) time.Duration {
		return time.Duration(80+40*random.ExpFloat64())*time.Millisecond + backlog + l.slow(random.IntN(targets))
	}
	var all []time.Duration
	hedged := 0
	for i := range requests {
		now := start.Add(time.Duration(i) * 8 * time.Millisecond)
		g := random.IntN(gateways)
		budgets[g].RecordRequest(ratio)
		took := first(random)
		delay, known := latencies[g].Delay(kind, slo, now)
		latencies[g].Record(kind, took, now)
		situation := Situation{Repeatable: true, Prompt: 1000, Backlog: backlog, RetriesSpare: true}
		if known && took > delay && situation.Decide() == Send && budgets[g].Take() {
			hedged++
			took = min(took, delay+first(extraRandom))
		}
		all = append(all, took)
	}
	slices.Sort(all)
	return all[len(all)*99/100], float64(hedged) / requests
}

// Guards against extra attempts that add work where they cannot help: with a load above
// the room of the targets or with all targets slow they make everything slower, and with
// one slow target they must cut the slowest answers within the ratio.
func TestLoads(t *testing.T) {
	none := func(int) time.Duration { return 0 }
	oneSlow := func(target int) time.Duration {
		if target == 0 {
			return 2 * time.Second
		}
		return 0
	}
	tests := []struct {
		load
		faster bool // the slowest answers must become faster
		idle   bool // there must be no extra attempt
	}{
		{load{"half of the room, one slow target", 0.5, oneSlow}, true, false},
		{load{"all of the room, one slow target", 0.99, oneSlow}, true, false},
		{load{"1.5 times, one slow target", 1.5, oneSlow}, false, true},
		{load{"half of the room", 0.5, none}, false, false},
		{load{"burst of three times", 3, none}, false, true},
		{load{"all slow", 0.5, func(int) time.Duration { return 2 * time.Second }}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const ratio = 0.05
			before, _ := test.play(0)
			after, extra := test.play(ratio)
			if extra > ratio || test.idle && extra > 0 {
				t.Errorf("%.4f of the requests have an extra attempt, want at most %v, and none if all targets are loaded", extra, ratio)
			}
			if test.faster && after > before/2 {
				t.Errorf("0.99 quantile of the first event: got %v, want at most half of %v", after, before)
			}
			if after > before {
				t.Errorf("0.99 quantile of the first event: got %v, want at most %v", after, before)
			}
		})
	}
}
