package rtnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// startPeers is how many peers a starting process asks at a time.
	startPeers = 3

	// startRounds bounds how often it asks others when none of them knows a
	// document, as after the replacement of half of all processes.
	startRounds = 3

	startFirst = 500 * time.Millisecond
	startLast  = 15 * time.Second
)

// learn reads the platform and asks peers until a document is known, then
// closes started. The platform may be down or stale, so that its answer alone
// does not count while peers can be asked.
func (n *Node) learn(ctx context.Context) error {
	delays := backoff{first: startFirst, last: startLast}
	n.readPlatform(ctx)
	close(n.tried)
	for tries := 0; ctx.Err() == nil; tries++ {
		changed := n.store.Changed()
		n.askPeers(ctx)
		if version, _ := n.Document(); version > 0 {
			close(n.started)
			n.options.Log.Info("Started.", "version", version)
			break
		}
		if tries == 0 {
			n.options.Log.Info("No document is known, waiting for the platform or a peer.")
		}
		wait(ctx, delays.next(), changed)
		n.readPlatform(ctx)
	}
	<-ctx.Done()
	return nil
}

// askPeers asks a few peers for what they know, and others if none of them
// knows a document.
func (n *Node) askPeers(ctx context.Context) {
	addresses := n.knownAddresses()
	for range startRounds {
		count := min(startPeers, len(addresses))
		if count == 0 || n.askRound(ctx, addresses[:count]) {
			return
		}
		addresses = addresses[count:]
	}
}

// askRound asks peers at the same time and reports whether one of them knows
// a document.
func (n *Node) askRound(ctx context.Context, addresses []rtid.Address) bool {
	known := make([]bool, len(addresses))
	var tasks []*rttask.Task
	for i, address := range addresses {
		tasks = append(tasks, rttask.Start(ctx, "ask peer", func(ctx context.Context) error {
			status, err := n.hello(ctx, address)
			if err != nil {
				return err
			}
			known[i] = status.Version > 0
			return n.pullAll(ctx, status)
		}))
	}
	for _, task := range tasks {
		n.countFailure("ask peer", <-task.Done())
	}
	return slices.Contains(known, true)
}

// pullAll gets from the sender of a status what it knows more, also while
// another pull is under way: started must not be closed before its result.
func (n *Node) pullAll(ctx context.Context, status *rtwire.Status) error {
	address := rtid.Address(status.Address)
	var document, roster error
	if n.store.ShouldFetch(rtid.Version(status.Version)) {
		document = n.pullDocument(ctx, address)
	}
	if rtid.Version(status.Roster) > n.rosterVersion() {
		roster = n.pullRoster(ctx, address)
	}
	return errors.Join(document, roster)
}

// knownAddresses returns the seeds and the processes of the list in random
// order.
func (n *Node) knownAddresses() []rtid.Address {
	addresses := slices.Clone(n.options.Settings.Seeds)
	n.mu.Lock()
	for _, member := range n.table.Roster().Members() {
		addresses = append(addresses, member.Address)
	}
	n.mu.Unlock()
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	addresses = slices.DeleteFunc(addresses, func(address rtid.Address) bool {
		return address == n.self.Address
	})
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses
}
