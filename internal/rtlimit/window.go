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

// RetryShare is one process's part of a retry budget that many processes
// share: a fraction of its own requests and an equal part of a fixed
// allowance, in each window. The parts add up to no more than the whole while
// Processes is not too small.
type RetryShare struct {
	Ratio     float64 // retries for each request
	Allowance float64 // retries of all processes in a window
	Processes int     // that may share the allowance; at least 1

	started  time.Time
	requests Window
	retries  Window
}

const (
	// margin is the part of the budget that is used: requests are counted where
	// they arrive, a little later than here.
	margin = 0.65
	// startMargin is the part in the first window after a start. The process
	// does not know what the one before it has spent.
	startMargin = 0.3
)

// Start sets the length of the window. It must be called first.
func (s *RetryShare) Start(span time.Duration, now time.Time) {
	s.requests.Span, s.retries.Span = span, span
	s.started = now
}

// Request counts a request for the first time.
func (s *RetryShare) RecordRequest(now time.Time) { s.requests.Add(now) }

// Take reports whether one more retry is allowed, and spends it.
func (s *RetryShare) Take(now time.Time) bool {
	part := margin
	if now.Sub(s.started) < s.retries.Span {
		part = startMargin
	}
	allowed := part * (s.Ratio*float64(s.requests.Count(now)) + s.Allowance/float64(max(1, s.Processes)))
	if float64(s.retries.Count(now)+1) > allowed {
		return false
	}
	s.retries.Add(now)
	return true
}
