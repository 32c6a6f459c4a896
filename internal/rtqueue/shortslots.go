package rtqueue

import (
	"math"
	"time"
)

// shortMeanTime is the time constant of the moving mean of the number of short
// requests. It is longer than the gaps between short requests of a steady
// caller.
const shortMeanTime = 10 * time.Second

// shortSlotReserve adapts the number of slots reserved for short requests to the
// mean number of short requests.
type shortSlotReserve struct {
	meanShort    float64 // exponentially weighted mean of waiting and running short requests
	currentShort int
	updated      time.Time
}

// observe records the number of short requests from now on. It first updates
// the mean with the number recorded before, for the time since then.
func (s *shortSlotReserve) observe(shortCount int, now time.Time) {
	if !s.updated.IsZero() {
		elapsed := max(0, now.Sub(s.updated))
		decay := math.Exp(-float64(elapsed) / float64(shortMeanTime))
		s.meanShort = s.meanShort*decay + float64(s.currentShort)*(1-decay)
	}
	s.currentShort = shortCount
	s.updated = now
}

// reserved returns the number of slots that longer requests may not use. It is
// the rounded mean number of short requests, but at least one, so that a short
// request that arrives after a gap does not wait for a long one, and at most
// half of all slots.
func (s *shortSlotReserve) reserved(total int) int {
	return min(max(1, int(math.Ceil(s.meanShort-0.5))), total/2)
}
