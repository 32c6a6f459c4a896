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
	// startPeers is how many peers a starting process queries concurrently.
	startPeers = 3

	// startRounds bounds the rounds of queries while no peer has a document,
	// as when half of all processes have just been replaced.
	startRounds = 3

	startInitialDelay = 500 * time.Millisecond
	startMaxDelay     = 15 * time.Second
)

// loadInitialState reads the platform and queries peers until a document is in
// force, then closes started. The platform may be down or stale, so peers are
// queried even if it has returned a document.
func (n *Node) loadInitialState(ctx context.Context) error {
	delays := backoff{initial: startInitialDelay, maximum: startMaxDelay}
	n.readPlatform(ctx)
	close(n.firstReadDone)
	for tries := 0; ctx.Err() == nil; tries++ {
		changed := n.store.Changed()
		n.queryPeers(ctx)
		if version, _ := n.Document(); version > 0 {
			close(n.started)
			n.options.Log.Info("Started.", "version", version)
			break
		}
		if tries == 0 {
			n.options.Log.Info("Waiting for a first document from the platform or a peer.")
		}
		sleepUntilChanged(ctx, delays.next(), changed)
		n.readPlatform(ctx)
	}
	<-ctx.Done()
	return nil
}

// queryPeers pulls newer documents and lists of VMs from a few peers, and from
// further ones if none of them has a document.
func (n *Node) queryPeers(ctx context.Context) {
	addresses := n.knownAddresses()
	for range startRounds {
		count := min(startPeers, len(addresses))
		if count == 0 || n.queryRound(ctx, addresses[:count]) {
			return
		}
		addresses = addresses[count:]
	}
}

// queryRound queries peers concurrently and reports whether one of them has a
// document.
func (n *Node) queryRound(ctx context.Context, addresses []rtid.Address) bool {
	hasDocument := make([]bool, len(addresses))
	var tasks []*rttask.Task
	for i, address := range addresses {
		tasks = append(tasks, rttask.Start(ctx, "query peer", func(ctx context.Context) error {
			status, err := n.hello(ctx, address)
			if err != nil {
				return err
			}
			hasDocument[i] = status.Version > 0
			return n.pullAll(ctx, status)
		}))
	}
	for _, task := range tasks {
		n.recordFailure("query peer", <-task.Done())
	}
	return slices.Contains(hasDocument, true)
}

// pullAll pulls from the sender of a status the document and the list of VMs if
// they are newer there, even while another pull is running: started must not be
// closed before their result is known.
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

// knownAddresses returns the addresses of the seeds and of the other processes
// in the list of VMs in random order.
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
