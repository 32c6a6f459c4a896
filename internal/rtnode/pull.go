package rtnode

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtconfig"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// maxQueuedPulls is the largest number of queued pulls. Further ones are
	// dropped: the next heartbeat queues them again.
	maxQueuedPulls = 64

	// pullWorkers is the number of concurrent pulls. The second worker
	// continues while the first one waits for a peer that does not answer.
	pullWorkers = 2

	// pullLease is how long a running pull of a version prevents another pull
	// of the same version.
	pullLease = 500 * time.Millisecond
)

type pullKind int

const (
	pullDocument pullKind = iota
	pullRoster
)

// pull describes a running pull.
type pull struct {
	version   rtid.Version
	startedAt time.Time
}

// isBehind reports whether the sender of a status has a newer document or list
// of VMs than this process.
func (n *Node) isBehind(status *rtwire.Status) bool {
	if n.store.ShouldFetch(rtid.Version(status.Version)) {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return rtid.Version(status.Roster) > n.table.Roster().Version()
}

// runPulls pulls from the queued peers until the context ends.
func (n *Node) runPulls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case status := <-n.pullQueue:
			n.pullNewer(ctx, status)
		}
	}
}

// pullNewer pulls from the sender of a status the document and the list of VMs,
// each if it is newer there and no other pull of it is running.
func (n *Node) pullNewer(ctx context.Context, status *rtwire.Status) {
	address := rtid.Address(status.Address)
	version := rtid.Version(status.Version)
	if n.store.ShouldFetch(version) && n.beginPull(pullDocument, version) {
		n.recordFailure("pull document", n.pullDocument(ctx, address))
		n.endPull(pullDocument)
	}
	roster := rtid.Version(status.Roster)
	if roster > n.rosterVersion() && n.beginPull(pullRoster, roster) {
		n.recordFailure("pull list of VMs", n.pullRoster(ctx, address))
		n.endPull(pullRoster)
	}
}

func (n *Node) recordFailure(call string, err error) {
	if err != nil {
		n.counters.callsFailed.Inc(1)
		n.options.Log.V(1).Info("Control call failed.", "call", call, "error", err.Error())
	}
}

// beginPull records a pull as running and reports true, unless a pull of this
// or a newer version has been running for less than pullLease.
func (n *Node) beginPull(kind pullKind, version rtid.Version) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	other, running := n.activePulls[kind]
	if running && other.version >= version && time.Since(other.startedAt) < pullLease {
		return false
	}
	n.activePulls[kind] = pull{version: version, startedAt: time.Now()}
	return true
}

func (n *Node) endPull(kind pullKind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.activePulls, kind)
}

func (n *Node) pullDocument(ctx context.Context, address rtid.Address) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	after := n.store.Current().Version
	reply, err := n.clientFor(address).Document(ctx, &rtwire.DocumentRequest{After: uint64(after)})
	if err != nil {
		return err
	}
	if len(reply.Body) == 0 {
		return nil
	}
	body, err := decompress(reply.Body)
	if err != nil {
		n.counters.malformed.Inc(1)
		return err
	}
	n.counters.documentsPulled.Inc(1)
	n.applyDocument(rtid.Version(reply.Version), body)
	return nil
}

func (n *Node) pullRoster(ctx context.Context, address rtid.Address) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	after := n.rosterVersion()
	reply, err := n.clientFor(address).Roster(ctx, &rtwire.RosterRequest{After: uint64(after)})
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
	n.applyRosterDelta(delta)
	return nil
}

// applyDocument passes a document to the store, updates the metrics and logs
// the result.
func (n *Node) applyDocument(version rtid.Version, body []byte) rtconfig.Result {
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
		n.options.Log.Info("Document failed validation and was not put in force.", "version", version)
	}
	if counts.Conflicts > before.Conflicts {
		n.options.Log.Info("Document is based on another revision than the one it replaces.", "version", version)
	}
	return result
}
