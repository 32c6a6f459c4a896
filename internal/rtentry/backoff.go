package rtentry

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Pauses between calls about one request to the same agent.
const (
	firstPause = 5 * time.Millisecond
	maxPause   = 250 * time.Millisecond
)

// backoff doubles the pause between calls.
type backoff struct {
	pause time.Duration
}

func newBackoff() *backoff {
	return &backoff{pause: firstPause}
}

// wait pauses. It returns false when the context has ended.
func (b *backoff) wait(ctx context.Context) bool {
	timer := time.NewTimer(b.pause)
	defer timer.Stop()
	b.pause = min(2*b.pause, maxPause)
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// reset makes the next pause short again.
func (b *backoff) reset() {
	b.pause = firstPause
}

// refreshRemaining sets the remaining time of an offer that is sent again.
func refreshRemaining(ctx context.Context, offer *rtwire.OfferRequest) {
	if deadline, ok := ctx.Deadline(); ok {
		offer.Remaining = durationpb.New(max(0, time.Until(deadline)))
	}
}
