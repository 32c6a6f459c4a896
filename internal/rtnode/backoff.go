package rtnode

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff doubles the delay between retries from initial up to maximum. While
// current is zero, the next delay is initial.
type backoff struct {
	initial, maximum time.Duration
	current          time.Duration
}

// next returns the delay before the next retry. Half of it is random, so that
// processes that failed at the same time do not retry at the same time.
func (b *backoff) next() time.Duration {
	b.current = min(max(b.initial, 2*b.current), b.maximum)
	return b.current/2 + rand.N(b.current/2)
}

func (b *backoff) reset() { b.current = 0 }

// sleep returns after the duration or when the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	sleepUntilChanged(ctx, duration, nil)
}

// sleepUntilChanged returns after the duration, when the context ends or when
// changed is closed.
func sleepUntilChanged(ctx context.Context, duration time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}
