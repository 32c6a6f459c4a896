package rtentry

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// watchInterval is how often a call checks whether its agent still exists. A
// connection to a lost VM can stay open without a sign.
const watchInterval = time.Second

// whileHeard returns a context that ends when an agent incarnation is gone or
// has not been heard of lately. The caller must call the returned function.
func (e *Entry) whileHeard(ctx context.Context, target rtid.Target, incarnation rtid.Incarnation) (context.Context, func()) {
	heard, cancel := context.WithCancel(ctx)
	watch := rttask.Start(heard, "watch", func(ctx context.Context) error {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			// The first check waits too, so that a call can still read what the
			// agent had sent before it was lost.
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			if e.homeGone(target, incarnation) || !e.alive(target) {
				cancel()
				return nil
			}
		}
	})
	return heard, func() {
		cancel()
		_ = watch.Stop() // returns nothing but nil
	}
}

// alive reports whether an agent has been heard of lately.
func (e *Entry) alive(target rtid.Target) bool {
	view, ok := e.node.Find(target)
	return ok && view.Alive
}
