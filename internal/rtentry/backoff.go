package rtentry

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Delays between calls about one request to the same agent.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
)

// backoff is an exponential backoff: the delay doubles with each wait.
type backoff struct {
	delay time.Duration
}

func newBackoff() *backoff {
	return &backoff{delay: minBackoff}
}

// wait sleeps for the current delay. It returns false if the context has ended.
func (b *backoff) wait(ctx context.Context) bool {
	timer := time.NewTimer(b.delay)
	defer timer.Stop()
	b.delay = min(2*b.delay, maxBackoff)
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// reset sets the next delay to minBackoff.
func (b *backoff) reset() {
	b.delay = minBackoff
}

// refreshRemaining sets the remaining time of an offer before it is sent again.
func refreshRemaining(ctx context.Context, offer *rtwire.OfferRequest) {
	if deadline, ok := ctx.Deadline(); ok {
		offer.Remaining = durationpb.New(max(0, time.Until(deadline)))
	}
}
