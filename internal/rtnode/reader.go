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
	// maxConfirmationAge is how old the last confirmation of the version in
	// force may be before a process reads the platform itself.
	maxConfirmationAge = 30 * time.Second

	// minConfirmationJitter and maxConfirmationJitter limit the jitter that is
	// added to maxConfirmationAge. The minimum allows for a watch of 30 s and
	// the propagation from the reader. The range keeps the calls of all
	// processes at the design size below the platform's rate limit.
	minConfirmationJitter = 10 * time.Second
	maxConfirmationJitter = 40 * time.Second

	// minWatchTime is the shortest watch that may end without a newer version.
	// A shorter one counts as a fault of the platform, and a retry delay
	// follows.
	minWatchTime = time.Second

	// expectedActingReaders is about how many processes become acting readers
	// if all processes miss the designated readers at the same time.
	expectedActingReaders = 100

	// listedMemberSize is the size in bytes of one member of the list of VMs as
	// the platform sends it, with the names of a large fleet.
	listedMemberSize = 165
)

// Retry delays after failed calls to the platform.
const (
	readerInitialDelay    = 500 * time.Millisecond
	readerMaxDelay        = 4 * time.Second
	nonReaderInitialDelay = 15 * time.Second // all processes may lack a reader and retry
	nonReaderMaxDelay     = time.Minute
)

// watchDocuments watches the published document while this process is a
// designated or acting reader.
func (n *Node) watchDocuments(ctx context.Context) error {
	delays := backoff{initial: readerInitialDelay, maximum: readerMaxDelay}
	for n.awaitReaderRole(ctx) {
		began := time.Now()
		n.counters.platformCalls.Inc(1)
		version, body, err := n.platform.Watch(ctx, n.store.HighestSeen())
		newer := version > 0 && n.applyPlatformDocument(version, body)
		timedOut := err == nil && version == 0 && time.Since(began) >= minWatchTime
		if timedOut {
			n.markConfirmed()
			n.reviewActingReader()
		}
		if newer || timedOut {
			delays.reset()
			continue
		}
		sleep(ctx, delays.next())
	}
	return nil
}

// awaitReaderRole waits until this process has started and is a designated or
// acting reader. It returns false if the context ends before.
func (n *Node) awaitReaderRole(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.started:
	}
	for ctx.Err() == nil {
		n.mu.Lock()
		reader, changed := n.designatedReader || n.actingReader, n.rosterChanged
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

// applyPlatformDocument applies a document read from the platform and reports
// whether it came into force. It confirms the version in force unless the
// document is older.
func (n *Node) applyPlatformDocument(version rtid.Version, body []byte) bool {
	result := n.applyDocument(version, body)
	if version >= n.store.Current().Version {
		n.markConfirmed()
	}
	return result == rtconfig.Accepted
}

// watchRoster watches the list of VMs while this process is a designated or
// acting reader or has no list.
func (n *Node) watchRoster(ctx context.Context) error {
	delays := backoff{initial: readerInitialDelay, maximum: readerMaxDelay}
	select {
	case <-ctx.Done():
	case <-n.firstReadDone:
	}
	for ctx.Err() == nil {
		if n.rosterVersion() > 0 && !n.awaitReaderRole(ctx) {
			return nil
		}
		delays.maximum = readerMaxDelay
		if n.rosterVersion() == 0 {
			delays.maximum = nonReaderMaxDelay
		}
		began := time.Now()
		n.counters.platformCalls.Inc(1)
		version, members, err := n.platform.VMs(ctx, n.rosterVersion())
		switch {
		case version > 0 && n.applyPlatformList(version, members):
			delays.reset()
			// Limits the reader to ListReadBudget. Other readers read the list
			// at other times, and a change spreads from the first of them.
			size := time.Duration(len(members) * listedMemberSize)
			sleep(ctx, size*time.Second/time.Duration(rtmember.ListReadBudget))
		case err == nil && time.Since(began) >= minWatchTime:
			delays.reset()
		default:
			sleep(ctx, delays.next())
		}
	}
	return nil
}

// applyPlatformList applies a list read from the platform and reports whether
// it was newer. It drops malformed members, so that one of them does not hide
// the rest.
func (n *Node) applyPlatformList(version rtid.Version, members []rtplatform.Member) bool {
	delta := rtmember.Delta{Version: version}
	for _, member := range members {
		if err := checkMember(member); err != nil {
			n.counters.malformed.Inc(1)
			n.options.Log.Info("Malformed member of the list of VMs dropped.", "error", err.Error())
			continue
		}
		delta.Members = append(delta.Members, member)
	}
	return n.applyRosterDelta(delta)
}

// applyRosterDelta applies a change of the list of VMs and reports whether it
// was newer than the current list.
func (n *Node) applyRosterDelta(delta rtmember.Delta) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.table.Apply(delta) {
		return false
	}
	readers := rtmember.Readers(n.table.Roster().Members())
	n.designatedReader = slices.Contains(readers, n.self.VM)
	n.updateInterval()
	close(n.rosterChanged)
	n.rosterChanged = make(chan struct{})
	return true
}

func (n *Node) rosterVersion() rtid.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Roster().Version()
}

// readWhenUnconfirmed reads the platform if the version in force has not been
// confirmed for too long, because the readers have failed or are unreachable.
func (n *Node) readWhenUnconfirmed(ctx context.Context) error {
	delays := backoff{initial: nonReaderInitialDelay, maximum: nonReaderMaxDelay}
	for ctx.Err() == nil {
		maxAge := maxConfirmationAge + minConfirmationJitter + rand.N(maxConfirmationJitter-minConfirmationJitter)
		if remaining := time.Until(n.lastConfirmed().Add(maxAge)); remaining > 0 {
			sleep(ctx, remaining)
			continue
		}
		if n.readPlatform(ctx) {
			delays.reset()
			n.becomeActingReader()
			continue
		}
		sleep(ctx, delays.next())
	}
	return nil
}

// becomeActingReader makes this process watch the platform in addition to the
// designated readers, whose confirmations did not reach it. In a large fleet
// only a random part of the processes does so.
func (n *Node) becomeActingReader() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.designatedReader || n.actingReader || rand.N(max(1, len(n.table.Roster().Members()))) >= expectedActingReaders {
		return
	}
	n.actingReader = true
	n.confirmedByPeer = false
	close(n.rosterChanged)
	n.rosterChanged = make(chan struct{})
}

// reviewActingReader ends the role of acting reader with a probability of 1/2
// if a confirmation came from another process. The random choice keeps acting
// readers from all stopping at once while the designated readers are silent.
func (n *Node) reviewActingReader() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.confirmedByPeer && rand.N(2) == 0 {
		n.actingReader = false
	}
	n.confirmedByPeer = false
}

// lastConfirmed returns when the version in force was last confirmed, or the
// start of Run if it never was.
func (n *Node) lastConfirmed() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.confirmedAt.IsZero() {
		return n.runStarted
	}
	return n.confirmedAt
}

// readPlatform reads the document and the list of VMs once. It reports whether
// the platform returned a document that is not older than the one in force.
func (n *Node) readPlatform(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	n.counters.platformCalls.Inc(1)
	version, body, err := n.platform.Read(ctx)
	if err != nil && !errors.Is(err, rtplatform.ErrNotPublished) {
		n.options.Log.V(1).Info("Reading the document from the platform failed.", "error", err.Error())
		return false
	}
	if err == nil {
		n.applyPlatformDocument(version, body)
	}
	n.counters.platformCalls.Inc(1)
	if list, members, err := n.platform.VMs(ctx, 0); err == nil {
		n.applyPlatformList(list, members)
	}
	return err == nil && version >= n.store.Current().Version
}
