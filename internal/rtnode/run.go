package rtnode

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// Run learns the configuration and the list of VMs, then exchanges heartbeats
// until the context ends. If one of its tasks ends before, all of them stop.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mu.Lock()
	n.begun = time.Now()
	n.mu.Unlock()
	var tasks []*rttask.Task
	start := func(name string, f func(context.Context) error) {
		tasks = append(tasks, rttask.Start(ctx, name, func(ctx context.Context) error {
			defer cancel() // also when f panics
			return f(ctx)
		}))
	}
	start("learn", n.learn)
	start("watch documents", n.watchDocuments)
	start("watch lists", n.watchLists)
	start("read without readers", n.readWithoutReaders)
	start("heartbeats", n.keepTable)
	start("push news", n.pushNews)
	for range pullWorkers {
		start("pull", n.pullFromPeers)
	}
	var errs []error
	for _, task := range tasks {
		errs = append(errs, <-task.Done())
	}
	n.peers.client.CloseIdleConnections()
	n.platform.HTTP.CloseIdleConnections()
	return errors.Join(errs...)
}
