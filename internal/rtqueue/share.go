package rtqueue

import (
	"math"
	"time"
)

// shareMemory is the time constant of the mean number of short requests. It
// is longer than the gaps between short requests of a steady caller.
const shareMemory = 10 * time.Second

// share adapts the slots kept for short requests to how many there are.
type share struct {
	mean   float64 // short requests that wait or run, exponentially weighted
	last   int
	latest time.Time
}

// observe takes in the number of short requests from now on.
func (s *share) observe(shorts int, now time.Time) {
	if !s.latest.IsZero() {
		elapsed := max(0, now.Sub(s.latest))
		keep := math.Exp(-float64(elapsed) / float64(shareMemory))
		s.mean = s.mean*keep + float64(s.last)*(1-keep)
	}
	s.last = shorts
	s.latest = now
}

// slots returns the slots kept free of longer requests: the mean number of
// short requests rounded up, at least one so that a short request that comes
// after a pause does not wait for a long one, at most half.
func (s *share) slots(total int) int {
	return min(max(1, int(math.Ceil(s.mean-0.5))), total/2)
}
