// Package rtfeed keeps a process's copy of the published state up to date,
// either from the platform's store or from a peer at a higher revision.
//
// All items share one revision counter. Updates from the store and from peers
// can therefore be ordered, and an older update never replaces a newer one.
package rtfeed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
)

// Item is one published value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`          // of the last change
	Created  uint64 `json:"created,omitempty"` // revision of the creation
}

// Change is the write or the removal of an item.
type Change struct {
	Item
	Removed bool `json:"removed,omitempty"`
	// ConfirmationTime is set on a removal that a lease expired during a store
	// outage may have caused: the time left for the owner to write the item
	// again. It is 0 for a confirmed removal.
	ConfirmationTime time.Duration `json:"doubt,omitempty"`
}

// Errors of a Source.
var (
	// ErrHistoryGone reports that the source no longer keeps all changes after
	// the requested revision.
	ErrHistoryGone = errors.New("changes after the requested revision are no longer kept")
	// ErrBusy reports that the source refused the call and did nothing.
	ErrBusy = errors.New("source is busy and refused the call")
)

// Source is the platform's store. Each method makes one call.
type Source interface {
	// Page returns the next page of items, in key order, after the key after,
	// and the revision at which the store read it.
	Page(ctx context.Context, after string) (items []Item, more bool, revision uint64, err error)
	// Watch returns the changes after the revision after. It returns as soon as
	// there are any, and without changes when wait has passed.
	Watch(ctx context.Context, after uint64, wait time.Duration) (changes []Change, revision uint64, err error)
}

// Decoder builds views from items. It logs the items that it cannot decode.
type Decoder interface {
	// Leased reports whether the store removes the item when its owner fails to
	// renew a lease, for example while the owner cannot reach the store.
	Leased(key string) bool
	// View returns the view of a state. The previous view is nil at the start.
	View(state State, previous *rtcatalog.View) *rtcatalog.View
}

const (
	// watchWait is how long the store may hold one watch. The call times out
	// after watchWait and callSlack, 2 s together, so that a dead connection is
	// detected within the published limit for changes to take effect.
	watchWait = 1500 * time.Millisecond
	// probeWait replaces watchWait while calls fail, so that the store answers
	// at once after an outage. It is also the shortest wait of a watch.
	probeWait = 10 * time.Millisecond
	// callSlack is added to the wait of a watch to get the timeout of the call.
	callSlack = 500 * time.Millisecond
	// pageTimeout is the timeout of reading one page.
	pageTimeout = 2 * time.Second
	// minWatchInterval is the shortest time between the starts of two watches:
	// changes in quick succession are returned by one call.
	minWatchInterval = 250 * time.Millisecond
	// minRetryDelay is the delay after one failed call. It doubles with each
	// further one up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// readerCheckInterval is how often a process that is not a reader checks
	// whether it has become one.
	readerCheckInterval = 100 * time.Millisecond
	// outageThreshold is the time without a response from the store after which
	// leases may have expired, so that removals need confirmation.
	outageThreshold = 1 * time.Second
	// leaseRecoveryTime is how long after an outage the store may lack live
	// targets: they take about 2 s to write their entries again.
	leaseRecoveryTime = 2200 * time.Millisecond
)

// Feed holds the published state of one process. Create it with New.
type Feed struct {
	source  Source
	decoder Decoder
	log     logr.Logger
	view    atomic.Pointer[rtcatalog.View]
	changed chan struct{} // capacity 1; signalled after each new view

	reader atomic.Bool // this process reads the store itself

	mu          sync.Mutex
	state       State
	history     history
	lastContact time.Time                     // last response from the store
	failing     bool                          // a call has failed since lastContact
	recoveredAt time.Time                     // first answer after the last outage
	unconfirmed map[string]unconfirmedRemoval // by key of the item
}

// unconfirmedRemoval is a removal that an expired lease may have caused during
// an outage of the store. The item stays in the state until due.
type unconfirmedRemoval struct {
	revision uint64    // of the removal
	due      time.Time // when the removal is applied
}

// New returns a feed with an empty state. Run reads the store unless SetReader
// turns that off.
func New(source Source, decoder Decoder, log logr.Logger) *Feed {
	feed := &Feed{
		source:      source,
		decoder:     decoder,
		log:         log.WithName("feed"),
		changed:     make(chan struct{}, 1),
		unconfirmed: make(map[string]unconfirmedRemoval),
	}
	feed.reader.Store(true)
	return feed
}

// SetReader sets whether this process reads the store itself. A process that
// does not is updated by ApplyPeerDelta only.
func (f *Feed) SetReader(reader bool) {
	if f.reader.Swap(reader) != reader {
		f.log.Info("Reader changed.", "reader", reader, "revision", f.Revision())
	}
}

// View returns the current view, or nil before the first update.
func (f *Feed) View() *rtcatalog.View { return f.view.Load() }

// Changed returns a channel that receives after new views. Several views may
// share one signal.
func (f *Feed) Changed() <-chan struct{} { return f.changed }

// LastContact returns when the store last answered this process. It is zero if
// the store never did.
func (f *Feed) LastContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastContact
}

// Delta returns the update for a peer whose state is at the revision after:
// the changes since then, or all items if the history does not reach that far
// back.
func (f *Feed) Delta(after uint64) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	delta := Delta{Revision: f.state.Revision}
	changes, ok := f.history.since(after)
	if !ok {
		delta.Full = true
		for _, item := range f.state.Items {
			changes = append(changes, Change{Item: item})
		}
		for key, removal := range f.unconfirmed {
			changes = append(changes, Change{Item: Item{Key: key, Revision: removal.revision}, Removed: true})
		}
	}
	now := time.Now()
	for i, change := range changes {
		if removal, ok := f.unconfirmed[change.Key]; ok && change.Removed && change.Revision == removal.revision {
			changes[i].ConfirmationTime = max(time.Millisecond, removal.due.Sub(now))
		}
	}
	delta.Changes = changes
	return delta
}

// ApplyPeerDelta applies a delta received from a peer. A delta that is not at a
// higher revision than the state has no effect.
func (f *Feed) ApplyPeerDelta(delta Delta, peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if delta.Revision <= f.state.Revision {
		return
	}
	f.log.Info("Adopted the state of a peer.", "peer", peer, "from", f.state.Revision, "to", delta.Revision,
		"changes", len(delta.Changes), "full", delta.Full)
	changes := delta.Changes
	if delta.Full {
		changes = f.state.Difference(delta.Changes, delta.Revision)
	}
	f.applyChanges(changes, delta.Revision)
	if delta.Full {
		f.history.reset(f.state.Revision)
	}
}

// Run reads the store until the context ends: all items first, then their
// changes.
func (f *Feed) Run(ctx context.Context) error {
	retryDelay := minRetryDelay
	// complete means that the state holds all items at its revision, so that
	// watches can continue from it.
	complete := false
	for ctx.Err() == nil {
		f.applyDueRemovals(time.Now())
		if !f.reader.Load() {
			// A state received from peers serves as a full read of the store:
			// both hold all changes up to their revision.
			complete = complete || f.Revision() > 0
			sleep(ctx, readerCheckInterval)
			continue
		}
		started := time.Now()
		var err error
		if complete {
			err = f.watch(ctx)
		} else {
			err = f.readAll(ctx)
		}
		switch {
		case err == nil:
			complete = true
			retryDelay = minRetryDelay
			sleep(ctx, minWatchInterval-time.Since(started))
		case errors.Is(err, ErrHistoryGone):
			f.log.Info("Store no longer keeps the changes after this revision, reading all items.", "revision", f.Revision())
			complete = false
		default:
			f.recordFailure(err)
			sleep(ctx, retryDelay)
			retryDelay = min(maxRetryDelay, 2*retryDelay)
		}
	}
	return nil
}

// readAll replaces the state by all items of the store.
func (f *Feed) readAll(ctx context.Context) error {
	var all []Change
	var firstRevision uint64
	after := ""
	for {
		call, cancel := context.WithTimeout(ctx, pageTimeout)
		items, more, revision, err := f.source.Page(call, after)
		cancel()
		if err != nil {
			return err
		}
		if firstRevision == 0 {
			// The pages are not one snapshot. Watching from the revision of the
			// first page returns the changes made while the others were read.
			firstRevision = revision
		}
		for _, item := range items {
			all = append(all, Change{Item: item})
		}
		if !more || len(items) == 0 {
			break
		}
		after = items[len(items)-1].Key
	}
	f.recordContact()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.Info("Read all items of the store.", "items", len(all), "read", firstRevision, "held", f.state.Revision)
	f.applyChanges(f.state.Difference(all, firstRevision), firstRevision)
	f.history.reset(f.state.Revision)
	return nil
}

// watch makes one watch call and applies the changes that it returns.
func (f *Feed) watch(ctx context.Context) error {
	wait := f.nextWatchWait(time.Now())
	call, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	changes, revision, err := f.source.Watch(call, f.Revision(), wait)
	if err != nil {
		return err
	}
	f.recordContact()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyChanges(changes, revision)
	return nil
}

// applyChanges applies the changes up to a revision, and publishes a new view if
// the state changed or has no view yet. Unconfirmed removals are recorded with
// the time at which they are due. The caller holds mu.
func (f *Feed) applyChanges(changes []Change, revision uint64) {
	changed := false
	now := time.Now()
	recovering := now.Sub(f.recoveredAt) < leaseRecoveryTime
	for _, change := range changes {
		uncertain := change.ConfirmationTime > 0 || recovering && f.decoder.Leased(change.Key)
		if change.Removed && uncertain && f.state.Has(change.Key) {
			if _, recorded := f.unconfirmed[change.Key]; !recorded {
				due := f.recoveredAt.Add(leaseRecoveryTime)
				if change.ConfirmationTime > 0 {
					due = now.Add(change.ConfirmationTime)
				}
				f.unconfirmed[change.Key] = unconfirmedRemoval{revision: change.Revision, due: due}
			}
			f.history.add(change)
			continue
		}
		if f.state.Apply(change) {
			changed = true
			delete(f.unconfirmed, change.Key)
			f.history.add(change)
		}
	}
	f.state.Revision = max(f.state.Revision, revision)
	if changed || f.view.Load() == nil {
		f.publishView()
	}
}

// applyDueRemovals applies the unconfirmed removals whose time is over. A reader
// whose calls fail keeps them pending, because it cannot see whether the owner
// has written the item again.
func (f *Feed) applyDueRemovals(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for key, removal := range f.unconfirmed {
		if now.Before(removal.due) || f.reader.Load() && f.failing {
			continue
		}
		f.log.Info("Target has not come back with the store.", "key", key, "revision", removal.revision)
		delete(f.unconfirmed, key)
		f.state.Apply(Change{Item: Item{Key: key, Revision: removal.revision}, Removed: true})
		changed = true
	}
	if changed {
		f.publishView()
	}
}

// publishView builds a new view of the state and signals it on changed. The
// caller holds mu.
func (f *Feed) publishView() {
	f.view.Store(f.decoder.View(f.state, f.view.Load()))
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// recordContact records an answer from the store, and the end of an outage.
func (f *Feed) recordContact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.failing && !f.lastContact.IsZero() && now.Sub(f.lastContact) > outageThreshold {
		f.recoveredAt = now
		f.log.Info("Store answers again.", "silence", now.Sub(f.lastContact).String(), "revision", f.state.Revision)
	}
	f.lastContact, f.failing = now, false
}

// nextWatchWait returns the wait of the next watch. The watch ends when an
// unconfirmed removal is due. While calls fail it is as short as possible, so
// that the end of the outage is detected without delay.
func (f *Feed) nextWatchWait(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing {
		return probeWait
	}
	wait := watchWait
	for _, removal := range f.unconfirmed {
		wait = min(wait, removal.due.Sub(now))
	}
	return max(wait, probeWait)
}

// recordFailure records a failed call. It logs only the first one after an
// answer.
func (f *Feed) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		f.log.Info("Store lost.", "error", err.Error(), "revision", f.state.Revision)
	}
	f.failing = true
}

// Revision returns the revision of the state: it includes all changes up to it.
func (f *Feed) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Revision
}

// sleep waits until d has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
