package rtnode

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff doubles a delay from first up to last. The zero value of current
// starts with first.
type backoff struct {
	first, last time.Duration
	current     time.Duration
}

// next returns the delay before the next try: half of it fixed, half random,
// so that processes that failed together do not try again together.
func (b *backoff) next() time.Duration {
	b.current = min(max(b.first, 2*b.current), b.last)
	return b.current/2 + rand.N(b.current/2)
}

func (b *backoff) reset() { b.current = 0 }

// pause waits for the duration or the end of the context.
func pause(ctx context.Context, duration time.Duration) {
	wait(ctx, duration, nil)
}

// wait waits for the duration, the end of the context or a change.
func wait(ctx context.Context, duration time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}
