package rtfake

import (
	"context"
	"time"
)

// waitUntil waits until changed is closed or until the given time, unless that
// is zero. It returns false if the context ends first.
func waitUntil(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	var reached <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		reached = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-reached:
	}
	return true
}

// sleep waits for a duration. It returns an error if the context ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func expired(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

// earliest returns the earlier time; zero counts as never.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}
