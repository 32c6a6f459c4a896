package rtfake

import (
	"context"
	"time"
)

// waitUntil returns when changed is closed or at the instant until, if that is
// not zero. It returns false if the context ends first.
func waitUntil(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	var passed <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		passed = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-passed:
	}
	return true
}

// sleep waits for a duration or the end of the context.
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

// earliest returns the earlier instant; a zero one is never.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}
