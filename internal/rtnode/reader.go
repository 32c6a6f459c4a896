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

	// listBudget is what a reader may spend on the list of VMs, in bytes per
	// second. The platform sends the whole list at each change. The readers
	// get it at different times, and the difference spreads from the first.
	listBudget = 4_000
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
		call, cancel := context.WithTimeout(ctx, watchLimit)
		found, err := n.platform.watchDocument(call, n.store.Seen())
		cancel()
		news := err == nil && n.takeDocument(found)
		quiet := errors.Is(err, errNothingNewer) && time.Since(began) >= shortestWatch
		if quiet {
			n.confirm()
		}
		if news || quiet {
			delays.reset()
			continue
		}
		pause(ctx, delays.next())
	}
	return nil
}

// awaitReader waits until this process has started and is a designated
// reader. It returns false when the context ends.
func (n *Node) awaitReader(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.started:
	}
	for ctx.Err() == nil {
		n.mu.Lock()
		reader, changed := n.reader, n.listChanged
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
func (n *Node) takeDocument(found answer) bool {
	result := n.offer(found.version, found.body)
	if found.version >= n.store.Current().Version {
		n.confirm()
	}
	return result == rtconfig.Accepted
}

// watchLists watches the list of VMs while this process is a designated
// reader or knows no list.
func (n *Node) watchLists(ctx context.Context) error {
	delays := backoff{first: readerFirst, last: readerLast}
	for ctx.Err() == nil {
		if n.rosterVersion() > 0 && !n.awaitReader(ctx) {
			return nil
		}
		delays.last = readerLast
		if n.rosterVersion() == 0 {
			delays.last = otherLast
		}
		began := time.Now()
		call, cancel := context.WithTimeout(ctx, watchLimit)
		found, err := n.platform.watchList(call, n.rosterVersion())
		cancel()
		switch {
		case err == nil && n.takeList(found):
			delays.reset()
			pause(ctx, time.Duration(len(found.body))*time.Second/listBudget)
		case errors.Is(err, errNothingNewer) && time.Since(began) >= shortestWatch:
			delays.reset()
		default:
			pause(ctx, delays.next())
		}
	}
	return nil
}

// takeList takes in a list of the platform and reports whether it was news.
func (n *Node) takeList(found answer) bool {
	delta, dropped, err := decodeList(found)
	n.counters.malformed.Inc(int64(dropped))
	if err != nil {
		n.options.Log.Error(err, "list of VMs refused", "version", found.version)
		return false
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
			continue
		}
		pause(ctx, delays.next())
	}
	return nil
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
	found, err := n.platform.readDocument(ctx)
	if err != nil && !errors.Is(err, errNothingNewer) {
		n.options.Log.V(1).Info("platform not read", "error", err.Error())
		return false
	}
	if err == nil {
		n.takeDocument(found)
	}
	if list, err := n.platform.readList(ctx); err == nil {
		n.takeList(list)
	}
	return err == nil && found.version >= n.store.Current().Version
}
