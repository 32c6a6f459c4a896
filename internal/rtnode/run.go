package rtnode

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// Run loads the configuration and the list of VMs, then exchanges heartbeats
// until the context ends. If one of its tasks ends earlier, all of them are
// stopped.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mu.Lock()
	n.runStarted = time.Now()
	n.mu.Unlock()
	var tasks []*rttask.Task
	start := func(name string, f func(context.Context) error) {
		tasks = append(tasks, rttask.Start(ctx, name, func(ctx context.Context) error {
			defer cancel() // also when f panics
			return f(ctx)
		}))
	}
	start("learn", n.loadInitialState)
	start("watch documents", n.watchDocuments)
	start("watch list of VMs", n.watchRoster)
	start("read platform when unconfirmed", n.readWhenUnconfirmed)
	start("heartbeats", n.maintainTable)
	start("push updates", n.pushUpdates)
	for range pullWorkers {
		start("pull", n.runPulls)
	}
	var errs []error
	for _, task := range tasks {
		errs = append(errs, <-task.Done())
	}
	n.peers.client.CloseIdleConnections()
	n.platform.HTTP.CloseIdleConnections()
	return errors.Join(errs...)
}
