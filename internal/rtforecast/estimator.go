// Package rtforecast learns how far predictions of the first event are off. It reads no
// clock and uses no sockets.
//
// Predictions miss what other processes send at the same time, so they are off by a
// factor that depends on the load and on the kind of request. One process sees few
// requests of a kind, so it also uses what its peers have observed.
package rtforecast

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// sampleAge is how long a sample counts. Loads shift within seconds; a process that
	// sends one request in five seconds still has a few samples.
	sampleAge = 20 * time.Second
	// maxSamples is how many samples of a band count, the newest.
	maxSamples = 64
	// priorSamples is how many samples the assumption counts for that predictions are
	// right.
	priorSamples = 4
	// minRatio and maxRatio bound corrections and samples, so that a single stalled
	// request or a false report cannot refuse everything.
	minRatio = 0.5
	maxRatio = 6
	// negligibleRatio is the logarithm of a ratio that changes nothing: about a tenth,
	// which is less than what admission leaves of the latency SLO.
	negligibleRatio = 0.1
	// optimisticDeviations is how many standard deviations the optimistic end of the
	// spread is below the median: one request in ten is faster.
	optimisticDeviations = 1.28
	// deviationPerMAD is the standard deviation for each unit of the median absolute
	// deviation of a normal distribution.
	deviationPerMAD = 1.4826
)

const (
	// MaxFigures is how many figures a process exchanges at most.
	MaxFigures = 16
	// maxPeers is how many peers count at most: more than a cell has.
	maxPeers = 128
	// maxPeerSamples is how many samples a figure of a peer counts for at most: twice
	// what a process of the first deployment sends of all kinds in sampleAge. A false
	// figure then weighs no more than the sound ones of two peers.
	maxPeerSamples = 8
	// maxServiceName is the longest name of a service in bytes that is taken for one.
	maxServiceName = 200
)

// sizeBorders and partBorders are the upper borders of the bands but the last.
var (
	sizeBorders = []rtid.Tokens{3000, 24000, 110000, 300000}
	partBorders = []int{1, 4, 10}
)

// Band is a kind of requests whose predictions are off alike.
type Band struct {
	Service rtid.Service
	Size    int // band of the prompt length
	Parts   int // band of the number of parts
}

// BandOf returns the band of a prompt that is split into a number of parts.
func BandOf(service rtid.Service, prompt rtid.Tokens, parts int) Band {
	size, _ := slices.BinarySearch(sizeBorders, prompt)
	count, _ := slices.BinarySearch(partBorders, parts)
	return Band{Service: service, Size: size, Parts: count}
}

// Figure is what one process has observed of a band.
type Figure struct {
	Band
	Samples int
	Ratio   float64 // mean logarithm of actual over predicted time
}

// Check returns an error for a figure that no process reports.
func (f Figure) Check() error {
	switch {
	case f.Service == "" || len(f.Service) > maxServiceName:
		return errors.New("forecast has no name of a service")
	case f.Size < 0 || f.Size > len(sizeBorders) || f.Parts < 0 || f.Parts > len(partBorders):
		return errors.New("forecast has no known band")
	case f.Samples < 1 || f.Samples > maxSamples:
		return errors.New("forecast has no valid number of samples")
	// The negated form also rejects NaN.
	case !(f.Ratio >= math.Log(minRatio)-rounding && f.Ratio <= math.Log(maxRatio)+rounding):
		return errors.New("forecast has a ratio that is out of range")
	}
	return nil
}

// rounding is the error that a mean of logarithms may have.
const rounding = 1e-9

// sample is one observed request.
type sample struct {
	at    time.Time
	ratio float64 // logarithm of actual over predicted time
}

// report is the last figures of a peer.
type report struct {
	at      time.Time // when the peer made it
	figures []Figure
}

// Estimator learns from the requests of this process and from the figures of its peers.
// The zero value has learned nothing. It is not safe for concurrent use.
type Estimator struct {
	own   map[Band][]sample // oldest first
	peers map[rtid.VM]report
}

// Observe records the actual time to the first event of a request.
func (e *Estimator) Observe(band Band, predicted, actual time.Duration, now time.Time) {
	if predicted <= 0 || actual <= 0 {
		return
	}
	if e.own == nil {
		e.own = make(map[Band][]sample)
	}
	ratio := math.Log(min(maxRatio, max(minRatio, float64(actual)/float64(predicted))))
	samples := append(current(e.own[band], now), sample{at: now, ratio: ratio})
	e.own[band] = samples[max(0, len(samples)-maxSamples):]
}

// current returns the samples that still count.
func current(samples []sample, now time.Time) []sample {
	first := slices.IndexFunc(samples, func(s sample) bool { return now.Sub(s.at) < sampleAge })
	if first < 0 {
		return nil
	}
	return samples[first:]
}

// Figures returns what this process has observed itself, the bands with the most
// samples first, at most MaxFigures.
func (e *Estimator) Figures(now time.Time) []Figure {
	var figures []Figure
	for band, samples := range e.own {
		samples = current(samples, now)
		if len(samples) == 0 {
			delete(e.own, band)
			continue
		}
		total := 0.0
		for _, s := range samples {
			total += s.ratio
		}
		figures = append(figures, Figure{Band: band, Samples: len(samples), Ratio: total / float64(len(samples))})
	}
	slices.SortFunc(figures, func(a, b Figure) int {
		return cmp.Or(cmp.Compare(b.Samples, a.Samples), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Size, b.Size), cmp.Compare(a.Parts, b.Parts))
	})
	return figures[:min(len(figures), MaxFigures)]
}

// Merge replaces the figures of a peer by those that it made at a time. An older report,
// and figures that do not pass Check, have no effect.
func (e *Estimator) Merge(peer rtid.VM, figures []Figure, at, now time.Time) {
	for vm, r := range e.peers {
		if now.Sub(r.at) >= sampleAge {
			delete(e.peers, vm)
		}
	}
	last, known := e.peers[peer]
	if now.Sub(at) >= sampleAge || at.Before(last.at) || !known && len(e.peers) >= maxPeers {
		return
	}
	if e.peers == nil {
		e.peers = make(map[rtid.VM]report)
	}
	valid := slices.DeleteFunc(slices.Clone(figures[:min(len(figures), MaxFigures)]), func(f Figure) bool { return f.Check() != nil })
	// Two figures of one band would count twice.
	slices.SortStableFunc(valid, func(a, b Figure) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Size, b.Size), cmp.Compare(a.Parts, b.Parts))
	})
	e.peers[peer] = report{at: at, figures: slices.CompactFunc(valid, func(a, b Figure) bool { return a.Band == b.Band })}
}

// weighted is a ratio that stands for a number of samples.
type weighted struct {
	ratio  float64
	weight float64
}

// Ratios returns the median of actual over predicted time in a band, and the optimistic
// end of its spread. Both are 1 while nothing is known or predictions are right.
func (e *Estimator) Ratios(band Band, now time.Time) (median, optimistic float64) {
	var known []weighted
	for _, s := range current(e.own[band], now) {
		known = append(known, weighted{s.ratio, 1})
	}
	for _, r := range e.peers {
		if now.Sub(r.at) >= sampleAge {
			continue
		}
		for _, f := range r.figures {
			if f.Band == band {
				known = append(known, weighted{f.Ratio, float64(min(f.Samples, maxPeerSamples))})
			}
		}
	}
	if len(known) == 0 {
		return 1, 1
	}
	middle, total := weightedMedian(known)
	if math.Abs(middle) < negligibleRatio {
		middle = 0
	}
	for i, k := range known {
		// A mean of n samples deviates less than one of them, by the square root of n.
		known[i].ratio = math.Abs(k.ratio-middle) * math.Sqrt(k.weight)
	}
	deviation, _ := weightedMedian(known)
	trust := total / (total + priorSamples)
	middle *= trust
	spread := trust * optimisticDeviations * deviationPerMAD * deviation
	return bounded(middle), bounded(middle - spread)
}

// bounded returns the ratio of a logarithm within the bounds of corrections.
func bounded(logarithm float64) float64 {
	return min(maxRatio, max(minRatio, math.Exp(logarithm)))
}

// weightedMedian returns the weighted median of ratios, and the sum of the weights.
func weightedMedian(known []weighted) (median, total float64) {
	slices.SortFunc(known, func(a, b weighted) int { return cmp.Compare(a.ratio, b.ratio) })
	for _, k := range known {
		total += k.weight
	}
	below := 0.0
	for _, k := range known {
		below += k.weight
		if below >= total/2 {
			return k.ratio, total
		}
	}
	return 0, total
}

// Forecaster corrects the predictions of one service.
type Forecaster struct {
	Estimator *Estimator
	Service   rtid.Service
}

// Correct returns the median and the optimistic end of the time to the first event of a
// prompt that is split into parts, for a predicted time.
func (f Forecaster) Correct(prompt rtid.Tokens, parts int, predicted time.Duration, now time.Time) (median, optimistic time.Duration) {
	middle, low := f.Estimator.Ratios(BandOf(f.Service, prompt, parts), now)
	return time.Duration(middle * float64(predicted)), time.Duration(low * float64(predicted))
}
