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

// Count returns the number of events in the last Span.
func (w *Window) Count(now time.Time) int {
	expired := 0
	for expired < len(w.events) && now.Sub(w.events[expired]) >= w.Span {
		expired++
	}
	w.events = w.events[expired:]
	return len(w.events)
}

// CountWithin returns the number of events in the last span, which must not be
// longer than Span.
func (w *Window) CountWithin(span time.Duration, now time.Time) int {
	w.Count(now)
	count := 0
	for i := len(w.events) - 1; i >= 0 && now.Sub(w.events[i]) < span; i-- {
		count++
	}
	return count
}

// Last returns the time of the last event of the last Span. It reports false if there
// is none.
func (w *Window) Last(now time.Time) (time.Time, bool) {
	if w.Count(now) == 0 {
		return time.Time{}, false
	}
	return w.events[len(w.events)-1], true
}

// waitForRoom returns how long it takes until fewer than limit events are left.
func (w *Window) waitForRoom(now time.Time, limit int) time.Duration {
	excess := w.Count(now) - limit
	if excess < 0 {
		return 0
	}
	return w.events[excess].Add(w.Span).Sub(now)
}

// RetryShare is one process's share of a retry budget of many processes. In
// each window it allows a fraction of the process's own requests and an equal
// part of a fixed allowance. The shares of all processes add up to no more
// than the budget as long as Processes is not too small.
type RetryShare struct {
	Ratio     float64 // retries for each request
	Allowance float64 // retries of all processes in a window
	Processes int     // that may use the allowance; at least 1

	started  time.Time
	requests Window
	retries  Window
}

const (
	// budgetShare is the part of the budget that is used. It is less than 1
	// because the requests of the budget are counted where they arrive, a little
	// later than here.
	budgetShare = 0.65
	// startBudgetShare is the part that is used in the first window after a
	// start, when the process does not know how many retries its predecessor has
	// used.
	startBudgetShare = 0.3
	// spareShare is the part of the retries that may be used for what can be left out.
	spareShare = 0.5
)

// Start sets the length of the window and begins the first one. It must be
// called first.
func (s *RetryShare) Start(span time.Duration, now time.Time) {
	s.requests.Span, s.retries.Span = span, span
	s.started = now
}

// RecordRequest counts a request at its first attempt.
func (s *RetryShare) RecordRequest(now time.Time) { s.requests.Add(now) }

// Take takes one retry from the budget. It reports false if the budget is
// exhausted.
func (s *RetryShare) Take(now time.Time) bool {
	if !s.Available(now) {
		return false
	}
	s.retries.Add(now)
	return true
}

// Available reports whether the budget allows one more retry.
func (s *RetryShare) Available(now time.Time) bool {
	return float64(s.retries.Count(now)+1) <= s.allowed(now)
}

// Spare reports whether the budget allows one more retry that can be left out, so that
// enough remains for others.
func (s *RetryShare) Spare(now time.Time) bool {
	return float64(s.retries.Count(now)+1) <= spareShare*s.allowed(now)
}

// allowed returns the number of retries in a window.
func (s *RetryShare) allowed(now time.Time) float64 {
	share := budgetShare
	if now.Sub(s.started) < s.retries.Span {
		share = startBudgetShare
	}
	return share * (s.Ratio*float64(s.requests.Count(now)) + s.Allowance/float64(max(1, s.Processes)))
}
