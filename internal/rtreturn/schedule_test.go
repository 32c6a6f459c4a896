package rtreturn

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	engines  = 60
	gateways = 46
	today    = 400 * time.Millisecond // delay without the part, beside the backlog
	limit    = 15 * time.Second       // time of a caller
	patience = time.Second            // a request waits at its gateway
	tick     = 40 * time.Millisecond
)

// caller is a request that is sent again after each refusal.
type caller struct {
	due, deadline time.Duration // of its next attempt, and its last moment
	waits         time.Duration // since when it waits at a gateway
	gateway       int
	cost          time.Duration
	refused       int
}

// replay plays a rate of arrivals and counts the callers that were served, those that
// were refused, and the refusals of callers who had returned.
func replay(scheduled bool, rate func(time.Duration) float64, cost func(*rand.Rand) time.Duration) (served, refused, again int) {
	random := rand.New(rand.NewPCG(3, 4))
	start := time.Unix(1_800_000_000, 0)
	var schedules [gateways]Schedule
	var callers []*caller
	var backlog time.Duration
	used, due := 0.0, 0.0
	const length = 20 * time.Second
	for at := time.Duration(0); at < length+limit; at += tick {
		backlog = max(0, backlog-tick)
		used *= 1 - tick.Seconds()*0.35 // half-life of 2 s
		if at < length {
			for due += rate(at) * tick.Seconds(); due >= 1; due-- {
				callers = append(callers, &caller{due: at, waits: at, deadline: at + limit, cost: cost(random), gateway: random.IntN(gateways)})
			}
		}
		random.Shuffle(len(callers), func(i, j int) { callers[i], callers[j] = callers[j], callers[i] })
		var left []*caller
		for _, c := range callers {
			switch {
			case c.due > at:
				left = append(left, c)
			case backlog <= 300*time.Millisecond:
				served++
				backlog += c.cost / engines
				used += c.cost.Seconds()
			case at-c.waits < patience:
				left = append(left, c)
			default:
				refused++
				if c.refused > 0 {
					again++
				}
				c.refused++
				most := (c.deadline - at) / 3
				delay := min(backlog+today, most)
				if scheduled {
					delay = schedules[c.gateway].Give(
						Ask{EngineTime: c.cost, Least: delay, Most: most, Phase: random.Float64()},
						Capacity{Engines: engines, Used: used * 0.35, Gateways: gateways, Backlog: backlog}, start.Add(at))
				}
				c.due, c.waits, c.gateway = at+delay, at+delay, random.IntN(gateways)
				if c.deadline-c.due > patience {
					left = append(left, c)
				}
			}
		}
		callers = left
	}
	return served, refused, again
}

// Guards against callers who come back before there is room and are refused again, and
// against room that stays empty because they come back late.
func TestReturnsFindRoom(t *testing.T) {
	burst := func(at time.Duration) float64 {
		if at >= 2*time.Second && at < 5*time.Second {
			return 150
		}
		return 30
	}
	equal := func(*rand.Rand) time.Duration { return time.Second }
	mixed := func(r *rand.Rand) time.Duration {
		if r.IntN(20) == 0 {
			return 8 * time.Second
		}
		return 600 * time.Millisecond
	}
	tests := []struct {
		name    string
		rate    func(time.Duration) float64
		cost    func(*rand.Rand) time.Duration
		atMost  float64 // refusals of returning callers, of those without the part
		serveds float64 // served callers, of those without the part
	}{
		{"a burst", burst, equal, 0.25, 0.97},
		{"a burst of unequal prompts", burst, mixed, 0.25, 0.97},
		// Half of these callers cannot be served, whenever they return.
		{"twice the capacity for long", func(time.Duration) float64 { return 120 }, equal, 0.5, 0.97},
		{"calm", func(time.Duration) float64 { return 30 }, equal, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			servedBefore, refusedBefore, againBefore := replay(false, test.rate, test.cost)
			served, refused, again := replay(true, test.rate, test.cost)
			t.Logf("served %d before, %d after; refused %d, %d; of these again %d, %d", servedBefore, served, refusedBefore, refused, againBefore, again)
			if float64(again) > test.atMost*float64(againBefore) || float64(served) < test.serveds*float64(servedBefore) {
				t.Errorf("want at most %.2f of the refusals of returning callers, and %.2f of those served", test.atMost, test.serveds)
			}
		})
	}
}

// Guards against delays outside of what the caller observes, and against an organisation
// over its share that returns before others.
func TestGive(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	capacity := Capacity{Engines: 46, Gateways: 46, Backlog: 100 * time.Millisecond}
	tests := []struct {
		name     string
		before   int // callers with the same request
		ask      Ask
		capacity Capacity
		want     time.Duration
	}{
		{"room at once", 0, Ask{EngineTime: 300 * time.Millisecond, Least: 400 * time.Millisecond, Most: 5 * time.Second}, capacity, 400 * time.Millisecond},
		{"behind others", 2, Ask{EngineTime: 300 * time.Millisecond, Least: 400 * time.Millisecond, Most: 5 * time.Second}, capacity, time.Second},
		{"larger", 0, Ask{EngineTime: 2 * time.Second, Least: 400 * time.Millisecond, Most: 5 * time.Second}, capacity, 2100 * time.Millisecond},
		{"over its share", 0, Ask{EngineTime: 300 * time.Millisecond, Ratio: 4, Least: 400 * time.Millisecond, Most: 5 * time.Second}, capacity, 1300 * time.Millisecond},
		{"not enough time", 9, Ask{EngineTime: time.Second, Least: 400 * time.Millisecond, Most: 2 * time.Second}, capacity, 2 * time.Second},
		{"shorter than the least", 0, Ask{EngineTime: time.Second, Least: 400 * time.Millisecond, Most: 200 * time.Millisecond}, capacity, 200 * time.Millisecond},
		{"no engine", 0, Ask{EngineTime: time.Second, Least: 400 * time.Millisecond, Most: 2 * time.Second}, Capacity{}, 2 * time.Second},
		{"beyond the horizon", 0, Ask{EngineTime: time.Hour, Least: 400 * time.Millisecond, Most: time.Hour}, capacity, Horizon},
		{"all used", 0, Ask{EngineTime: 100 * time.Millisecond, Least: 400 * time.Millisecond, Most: 5 * time.Second}, Capacity{Engines: 46, Used: 80, Gateways: 46}, time.Second},
	}
	for _, test := range tests {
		var s Schedule
		for range test.before {
			s.Give(test.ask, test.capacity, now)
		}
		if got := s.Give(test.ask, test.capacity, now); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
		if got := s.Outstanding(now); got != test.before+1 {
			t.Errorf("%s: %d outstanding, want %d", test.name, got, test.before+1)
		}
		if got := s.Outstanding(now.Add(Horizon)); got != 0 {
			t.Errorf("%s: %d outstanding after the horizon", test.name, got)
		}
	}
}
