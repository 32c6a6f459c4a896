package rthedge

import (
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

// Guards against more extra attempts than the ratio in any window, under an even load and
// under a burst, also while every request is slow.
func TestBudget(t *testing.T) {
	for _, ratio := range []float64{0, 0.02, 0.2} {
		budget := Budget{Ratio: ratio}
		requests, taken := 0, 0
		for second := range 60 {
			now := start.Add(time.Duration(second) * time.Second)
			perSecond := 10
			if second == 30 {
				perSecond = 500
			}
			for range perSecond {
				budget.RecordRequest(now)
				requests++
				if budget.Take(now) {
					taken++
				}
			}
			inWindow, extra := budget.requests.Count(now), budget.extra.Count(now)
			// What was taken in a burst is still counted when the burst leaves the window.
			if second < 40 && float64(extra) > ratio*float64(inWindow) {
				t.Errorf("ratio %v, second %d: %d extra attempts for %d requests", ratio, second, extra, inWindow)
			}
		}
		if float64(taken) > ratio*float64(requests) || ratio > 0 && taken == 0 {
			t.Errorf("ratio %v: %d extra attempts for %d requests", ratio, taken, requests)
		}
	}
}
