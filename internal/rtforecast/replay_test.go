package rtforecast

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// replay is a cell of gateways that send requests and exchange figures.
type replay struct {
	random   *rand.Rand
	gateways []*Estimator
	frozen   int // gateways that neither send nor exchange, from the first
}

const (
	replayGateways = 46
	// sendsPerSecond is the rate of requests of all kinds that a gateway of the first
	// deployment sends.
	sendsPerSecond = 0.2
	exchange       = 3 * time.Second
)

func newReplay() *replay {
	r := &replay{random: rand.New(rand.NewPCG(1, 0))}
	for range replayGateways {
		r.gateways = append(r.gateways, &Estimator{})
	}
	return r
}

// play sends requests of one band between two times, whose predictions are off by a
// ratio with a spread.
func (r *replay) play(from, to time.Duration, ratio, spread float64) {
	const step = 100 * time.Millisecond
	for at := from; at < to; at += step {
		now := epoch.Add(at)
		for i, g := range r.gateways[r.frozen:] {
			if r.random.Float64() < sendsPerSecond*step.Seconds() {
				g.Observe(longBand, time.Second, time.Duration(ratio*math.Exp(spread*r.random.NormFloat64())*float64(time.Second)), now)
			}
			if at%exchange != 0 {
				continue
			}
			figures := g.Figures(now)
			for j, other := range r.gateways[r.frozen:] {
				if j != i && len(figures) > 0 {
					other.Merge(rtid.VM(fmt.Sprint("vm", i)), figures, now, now)
				}
			}
		}
	}
}

// check checks the median ratio of all gateways at a time.
func (r *replay) check(t *testing.T, when string, at time.Duration, low, high float64) {
	t.Helper()
	for i, g := range r.gateways {
		if got, _ := g.Ratios(longBand, epoch.Add(at)); got < low || got > high {
			t.Errorf("%s: gateway %d corrects by %.2f, want %.2f to %.2f", when, i, got, low, high)
			return
		}
	}
}

// Guards against corrections that do not follow the load patterns: a burst of short
// prompts beside long ones, engines that are replaced one after another, a zone that is
// lost and comes back, a gateway that was frozen, and predictions that are right.
func TestReplay(t *testing.T) {
	const s = time.Second
	t.Run("right predictions", func(t *testing.T) {
		r := newReplay()
		for at := time.Duration(0); at < 60*s; at += 5 * s {
			r.play(at, at+5*s, 1, 0.15)
			r.check(t, "any time", at+5*s, 1, 1)
		}
	})
	t.Run("burst", func(t *testing.T) {
		r := newReplay()
		r.play(0, 20*s, 1, 0.15)
		// Figures are means over 20 s and up to 3 s old, so a burst shows fully after 23 s
		// and by half of its logarithm after 13 s.
		r.play(20*s, 33*s, 3, 0.5)
		r.check(t, "after 13 s", 33*s, 1.3, 3)
		r.play(33*s, 43*s, 3, 0.5)
		r.check(t, "after 23 s", 43*s, 2, 3.5)
		r.play(43*s, 68*s, 1, 0.15)
		r.check(t, "25 s after the burst", 68*s, 1, 1.2)
	})
	t.Run("rolling replacement", func(t *testing.T) {
		// A twentieth of the engines is missing at any time: predictions are nearly right.
		r := newReplay()
		for at := time.Duration(0); at < 60*s; at += 5 * s {
			r.play(at, at+5*s, 1.05, 0.2)
			r.check(t, "any time", at+5*s, 1, 1.25)
		}
	})
	t.Run("zone lost and back", func(t *testing.T) {
		r := newReplay()
		r.play(0, 10*s, 1.2, 0.2)
		r.play(10*s, 18*s, 8, 0.4)
		r.check(t, "without the zone", 18*s, 1, maxRatio)
		r.play(18*s, 45*s, 1.2, 0.2)
		r.check(t, "27 s after its return", 45*s, 1, 1.4)
	})
	t.Run("nobody is served", func(t *testing.T) {
		// All are refused, so that nothing is learned. The corrections must end.
		r := newReplay()
		r.play(0, 20*s, 6, 0.2)
		r.check(t, "under load", 20*s, 3, maxRatio)
		r.check(t, "later", 40*s, 1, 1)
	})
	t.Run("frozen gateway", func(t *testing.T) {
		r := newReplay()
		r.play(0, 20*s, 4, 0.2)
		r.frozen = 1
		r.play(20*s, 50*s, 1, 0.1)
		r.check(t, "when it wakes", 50*s, 1, 1.1)
	})
}
