// Package rtload generates seeded open-loop load, sends it through entries and
// records the results that callers get.
package rtload

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Band is a range of prompt lengths: more than half of MaxTokens and at most
// MaxTokens.
type Band struct {
	Name      string
	MaxTokens rtid.Tokens
	TimeLimit time.Duration // of the requests
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

// ShortBandCount is the number of bands whose prompts are in the short class.
const ShortBandCount = 2

// Share is the fraction of the traffic that one organisation sends.
type Share struct {
	Organisation rtid.Organisation
	Fraction     float64
}

// Mix describes the traffic of one deployment.
type Mix struct {
	BandShares     []float64 // fraction of the drafts in each band
	Organisations  []Share
	MinOutput      rtid.Tokens // the tokens of an answer are uniform from MinOutput to MaxOutput
	MaxOutput      rtid.Tokens
	StatusPerDraft float64 // status requests per draft
	OrdersPerDraft float64 // orders per draft
	OrderLimit     time.Duration
}

// organisations are ten, of which three send most of the traffic.
var organisations = []Share{
	{"large-1", 0.25}, {"large-2", 0.20}, {"large-3", 0.15},
	{"small-1", 0.06}, {"small-2", 0.06}, {"small-3", 0.06}, {"small-4", 0.06},
	{"small-5", 0.06}, {"small-6", 0.05}, {"small-7", 0.05},
}

// The mixes are assumptions. Only this is known: one draft in fifty has over 100k
// tokens, the sizes of the deployments, and "most traffic is quick wording
// changes".
var (
	// KavangoMix has many transcripts of part of a day.
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
	const meanFraction = 0.75 // of a length that is uniform from half of MaxTokens to MaxTokens
	var sum float64
	for i := range bands {
		sum += m.BandShares[i] * float64(Bands[i].MaxTokens) * meanFraction
	}
	return sum
}

// drawBand draws a random band.
func (m *Mix) drawBand(random *rand.Rand) int {
	remaining := random.Float64()
	for i, share := range m.BandShares {
		if remaining < share {
			return i
		}
		remaining -= share
	}
	return 0
}

// drawOrganisation draws a random organisation.
func (m *Mix) drawOrganisation(random *rand.Rand) rtid.Organisation {
	remaining := random.Float64()
	for _, share := range m.Organisations {
		if remaining < share.Fraction {
			return share.Organisation
		}
		remaining -= share.Fraction
	}
	return m.Organisations[0].Organisation
}
