package rtlimit

import "time"

// Window counts events of the last Span. The zero value with a Span is ready
// to use.
type Window struct {
	Span   time.Duration
	events []time.Time // in order, none older than Span at the last call
}

// Add counts one event.
func (w *Window) Add(now time.Time) {
	w.Count(now)
	w.events = append(w.events, now)
}

// Count returns the events of the last Span.
func (w *Window) Count(now time.Time) int {
	old := 0
	for old < len(w.events) && now.Sub(w.events[old]) >= w.Span {
		old++
	}
	w.events = w.events[old:]
	return len(w.events)
}

// Next returns when the count falls below limit again, or now if it is below.
func (w *Window) Next(now time.Time, limit int) time.Time {
	count := w.Count(now)
	if count < limit || limit <= 0 {
		return now
	}
	return w.events[count-limit].Add(w.Span)
}

// RetryShare is one process's part of a retry budget that many processes
// share: a fraction of its own requests and an equal part of a fixed
// allowance, in each window. The parts add up to no more than the whole while
// Processes is not too small.
type RetryShare struct {
	Ratio     float64 // retries for each request
	Allowance float64 // retries of all processes in a window
	Processes int     // that may share the allowance; at least 1

	requests Window
	retries  Window
}

// margin is the part of the budget that is used: windows of the processes
// and of the judge do not begin at the same moments.
const margin = 0.7

// Start sets the length of the window.
func (s *RetryShare) Start(span time.Duration) {
	s.requests.Span, s.retries.Span = span, span
}

// Request counts a request for the first time.
func (s *RetryShare) Request(now time.Time) { s.requests.Add(now) }

// Take reports whether one more retry is allowed, and spends it.
func (s *RetryShare) Take(now time.Time) bool {
	allowed := margin * (s.Ratio*float64(s.requests.Count(now)) + s.Allowance/float64(max(1, s.Processes)))
	if float64(s.retries.Count(now)+1) > allowed {
		return false
	}
	s.retries.Add(now)
	return true
}
