// Package rthedge decides whether and when a request gets an extra attempt at another
// target because its first attempt has sent nothing for longer than nearly all requests
// of its kind.
package rthedge

import (
	"math"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	// quantile is the part of the requests of a kind that have their first event before an
	// extra attempt: at most one in twenty gets one even without a budget.
	quantile = 0.95
	// minSamples is the number of recent samples below which nothing is known: with fewer,
	// the quantile is that of one or two requests.
	minSamples = 30
	// sampleAge is how long a sample counts. Longer than the swings of the load would compare
	// a request with others that had an idle target.
	sampleAge = 30 * time.Second
	// maxSamples limits the samples of a kind; the oldest are dropped.
	maxSamples = 256
	// maxKinds limits the kinds that are remembered; the configuration names the services.
	maxKinds = 256
)

// bandLimits are the largest prompts of the bands but the last, in tokens.
var bandLimits = []rtid.Tokens{3_000, MaxPrompt}

// MaxPrompt is the largest prompt that gets an extra attempt, in tokens. A longer one takes
// the targets more time than the attempt can save.
const MaxPrompt = rtid.Tokens(24_000)

// Kind is a set of requests whose times to the first event are compared.
type Kind struct {
	Service rtid.Service
	Band    int // of the size of the prompt
}

// KindOf returns the kind of a request.
func KindOf(service rtid.Service, prompt rtid.Tokens) Kind {
	band, _ := slices.BinarySearch(bandLimits, prompt)
	return Kind{service, band}
}

// Latencies are the recent times to the first event. The zero value is empty.
type Latencies struct {
	kinds map[Kind][]sample // in the order of their times
}

type sample struct {
	at   time.Time
	took time.Duration
}

// Record records the time from a send to its first event.
func (l *Latencies) Record(kind Kind, took time.Duration, now time.Time) {
	if l.kinds == nil {
		l.kinds = make(map[Kind][]sample)
	}
	samples := l.recent(kind, now)
	if len(samples) == 0 && len(l.kinds) >= maxKinds {
		return
	}
	samples = append(samples, sample{now, max(took, 0)})
	l.kinds[kind] = samples[max(0, len(samples)-maxSamples):]
}

// recent drops the samples of a kind that are too old and returns the others.
func (l *Latencies) recent(kind Kind, now time.Time) []sample {
	samples := l.kinds[kind]
	old := 0
	for old < len(samples) && now.Sub(samples[old].at) >= sampleAge {
		old++
	}
	samples = samples[old:]
	if len(samples) == 0 {
		delete(l.kinds, kind)
	} else if old > 0 {
		l.kinds[kind] = samples
	}
	return samples
}

// Delay returns how long after its send a request without an event gets an extra attempt:
// the quantile of its kind, and at least half of its latency SLO, because an answer before
// that is in time in any case. It reports false if too little is known.
func (l *Latencies) Delay(kind Kind, latencySLO time.Duration, now time.Time) (time.Duration, bool) {
	samples := l.recent(kind, now)
	if len(samples) < minSamples {
		return 0, false
	}
	sorted := make([]time.Duration, 0, len(samples))
	for _, s := range samples {
		sorted = append(sorted, s.took)
	}
	slices.Sort(sorted)
	index := int(math.Ceil(quantile*float64(len(sorted)))) - 1
	return max(sorted[index], latencySLO/2), true
}
