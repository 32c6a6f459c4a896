// Package rtload generates seeded open-loop load, sends it through entries and
// records what callers saw.
package rtload

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Band is a range of prompt lengths. A prompt is at most Tokens long and
// longer than half of that.
type Band struct {
	Name      string
	MaxTokens rtid.Tokens
	TimeLimit time.Duration // time limit that callers ask for
}

// Bands are the ranges of prompt lengths, shortest first. The time limits are
// an assumption: a caller of a longer prompt waits longer.
var Bands = []Band{
	{"1k", 1 << 10, 5 * time.Second},
	{"4k", 4 << 10, 8 * time.Second},
	{"16k", 16 << 10, 15 * time.Second},
	{"64k", 64 << 10, 30 * time.Second},
	{"256k", 256 << 10, time.Minute},
	{"1M", 1 << 20, 2 * time.Minute},
}

// ShortBands is the number of bands whose prompts are in the short class.
const ShortBandCount = 2

// Share is an organisation with its part of the traffic.
type Share struct {
	Organisation rtid.Organisation
	Fraction     float64
}

// Mix describes the traffic of one deployment.
type Mix struct {
	BandShares     []float64 // part of each band in the drafts
	Organisations  []Share
	MinOutput      rtid.Tokens // tokens of an answer, uniform up to MaxOutput
	MaxOutput      rtid.Tokens
	StatusPerDraft float64 // status queries for each draft
	OrdersPerDraft float64 // orders for each draft
	OrderLimit     time.Duration
}

// organisations are ten, of which three have most of the traffic.
var organisations = []Share{
	{"large-1", 0.25}, {"large-2", 0.20}, {"large-3", 0.15},
	{"small-1", 0.06}, {"small-2", 0.06}, {"small-3", 0.06}, {"small-4", 0.06},
	{"small-5", 0.06}, {"small-6", 0.05}, {"small-7", 0.05},
}

// The mixes are assumptions. Both have one draft in fifty over 100k tokens.
// Nothing but that, the size of the deployments and "most traffic is quick
// wording changes" is known.
var (
	// KavangoMix has many transcripts of a part of a day.
	KavangoMix = Mix{
		BandShares:    []float64{0.40, 0.25, 0.20, 0.13, 0.018, 0.002},
		Organisations: organisations,
		MinOutput:     4, MaxOutput: 12,
		StatusPerDraft: 0.10, OrdersPerDraft: 0.05, OrderLimit: 10 * time.Second,
	}
	// NepGapMix has mostly quick wording changes.
	NepGapMix = Mix{
		BandShares:    []float64{0.70, 0.15, 0.09, 0.04, 0.018, 0.002},
		Organisations: organisations,
		MinOutput:     4, MaxOutput: 12,
		StatusPerDraft: 0.10, OrdersPerDraft: 0.05, OrderLimit: 10 * time.Second,
	}
)

// MeanTokens returns the mean prompt length of the first bands.
func (m *Mix) MeanTokens(bands int) float64 {
	const meanPart = 0.75 // of a length that is uniform from a half to the whole
	var sum float64
	for i := range bands {
		sum += m.BandShares[i] * float64(Bands[i].MaxTokens) * meanPart
	}
	return sum
}

// band draws a band.
func (m *Mix) band(random *rand.Rand) int {
	left := random.Float64()
	for i, part := range m.BandShares {
		if left < part {
			return i
		}
		left -= part
	}
	return 0
}

// organisation draws an organisation.
func (m *Mix) organisation(random *rand.Rand) rtid.Organisation {
	left := random.Float64()
	for _, share := range m.Organisations {
		if left < share.Fraction {
			return share.Organisation
		}
		left -= share.Fraction
	}
	return m.Organisations[0].Organisation
}
