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
	// documentPushPeers is how many peers are sent a Hello at once when a newer
	// document comes into force, so that it does not wait for heartbeats: at
	// the design size their interval is too long for three hops within 16 s.
	documentPushPeers = 4

	// drainPushPeers is the largest number of peers that are sent a Hello at
	// once when this process starts draining, because the heartbeat interval
	// may exceed the 5 s within which peers must know.
	drainPushPeers = 128
)

// pushUpdates sends a Hello to peers when a newer document comes into force and
// when this process starts draining. The peers pull what they lack.
func (n *Node) pushUpdates(ctx context.Context) error {
	drainStarted := n.drainStarted
	changed := n.store.Changed()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			changed = n.store.Changed()
			n.helloAll(ctx, n.peersToPush(documentPushPeers))
		case <-drainStarted:
			drainStarted = nil
			n.helloAll(ctx, n.peersToPush(drainPushPeers))
		}
	}
}

// peersToPush returns the addresses of up to count random peers that are alive
// and whose last status has an older document; if this process is draining, of
// any peers that are alive.
func (n *Node) peersToPush(count int) []rtid.Address {
	version := n.store.Current().Version
	n.mu.Lock()
	statuses := n.table.AliveStatuses(time.Now())
	all := n.draining
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

// helloAll exchanges status with several peers concurrently.
func (n *Node) helloAll(ctx context.Context, addresses []rtid.Address) {
	var tasks []*rttask.Task
	for _, address := range addresses {
		tasks = append(tasks, rttask.Start(ctx, "hello", func(ctx context.Context) error {
			n.exchangeHeartbeat(ctx, address)
			return nil
		}))
	}
	for _, task := range tasks {
		n.logTaskError("hello", <-task.Done())
	}
}

// queuePull queues a pull from the sender of a status, unless the queue is
// full.
func (n *Node) queuePull(status *rtwire.Status) {
	select {
	case n.pullQueue <- status:
	default: // the next heartbeat queues it again
	}
}
