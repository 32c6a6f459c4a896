package rtnode

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtconfig"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// maxPulls bounds the peers that wait to be asked.
	maxPulls = 64

	// pullWorkers is how many peers are asked at the same time. The second
	// worker goes on while the first one waits for a peer that does not answer.
	pullWorkers = 2

	// pullPatience is how long one pull of a version keeps others from
	// pulling the same version.
	pullPatience = 500 * time.Millisecond
)

type pullKind int

const (
	pullDocument pullKind = iota
	pullRoster
)

// pull is a transfer under way.
type pull struct {
	version rtid.Version
	since   time.Time
}

// behind reports whether the sender of a status knows more than this process.
func (n *Node) behind(status *rtwire.Status) bool {
	if n.store.ShouldFetch(rtid.Version(status.Version)) {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return rtid.Version(status.Roster) > n.table.Roster().Version()
}

// pullFromPeers asks the peers that Observe found to know more.
func (n *Node) pullFromPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case status := <-n.pulls:
			n.catchUp(ctx, status)
		}
	}
}

// catchUp gets from the sender of a status what it knows more.
func (n *Node) catchUp(ctx context.Context, status *rtwire.Status) {
	address := rtid.Address(status.Address)
	version := rtid.Version(status.Version)
	if n.store.ShouldFetch(version) && n.beginPull(pullDocument, version) {
		n.countFailure("pull of a document", n.pullDocument(ctx, address))
		n.endPull(pullDocument)
	}
	roster := rtid.Version(status.Roster)
	if roster > n.rosterVersion() && n.beginPull(pullRoster, roster) {
		n.countFailure("pull of the list of VMs", n.pullRoster(ctx, address))
		n.endPull(pullRoster)
	}
}

func (n *Node) countFailure(what string, err error) {
	if err != nil {
		n.counters.unanswered.Inc(1)
		n.options.Log.V(1).Info("Call failed.", "call", what, "error", err.Error())
	}
}

// beginPull reports whether a pull may start: not while another one for this
// version has just begun.
func (n *Node) beginPull(kind pullKind, version rtid.Version) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	other, running := n.pulling[kind]
	if running && other.version >= version && time.Since(other.since) < pullPatience {
		return false
	}
	n.pulling[kind] = pull{version: version, since: time.Now()}
	return true
}

func (n *Node) endPull(kind pullKind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pulling, kind)
}

func (n *Node) pullDocument(ctx context.Context, address rtid.Address) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	after := n.store.Current().Version
	reply, err := n.peer(address).Document(ctx, &rtwire.DocumentRequest{After: uint64(after)})
	if err != nil {
		return err
	}
	if len(reply.Body) == 0 {
		return nil
	}
	body, err := unpack(reply.Body)
	if err != nil {
		n.counters.malformed.Inc(1)
		return err
	}
	n.counters.documentsPulled.Inc(1)
	n.offer(rtid.Version(reply.Version), body)
	return nil
}

func (n *Node) pullRoster(ctx context.Context, address rtid.Address) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	after := n.rosterVersion()
	reply, err := n.peer(address).Roster(ctx, &rtwire.RosterRequest{After: uint64(after)})
	if err != nil {
		return err
	}
	if rtid.Version(reply.Version) <= after {
		return nil
	}
	delta, err := deltaOf(reply)
	if err != nil {
		n.counters.malformed.Inc(1)
		return err
	}
	n.counters.rostersPulled.Inc(1)
	n.applyRoster(delta)
	return nil
}

// offer offers a document to the store and logs what became of it.
func (n *Node) offer(version rtid.Version, body []byte) rtconfig.Result {
	before := n.store.Counts()
	result := n.store.Apply(version, body)
	counts := n.store.Counts()
	n.counters.conflicts.Update(float64(counts.Conflicts))
	n.counters.reverted.Update(float64(counts.Reverted))
	n.counters.refused.Update(float64(counts.Refused))
	switch {
	case result == rtconfig.Accepted:
		n.counters.version.Update(float64(version))
		n.options.Log.Info("Document in force.", "version", version)
	case counts.Refused > before.Refused:
		n.options.Log.Info("Document refused.", "version", version)
	}
	if counts.Conflicts > before.Conflicts {
		n.options.Log.Info("Document was not made from the revision held.", "version", version)
	}
	return result
}
