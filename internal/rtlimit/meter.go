package rtlimit

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of a Meter: long enough to smooth
// bursts of single requests, short enough to follow the traffic at the start of
// a sitting.
const meterTimeConstant = 5 * time.Second

// Meter measures a rate as an exponentially weighted mean. The zero value is
// ready to use.
type Meter struct {
	weight  float64 // of the events, decayed to updated
	updated time.Time
}

// Add counts one event.
func (m *Meter) Add(now time.Time) {
	m.decay(now)
	m.weight++
}

// Rate returns the events per second.
func (m *Meter) Rate(now time.Time) float64 {
	m.decay(now)
	return m.weight / meterTimeConstant.Seconds()
}

// decay decreases the weight for the time since the last call.
func (m *Meter) decay(now time.Time) {
	elapsed := now.Sub(m.updated)
	if elapsed <= 0 {
		return
	}
	m.weight *= math.Exp(-elapsed.Seconds() / meterTimeConstant.Seconds())
	m.updated = now
}
