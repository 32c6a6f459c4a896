package rtforecast

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

var (
	epoch    = time.Unix(1_000_000, 0)
	longBand = BandOf("m", 150_000, 17)
)

// Guards against requests that are corrected by the errors of other kinds.
func TestBandOf(t *testing.T) {
	tests := []struct {
		prompt      rtid.Tokens
		parts       int
		size, count int
	}{
		{0, 1, 0, 0}, {3000, 1, 0, 0}, {3001, 2, 1, 1}, {24000, 4, 1, 1}, {24001, 5, 2, 2}, {110000, 10, 2, 2},
		{110001, 11, 3, 3}, {300000, 17, 3, 3}, {300001, 17, 4, 3}, {1 << 40, 1 << 20, 4, 3},
	}
	for _, test := range tests {
		if got := BandOf("m", test.prompt, test.parts); got.Size != test.size || got.Parts != test.count {
			t.Errorf("prompt of %d tokens in %d parts: got bands %d and %d, want %d and %d", test.prompt, test.parts, got.Size, got.Parts, test.size, test.count)
		}
	}
}

// Guards against corrections by too few or wrong samples, and against ones that stay
// when what they were learned from is over.
func TestRatios(t *testing.T) {
	observe := func(ratios ...float64) func(e *Estimator) {
		return func(e *Estimator) {
			for _, ratio := range ratios {
				e.Observe(longBand, time.Second, time.Duration(ratio*float64(time.Second)), epoch)
			}
		}
	}
	hear := func(peers, samples int, ratio float64) func(e *Estimator) {
		return func(e *Estimator) {
			for i := range peers {
				e.Merge(rtid.VM(fmt.Sprint("vm", i)), []Figure{{Band: longBand, Samples: samples, Ratio: ratio}}, epoch, epoch)
			}
		}
	}
	both := func(a, b func(e *Estimator)) func(e *Estimator) {
		return func(e *Estimator) { a(e); b(e) }
	}
	tests := []struct {
		name      string
		learn     func(e *Estimator)
		after     time.Duration
		low, high float64 // bounds of the median
	}{
		{"nothing", func(*Estimator) {}, 0, 1, 1},
		{"right", observe(0.93, 1.06, 1, 1.04, 0.97, 1.08, 0.95, 1.02), 0, 1, 1},
		{"one slow request", observe(5), 0, 1, 1.4},
		{"one stall among right ones", observe(1, 1.01, 0.99, 1000, 1, 1.02, 0.98), 0, 1, 1},
		{"own samples", observe(4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4), 0, 2.5, 4},
		{"own samples nearly too old", observe(4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4), sampleAge - time.Second, 2.5, 4},
		{"own samples too old", observe(4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4), sampleAge, 1, 1},
		{"peers", hear(40, 1, math.Log(3)), 0, 2.5, 3},
		{"peers too old", hear(40, 1, math.Log(3)), sampleAge, 1, 1},
		{"far too slow", observe(50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50), 0, 3, maxRatio},
		{"far too fast", observe(0.01, 0.01, 0.01, 0.01, 0.01, 0.01, 0.01, 0.01), 0, minRatio, 0.7},
		{"peer with an impossible ratio", hear(1, 5, 80), 0, 1, 1},
		{"peer without a number", hear(1, 5, math.NaN()), 0, 1, 1},
		{"one false peer among few true ones", both(hear(10, 1, 0), func(e *Estimator) {
			e.Merge("false", []Figure{{Band: longBand, Samples: maxSamples, Ratio: math.Log(maxRatio)}}, epoch, epoch)
		}), 0, 1, 1},
		{"one false peer among true ones", both(hear(40, 2, 0), func(e *Estimator) {
			e.Merge("false", []Figure{{Band: longBand, Samples: maxSamples, Ratio: math.Log(maxRatio)}}, epoch, epoch)
		}), 0, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var e Estimator
			test.learn(&e)
			median, optimistic := e.Ratios(longBand, epoch.Add(test.after))
			if median < test.low || median > test.high || optimistic > median || optimistic < minRatio {
				t.Errorf("got median %.2f and optimistic end %.2f, want a median of %.2f to %.2f", median, optimistic, test.low, test.high)
			}
			if other, _ := e.Ratios(BandOf("m", 150_000, 1), epoch); other != 1 {
				t.Errorf("another band is corrected by %.2f", other)
			}
		})
	}
}

// Guards against a request that is refused although some of its kind are in time.
func TestOptimisticEnd(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	var e Estimator
	faster := 0
	const samples = 60
	actual := make([]time.Duration, 0, samples)
	for range samples {
		a := time.Duration(2 * math.Exp(0.5*random.NormFloat64()) * float64(time.Second))
		actual = append(actual, a)
		e.Observe(longBand, time.Second, a, epoch)
	}
	_, optimistic := e.Ratios(longBand, epoch)
	for _, a := range actual {
		if a.Seconds() < optimistic {
			faster++
		}
	}
	if faster == 0 || faster > samples/5 {
		t.Errorf("%d of %d requests are faster than the optimistic end, want some, at most a fifth", faster, samples)
	}
}

// Guards against reports of peers that grow without bound, count twice or go back in
// time.
func TestMerge(t *testing.T) {
	var e Estimator
	figure := func(ratio float64) []Figure { return []Figure{{Band: longBand, Samples: 8, Ratio: ratio}} }
	e.Merge("vm", figure(math.Log(4)), epoch, epoch)
	e.Merge("vm", figure(math.Log(2)), epoch.Add(-time.Second), epoch)
	if median, _ := e.Ratios(longBand, epoch); median < 2 {
		t.Errorf("an older report has replaced a newer one: ratio %.2f", median)
	}
	before, _ := e.Ratios(longBand, epoch)
	e.Merge("vm", append(figure(math.Log(4)), figure(math.Log(4))...), epoch, epoch)
	if after, _ := e.Ratios(longBand, epoch); after != before {
		t.Errorf("a repeated figure counts twice: ratio %.2f, before %.2f", after, before)
	}
	for i := range 10 * maxPeers {
		e.Merge(rtid.VM(fmt.Sprint("vm", i)), figure(0), epoch, epoch)
	}
	if len(e.peers) > maxPeers {
		t.Errorf("figures of %d peers are kept, want at most %d", len(e.peers), maxPeers)
	}
	later := epoch.Add(sampleAge)
	e.Merge("new", figure(0), later, later)
	if len(e.peers) != 1 {
		t.Errorf("figures of %d peers are kept after their time, want 1", len(e.peers))
	}
}

// Guards against digests that grow with the number of bands, and against figures of
// peers that are passed on as own ones, so that they never expire.
func TestFigures(t *testing.T) {
	var e Estimator
	e.Merge("vm", []Figure{{Band: longBand, Samples: 8}}, epoch, epoch)
	for i := range 10 * MaxFigures {
		for range 1 + i%3 {
			e.Observe(BandOf(rtid.Service(fmt.Sprint("s", i)), 1, 1), time.Second, 2*time.Second, epoch)
		}
	}
	figures := e.Figures(epoch)
	if len(figures) != MaxFigures || figures[0].Samples != 3 {
		t.Errorf("got %d figures, the first of %d samples, want %d, the first of 3", len(figures), figures[0].Samples, MaxFigures)
	}
	for _, f := range figures {
		if err := f.Check(); err != nil || f.Band == longBand {
			t.Errorf("own figure %v: %v", f, err)
		}
	}
	if got := e.Figures(epoch.Add(sampleAge)); len(got) != 0 || len(e.own) != 0 {
		t.Errorf("%d figures and %d bands are left after their time", len(got), len(e.own))
	}
}
