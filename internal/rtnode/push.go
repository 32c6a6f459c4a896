package rtnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// newsPeers is how many peers get a Hello at once when a newer document
	// is in force, so that it does not wait for heartbeats: at the size to
	// design for their interval is too long for three hops in 16 s.
	newsPeers = 4

	// leavingPeers bounds the peers that get a Hello at once when this
	// process begins to leave, because an interval may exceed the 5 s in
	// which they must know.
	leavingPeers = 128
)

// pushNews sends Hello to peers when a newer document is in force here and
// when this process begins to leave. The peers pull what they lack.
func (n *Node) pushNews(ctx context.Context) error {
	left := n.left
	changed := n.store.Changed()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			changed = n.store.Changed()
			n.helloAll(ctx, n.peersBehind(newsPeers))
		case <-left:
			left = nil
			n.helloAll(ctx, n.peersBehind(leavingPeers))
		}
	}
}

// peersBehind returns up to count random peers that were last heard with an
// older document; if this process is leaving, whatever they have.
func (n *Node) peersBehind(count int) []rtid.Address {
	version := n.store.Current().Version
	n.mu.Lock()
	statuses := n.table.AliveStatuses(time.Now())
	all := n.leaving
	n.mu.Unlock()
	var addresses []rtid.Address
	for _, status := range statuses {
		if all || rtid.Version(status.Version) < version {
			addresses = append(addresses, rtid.Address(status.Address))
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(count, len(addresses))]
}

// helloAll exchanges status with several peers at the same time.
func (n *Node) helloAll(ctx context.Context, addresses []rtid.Address) {
	var tasks []*rttask.Task
	for _, address := range addresses {
		tasks = append(tasks, rttask.Start(ctx, "hello", func(ctx context.Context) error {
			n.beat(ctx, address)
			return nil
		}))
	}
	for _, task := range tasks {
		n.logEnd("hello", <-task.Done())
	}
}

// queuePull queues a pull from the sender of a status.
func (n *Node) queuePull(status *rtwire.Status) {
	select {
	case n.pulls <- status:
	default: // the next heartbeat brings the versions again
	}
}
