package rtload

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Kind is the kind of request that a caller sends.
type Kind int

// The kinds of arrivals.
const (
	KindDraft Kind = iota
	KindStatus
	KindOrder
)

// Arrival is one request of a schedule.
type Arrival struct {
	Due          time.Duration // from the start of the load
	Kind         Kind
	Number       int         // unique in the schedule
	Band         int         // of a draft; index in Bands
	Tokens       rtid.Tokens // of the prompt of a draft
	Output       rtid.Tokens // of a draft
	TimeLimit    time.Duration
	Organisation rtid.Organisation
	Entry        int // any number; Driver takes it modulo the number of entries
}

// Phase is a section of a schedule with a constant rate.
type Phase struct {
	Duration time.Duration
	Rate     float64 // drafts per second
}

// Schedule returns Poisson arrivals of a mix. The same seed gives the same
// schedule.
func Schedule(seed uint64, mix *Mix, phases ...Phase) []Arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	var arrivals []Arrival
	var start time.Duration
	for _, phase := range phases {
		total := phase.Rate * (1 + mix.StatusPerDraft + mix.OrdersPerDraft)
		for at := start; total > 0; {
			at += time.Duration(random.ExpFloat64() / total * float64(time.Second))
			if at >= start+phase.Duration {
				break
			}
			arrival := mix.drawArrival(random)
			arrival.Due, arrival.Number = at, len(arrivals)
			arrivals = append(arrivals, arrival)
		}
		start += phase.Duration
	}
	return arrivals
}

// drawArrival returns a random arrival without its due time. It draws the same
// number of random values for each kind.
func (m *Mix) drawArrival(random *rand.Rand) Arrival {
	arrival := Arrival{
		Kind:         m.drawKind(random),
		Band:         m.drawBand(random),
		Organisation: m.drawOrganisation(random),
		Entry:        random.Int(),
	}
	maxTokens := Bands[arrival.Band].MaxTokens
	arrival.Tokens = maxTokens - rtid.Tokens(random.Int64N(int64(maxTokens/2)))
	arrival.Output = m.MinOutput + rtid.Tokens(random.Int64N(int64(m.MaxOutput-m.MinOutput)+1))
	arrival.TimeLimit = Bands[arrival.Band].TimeLimit
	if arrival.Kind == KindOrder {
		arrival.TimeLimit = m.OrderLimit
	}
	return arrival
}

func (m *Mix) drawKind(random *rand.Rand) Kind {
	switch x := random.Float64() * (1 + m.StatusPerDraft + m.OrdersPerDraft); {
	case x < m.StatusPerDraft:
		return KindStatus
	case x < m.StatusPerDraft+m.OrdersPerDraft:
		return KindOrder
	default:
		return KindDraft
	}
}

// Filter returns the arrivals for which keep returns true, with unchanged due
// times and numbers.
func Filter(arrivals []Arrival, keep func(*Arrival) bool) []Arrival {
	var kept []Arrival
	for i := range arrivals {
		if keep(&arrivals[i]) {
			kept = append(kept, arrivals[i])
		}
	}
	return kept
}

// IsShortDraft reports whether an arrival is a draft with a prompt of the short
// class.
func IsShortDraft(arrival *Arrival) bool {
	return arrival.Kind == KindDraft && arrival.Band < ShortBandCount
}
