// Package rtlimit limits retries and the request rates of organisations. Its
// types are small state machines that take the time as a parameter. They are not
// safe for concurrent use.
package rtlimit

import "time"

const (
	// retryRatio is the number of retries that each first offer adds to the
	// budget. With it, retries add at most a tenth to the load of a fleet that
	// refuses everything.
	retryRatio = 0.1
	// minRetryRate is the retries per second that are allowed without first
	// offers, so that an entry with little traffic can retry at all.
	minRetryRate = 1.0
	// retryBurst limits the retries that can accumulate.
	retryBurst = 20.0
)

// RetryBudget is a token bucket that limits retries to a fraction of first
// offers. The zero value holds one retry.
type RetryBudget struct {
	tokens  float64 // in [0, retryBurst]
	updated time.Time
	retries uint64
}

// RecordOffer records a first offer, which adds to the budget.
func (b *RetryBudget) RecordOffer(now time.Time) {
	b.refill(now)
	b.tokens = min(retryBurst, b.tokens+retryRatio)
}

// Take takes one retry from the budget. It reports false if the budget is
// exhausted.
func (b *RetryBudget) Take(now time.Time) bool {
	b.refill(now)
	// Rounding must not keep ten first offers from adding one retry.
	const almostOne = 1 - 1e-9
	if b.tokens < almostOne {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	b.retries++
	return true
}

// Available returns the retries that are allowed at this moment.
func (b *RetryBudget) Available(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Retries returns the number of retries since the start.
func (b *RetryBudget) Retries() uint64 { return b.retries }

// refill adds retries at minRetryRate for the time since the last call. These
// never accumulate to more than one retry, because they are meant for an idle
// entry.
func (b *RetryBudget) refill(now time.Time) {
	if b.updated.IsZero() {
		b.tokens, b.updated = 1, now
		return
	}
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updated = now
	if b.tokens < 1 {
		b.tokens = min(1, b.tokens+elapsed*minRetryRate)
	}
}
