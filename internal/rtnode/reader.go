package rtnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtconfig"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmember"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

const (
	// confirmationLimit is how old the confirmation of the version in force
	// may be before a process reads the platform itself.
	confirmationLimit = 30 * time.Second

	// Jitter added to confirmationLimit. The least jitter leaves room for the
	// 30 s of a watch and the way from the reader. The range spreads all
	// processes of the size to design for under the platform's rate.
	leastJitter = 10 * time.Second
	mostJitter  = 40 * time.Second

	// shortestWatch is the time under which a watch without news is taken for
	// a fault of the platform and followed by a delay.
	shortestWatch = time.Second

	// actingReaders is about how many processes read the platform while the
	// designated readers are silent, if all processes find that out at once.
	actingReaders = 100

	// lineSize is the size of one line of the list as the platform sends it,
	// in bytes: 165 with the names of a large fleet.
	lineSize = 165
)

// Delays after failed calls of the platform.
const (
	readerFirst = 500 * time.Millisecond
	readerLast  = 4 * time.Second
	otherFirst  = 15 * time.Second // all processes may be without a reader
	otherLast   = time.Minute
)

// watchDocuments watches the published document while this process is a
// designated reader.
func (n *Node) watchDocuments(ctx context.Context) error {
	delays := backoff{first: readerFirst, last: readerLast}
	for n.awaitReader(ctx) {
		began := time.Now()
		n.counters.platformCalls.Inc(1)
		version, body, err := n.platform.Watch(ctx, n.store.HighestSeen())
		news := version > 0 && n.takeDocument(version, body)
		quiet := err == nil && version == 0 && time.Since(began) >= shortestWatch
		if quiet {
			n.confirm()
			n.reviewActing()
		}
		if news || quiet {
			delays.reset()
			continue
		}
		pause(ctx, delays.next())
	}
	return nil
}

// awaitReader waits until this process has started and is a designated or
// acting reader. It returns false when the context ends.
func (n *Node) awaitReader(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.started:
	}
	for ctx.Err() == nil {
		n.mu.Lock()
		reader, changed := n.reader || n.acting, n.listChanged
		n.mu.Unlock()
		if reader {
			return true
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return false
}

// takeDocument takes in a document of the platform and reports whether it was
// news. The version in force is confirmed by anything but an older document.
func (n *Node) takeDocument(version rtid.Version, body []byte) bool {
	result := n.offer(version, body)
	if version >= n.store.Current().Version {
		n.confirm()
	}
	return result == rtconfig.Accepted
}

// watchLists watches the list of VMs while this process is a designated
// reader or knows no list.
func (n *Node) watchLists(ctx context.Context) error {
	delays := backoff{first: readerFirst, last: readerLast}
	select {
	case <-ctx.Done():
	case <-n.tried:
	}
	for ctx.Err() == nil {
		if n.rosterVersion() > 0 && !n.awaitReader(ctx) {
			return nil
		}
		delays.last = readerLast
		if n.rosterVersion() == 0 {
			delays.last = otherLast
		}
		began := time.Now()
		n.counters.platformCalls.Inc(1)
		version, members, err := n.platform.VMs(ctx, n.rosterVersion())
		switch {
		case version > 0 && n.takeList(version, members):
			delays.reset()
			// The other readers get the list at other times, and the
			// difference spreads from the first of them.
			size := time.Duration(len(members) * lineSize)
			pause(ctx, size*time.Second/time.Duration(rtmember.ListReadBudget))
		case err == nil && time.Since(began) >= shortestWatch:
			delays.reset()
		default:
			pause(ctx, delays.next())
		}
	}
	return nil
}

// takeList takes in a list of the platform and reports whether it was news.
// Malformed lines are left out, so that one of them does not hide the rest.
func (n *Node) takeList(version rtid.Version, members []rtplatform.Member) bool {
	delta := rtmember.Delta{Version: version}
	for _, member := range members {
		if err := checkMember(member); err != nil {
			n.counters.malformed.Inc(1)
			n.options.Log.Info("Line of the list of VMs dropped.", "error", err.Error())
			continue
		}
		delta.Members = append(delta.Members, member)
	}
	return n.applyRoster(delta)
}

// applyRoster takes in a change of the list of VMs and reports whether it was
// newer than the list held.
func (n *Node) applyRoster(delta rtmember.Delta) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.table.Apply(delta) {
		return false
	}
	readers := rtmember.Readers(n.table.Roster().Members())
	n.reader = slices.Contains(readers, n.self.VM)
	n.setInterval()
	close(n.listChanged)
	n.listChanged = make(chan struct{})
	return true
}

func (n *Node) rosterVersion() rtid.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Roster().Version()
}

// readWithoutReaders reads the platform when no confirmation has come for too
// long, because the readers have failed or are out of reach.
func (n *Node) readWithoutReaders(ctx context.Context) error {
	delays := backoff{first: otherFirst, last: otherLast}
	for ctx.Err() == nil {
		patience := confirmationLimit + leastJitter + rand.N(mostJitter-leastJitter)
		if left := time.Until(n.lastConfirmed().Add(patience)); left > 0 {
			pause(ctx, left)
			continue
		}
		if n.readPlatform(ctx) {
			delays.reset()
			n.actAsReader()
			continue
		}
		pause(ctx, delays.next())
	}
	return nil
}

// actAsReader makes this process watch the platform beside the designated
// readers, which it did not hear. In a large fleet only some of the processes
// that read without readers do so.
func (n *Node) actAsReader() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reader || n.acting || rand.N(max(1, len(n.table.Roster().Members()))) >= actingReaders {
		return
	}
	n.acting = true
	n.confirmedBy = false
	close(n.listChanged)
	n.listChanged = make(chan struct{})
}

// reviewActing ends the part of an acting reader by chance if another reader
// is heard. Not all of them end at once, so that one remains while the
// designated readers are silent.
func (n *Node) reviewActing() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.confirmedBy && rand.N(2) == 0 {
		n.acting = false
	}
	n.confirmedBy = false
}

// lastConfirmed returns when the version in force was last confirmed, or the
// start of Run.
func (n *Node) lastConfirmed() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.confirmed.IsZero() {
		return n.begun
	}
	return n.confirmed
}

// readPlatform reads the document and the list of VMs once. It reports
// whether the platform had a document that is not older than the one held.
func (n *Node) readPlatform(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	n.counters.platformCalls.Inc(1)
	version, body, err := n.platform.Read(ctx)
	if err != nil && !errors.Is(err, rtplatform.ErrNotPublished) {
		n.options.Log.V(1).Info("Platform not read.", "error", err.Error())
		return false
	}
	if err == nil {
		n.takeDocument(version, body)
	}
	n.counters.platformCalls.Inc(1)
	if list, members, err := n.platform.VMs(ctx, 0); err == nil {
		n.takeList(list, members)
	}
	return err == nil && version >= n.store.Current().Version
}
