// Package rtlimit holds the limits of an entry as small state machines. Time
// is a parameter. The types are not safe for concurrent use.
package rtlimit

import "time"

const (
	// retryRatio is the retries that each first offer earns. With it, retries
	// add at most a tenth to the load of a fleet that refuses everything.
	retryRatio = 0.1
	// retryFloor is the retries per second that are allowed without first
	// offers, so that an entry with little traffic can retry at all.
	retryFloor = 1.0
	// retryBurst bounds the retries that can be saved up.
	retryBurst = 20.0
)

// RetryBudget is a token bucket that caps retries at a fraction of first
// offers. The zero value holds one retry.
type RetryBudget struct {
	tokens  float64 // in [0, retryBurst]
	updated time.Time
	spent   uint64
}

// Offer records a first offer.
func (b *RetryBudget) RecordOffer(now time.Time) {
	b.refill(now)
	b.tokens = min(retryBurst, b.tokens+retryRatio)
}

// Take reports whether a retry is allowed, and spends it.
func (b *RetryBudget) Take(now time.Time) bool {
	b.refill(now)
	// Ten first offers must earn one retry in spite of rounding.
	const almostOne = 1 - 1e-9
	if b.tokens < almostOne {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	b.spent++
	return true
}

// Left returns the retries that are allowed now.
func (b *RetryBudget) Available(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Spent returns the retries since the start.
func (b *RetryBudget) Retries() uint64 { return b.spent }

// refill adds the floor for the time since the last call. A floor never saves
// up more than one retry, because it is meant for an idle entry.
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
		b.tokens = min(1, b.tokens+elapsed*retryFloor)
	}
}
