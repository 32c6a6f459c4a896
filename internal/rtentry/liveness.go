package rtentry

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// livenessInterval is the time between checks that the agent of a running call
// is alive. A connection to a VM that was lost can stay open without an error.
const livenessInterval = time.Second

// whileAlive returns a context that is cancelled when the agent's incarnation has
// ended or the agent is no longer alive. The caller must call the returned
// function to stop the checks.
func (e *Entry) whileAlive(ctx context.Context, target rtid.Target, incarnation rtid.Incarnation) (context.Context, func()) {
	liveCtx, cancel := context.WithCancel(ctx)
	watch := rttask.Start(liveCtx, "watch", func(ctx context.Context) error {
		ticker := time.NewTicker(livenessInterval)
		defer ticker.Stop()
		for {
			// Wait before the first check too, so that a call can still read
			// what the agent sent before it was lost.
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			if e.incarnationEnded(target, incarnation) || !e.alive(target) {
				cancel()
				return nil
			}
		}
	})
	return liveCtx, func() {
		cancel()
		_ = watch.Stop() // the task always returns nil
	}
}

// alive reports whether an agent is alive: whether its last status arrived
// within three heartbeat intervals.
func (e *Entry) alive(target rtid.Target) bool {
	view, ok := e.node.Find(target)
	return ok && view.Alive
}
