// Package rtfeed keeps a process's copy of the published state up to date,
// either from the platform's store or from a peer at a higher revision.
//
// All items share one revision counter. Updates from the store and from peers
// can therefore be ordered, and an older update never replaces a newer one. When
// the store comes back from a copy, its counter goes back and a new era begins, which
// orders before the counter.
package rtfeed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Item is one published value.
type Item struct {
	Key      string             `json:"key"`
	Value    []byte             `json:"value"`
	Revision rtid.StoreRevision `json:"revision"` // of the last change
	Created  rtid.StoreRevision `json:"created"`  // of the creation
}

// Check returns an error if a revision of the item cannot be that of a store.
func (i *Item) Check() error {
	if !i.Revision.Valid() || !i.Created.Valid() {
		return fmt.Errorf("item %.200q: revision %v or %v is out of range", i.Key, i.Revision, i.Created)
	}
	return nil
}

// Change is the write or the removal of an item.
type Change struct {
	Item
	Removed bool `json:"removed,omitempty"`
	// ConfirmationTime is set on a removal that a lease expired during a store
	// outage may have caused: the time left for the owner to write the item
	// again. It is 0 for a confirmed removal.
	ConfirmationTime time.Duration `json:"doubt,omitempty"`
	// Lacking is set on the removal of an item that a full read lacks, which may have
	// another cause than its removal from the store.
	Lacking bool `json:"lacking,omitempty"`
}

// Errors of a Source.
var (
	// ErrHistoryGone reports that the source no longer keeps all changes after
	// the requested revision.
	ErrHistoryGone = errors.New("changes after the requested revision are no longer kept")
	// ErrBusy reports that the source refused the call and did nothing.
	ErrBusy = errors.New("source is busy and refused the call")
)

var (
	errNewEra = errors.New("store has come back from a copy")
	errOldEra = errors.New("store answered from an earlier era")
)

// Source is the platform's store. Each method makes one call. The era of the
// returned revision is that of the response, also of one that reports an error; it is
// 0 if the response names none.
type Source interface {
	// Page returns the next page of items, in key order, after the key after,
	// and the revision at which the store read it.
	Page(ctx context.Context, after string) (items []Item, more bool, revision rtid.StoreRevision, err error)
	// Watch returns the changes after the revision after. It returns as soon as
	// there are any, and without changes when wait has passed.
	Watch(ctx context.Context, after rtid.StoreRevision, wait time.Duration) (changes []Change, revision rtid.StoreRevision, err error)
}

// Decoder builds views from items. It logs the items that it cannot decode.
type Decoder interface {
	// Kind returns the kind of an item.
	Kind(key string) Kind
	// Supersedes reports whether an item may replace one from before the store came
	// back from a copy: not if it is the older of the two by what they say.
	Supersedes(item, before Item) bool
	// Later reports whether an entry is about a later start of a target than another
	// one.
	Later(item, other Item) bool
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
	kept        map[string]keptItem           // by key of the item
	removals    map[string]removal            // of leased items, by key
	scope       tally.Scope
}

// unconfirmedRemoval is a removal that an expired lease may have caused during
// an outage of the store. The item stays in the state until due.
type unconfirmedRemoval struct {
	revision rtid.StoreRevision // of the removal
	due      time.Time          // when the removal is applied
	lacking  bool               // of an item that the copy from which the store came back may have lost
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
		kept:        make(map[string]keptItem),
		removals:    make(map[string]removal),
		scope:       tally.NoopScope,
	}
	feed.reader.Store(true)
	return feed
}

// SetScope sets the scope of the metrics. It must be called before Run.
func (f *Feed) SetScope(scope tally.Scope) { f.scope = scope }

// SetReader sets whether this process reads the store itself. A process that
// does not is updated by ApplyPeerDelta only.
func (f *Feed) SetReader(reader bool) {
	if f.reader.Swap(reader) != reader {
		f.log.Info("Reader changed.", "reader", reader, "revision", f.Revision().String())
	}
}

// Reader reports whether this process reads the store itself.
func (f *Feed) Reader() bool { return f.reader.Load() }

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
// back, and what this process keeps in place of items of the store.
func (f *Feed) Delta(after rtid.StoreRevision) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	delta := Delta{Revision: f.state.Revision, Kept: f.keptItems(now)}
	changes, ok := f.history.since(after)
	if !ok {
		delta.Full = true
		changes = f.storedItems()
		for key, removal := range f.unconfirmed {
			changes = append(changes, Change{Item: Item{Key: key, Revision: removal.revision}, Removed: true, Lacking: removal.lacking})
		}
	}
	for i, change := range changes {
		if removal, ok := f.unconfirmed[change.Key]; ok && change.Removed && change.Revision == removal.revision {
			changes[i].ConfirmationTime = max(time.Millisecond, removal.due.Sub(now))
		}
	}
	delta.Changes = changes
	return delta
}

// ApplyPeerDelta applies a delta received from a peer. Of a delta that is not at a
// higher revision than the state, only what the peer keeps has an effect, and of one
// from an earlier era only later versions of items that have one.
func (f *Feed) ApplyPeerDelta(delta Delta, peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	before := len(f.kept)
	kept := delta.Kept
	switch order := delta.Revision.Compare(f.state.Revision); {
	case order > 0:
		f.log.Info("Adopted the state of a peer.", "peer", peer, "from", f.state.Revision.String(), "to", delta.Revision.String(),
			"changes", len(delta.Changes), "full", delta.Full, "kept", len(delta.Kept))
		changes := delta.Changes
		if delta.Full {
			changes = f.difference(delta.Changes, delta.Revision)
		}
		f.applyChanges(changes, delta.Revision)
		if delta.Full {
			f.history.reset(f.state.Revision)
		}
	case order < 0:
		kept = f.versionedItems(delta)
	}
	if f.mergeKept(kept, now) {
		f.log.Info("Keeping what a peer has from before the return of the store.", "peer", peer, "before", before, "kept", len(f.kept),
			"from", delta.Revision.String(), "revision", f.state.Revision.String())
		f.publishView()
	}
	f.recordKept()
}

// versionedItems returns the items of a delta that have a version.
func (f *Feed) versionedItems(delta Delta) []KeptItem {
	var items []KeptItem
	for _, change := range delta.Changes {
		if !change.Removed && f.decoder.Kind(change.Key) == KindVersioned {
			items = append(items, KeptItem{Item: change.Item, Remaining: noEnd})
		}
	}
	for _, kept := range delta.Kept {
		if f.decoder.Kind(kept.Key) == KindVersioned {
			items = append(items, kept)
		}
	}
	return items
}

// Run reads the store until the context ends: all items first, then their
// changes.
func (f *Feed) Run(ctx context.Context) error {
	retryDelay := minRetryDelay
	// complete means that the state holds all items at its revision, so that
	// watches can continue from it.
	complete := false
	for ctx.Err() == nil {
		f.applyDue(time.Now())
		if !f.reader.Load() {
			// A state received from peers serves as a full read of the store:
			// both hold all changes up to their revision.
			complete = complete || !f.Revision().IsZero()
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
			f.log.Info("Store no longer keeps the changes after this revision, reading all items.", "revision", f.Revision().String())
			complete = false
		case errors.Is(err, errNewEra):
			f.log.Info("Store has come back from a copy, reading all items.", "error", err.Error(), "revision", f.Revision().String())
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
	var firstRevision rtid.StoreRevision
	after := ""
	for {
		call, cancel := context.WithTimeout(ctx, pageTimeout)
		items, more, revision, err := f.source.Page(call, after)
		cancel()
		if err != nil {
			return err
		}
		if !firstRevision.IsZero() && revision.Era != firstRevision.Era {
			return fmt.Errorf("page from era %d after one from era %d: %w", revision.Era, firstRevision.Era, errNewEra)
		}
		if firstRevision.IsZero() {
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
	if known := f.Revision(); firstRevision.Era < known.Era {
		return fmt.Errorf("read at %v, known is %v: %w", firstRevision, known, errOldEra)
	}
	f.recordContact()
	f.mu.Lock()
	defer f.mu.Unlock()
	if firstRevision.Era < f.state.Revision.Era {
		return errOldEra // a peer was faster
	}
	f.log.Info("Read all items of the store.", "items", len(all), "read", firstRevision.String(), "held", f.state.Revision.String())
	f.applyChanges(f.difference(all, firstRevision), firstRevision)
	f.history.reset(f.state.Revision)
	f.recordKept()
	return nil
}

// watch makes one watch call and applies the changes that it returns.
func (f *Feed) watch(ctx context.Context) error {
	wait := f.nextWatchWait(time.Now())
	call, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	after := f.Revision()
	changes, revision, err := f.source.Watch(call, after, wait)
	switch {
	case revision.Era > after.Era:
		return fmt.Errorf("watch after %v answered from era %d: %w", after, revision.Era, errNewEra)
	case err != nil:
		return err
	case revision.Era < after.Era:
		return fmt.Errorf("watch after %v answered from era %d: %w", after, revision.Era, errOldEra)
	}
	f.recordContact()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Revision.Era != revision.Era {
		return nil // a peer was faster; these changes do not continue its state
	}
	f.applyChanges(changes, revision)
	f.recordKept()
	return nil
}

// applyChanges applies the changes up to a revision, and publishes a new view if
// the state changed or has no view yet. Unconfirmed removals are recorded with
// the time at which they are due. If the revision is of a new era, what this process
// has from before it is kept where the store has something older. The caller holds
// mu.
func (f *Feed) applyChanges(changes []Change, revision rtid.StoreRevision) {
	changed := false
	now := time.Now()
	before := f.state.Revision
	restored := revision.Era > before.Era && !before.IsZero()
	if restored {
		// Targets that started in the lost time are missing until they write again.
		f.recoveredAt = now
	}
	for _, change := range changes {
		if f.applyChange(change, now) {
			changed = true
		}
	}
	if revision.After(f.state.Revision) {
		f.state.Revision = revision
	}
	if restored {
		f.logRestore(before)
	}
	if changed || f.view.Load() == nil {
		f.publishView()
	}
}

// applyChange applies one change, and reports whether that has changed the items. The
// caller holds mu.
func (f *Feed) applyChange(change Change, now time.Time) bool {
	if gone, ok := f.removals[change.Key]; ok && !change.Removed && !change.Revision.After(gone.last.Revision) {
		return false // a peer has not removed it yet
	}
	if kept, ok := f.kept[change.Key]; ok {
		if kept.stored != nil && !change.Revision.After(kept.stored.Revision) {
			return false
		}
		f.history.add(change)
		if !f.applyToKept(kept, change, now) {
			return false
		}
		f.follow(change, now)
		return true
	}
	if kept, ok := f.keepFrom(change, now); ok {
		f.history.add(change)
		f.keep(kept)
		delete(f.unconfirmed, change.Key)
		return false
	}
	if change.Removed && f.uncertain(change, now) && f.state.Has(change.Key) {
		if _, recorded := f.unconfirmed[change.Key]; !recorded {
			due := f.recoveredAt.Add(leaseRecoveryTime)
			if change.ConfirmationTime > 0 {
				due = now.Add(min(change.ConfirmationTime, leaseRecoveryTime))
			}
			f.unconfirmed[change.Key] = unconfirmedRemoval{revision: change.Revision, due: due, lacking: f.lostByCopy(change)}
		}
		f.history.add(change)
		return false
	}
	if !f.apply(change, !f.lostByCopy(change), now) {
		return false
	}
	delete(f.unconfirmed, change.Key)
	f.history.add(change)
	return true
}

// lostByCopy reports whether an item is lacking because the copy from which the store
// came back is older than the item. One of the era in which it is lacking has been
// removed since the return. The caller holds mu.
func (f *Feed) lostByCopy(change Change) bool {
	return change.Lacking && f.state.Items[change.Key].Revision.Era != change.Revision.Era
}

// uncertain reports whether a lease that expired during an outage may have caused a
// removal. The caller holds mu.
func (f *Feed) uncertain(change Change, now time.Time) bool {
	recovering := now.Sub(f.recoveredAt) < leaseRecoveryTime
	return change.ConfirmationTime > 0 || recovering && f.decoder.Kind(change.Key) == KindLeased
}

// apply applies a change to the state. If left is set, the removal of a leased item
// is remembered: its owner has left, and is not alive and late. The caller holds mu.
func (f *Feed) apply(change Change, left bool, now time.Time) bool {
	last, had := f.state.Items[change.Key]
	if !f.state.Apply(change) {
		return false
	}
	if change.Removed && left && had && f.decoder.Kind(change.Key) == KindLeased {
		f.removals[change.Key] = removal{last: last, at: now}
	}
	return true
}

// follow applies a change in place of an item that was kept. The caller holds mu.
func (f *Feed) follow(change Change, now time.Time) {
	kept := f.kept[change.Key]
	f.endKept(change.Key)
	if change.Removed {
		if kept.stored == nil && f.decoder.Kind(change.Key) == KindLeased {
			// The store lacked the entry before, so there is none left for apply to remember.
			f.removals[change.Key] = removal{last: kept.item, at: now}
		}
		f.apply(change, true, now)
		return
	}
	f.state.set(change.Item)
}

// logRestore logs and counts a return of the store from a copy. The caller holds mu.
func (f *Feed) logRestore(before rtid.StoreRevision) {
	var keys []string
	for key, kept := range f.kept {
		keys = append(keys, key+"@"+kept.item.Revision.String())
	}
	slices.Sort(keys)
	const maxLoggedKeys = 20
	f.log.Info("Following the store in its new era.", "from", before.String(), "to", f.state.Revision.String(),
		"kept", len(keys), "items", keys[:min(len(keys), maxLoggedKeys)], "unconfirmed", len(f.unconfirmed))
	f.scope.Counter("store_returns").Inc(1)
}

// recordKept updates the metrics about the store. The caller holds mu.
func (f *Feed) recordKept() {
	f.scope.Gauge("store_era").Update(float64(f.state.Revision.Era))
	f.scope.Gauge("kept_items").Update(float64(len(f.kept)))
}

// applyDue ends what is kept and applies the unconfirmed removals whose time is
// over. A reader whose calls fail keeps them pending, because it cannot see whether
// the owner has written the item again.
func (f *Feed) applyDue(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reader.Load() && f.failing {
		return
	}
	changed := f.applyDueKept(now)
	for key, removal := range f.unconfirmed {
		if now.Before(removal.due) {
			continue
		}
		f.log.Info("Target has not come back with the store.", "key", key, "revision", removal.revision.String())
		delete(f.unconfirmed, key)
		f.apply(Change{Item: Item{Key: key, Revision: removal.revision}, Removed: true}, !removal.lacking, now)
		changed = true
	}
	if changed {
		f.recordKept()
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
		f.log.Info("Store answers again.", "silence", now.Sub(f.lastContact).String(), "revision", f.state.Revision.String())
	}
	f.lastContact, f.failing = now, false
}

// nextWatchWait returns the wait of the next watch. The watch ends when an
// unconfirmed removal or the end of a kept item is due. While calls fail it is as short as possible, so
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
	for _, kept := range f.kept {
		if !kept.until.IsZero() {
			wait = min(wait, kept.until.Sub(now))
		}
	}
	return max(wait, probeWait)
}

// recordFailure records a failed call. It logs only the first one after an
// answer.
func (f *Feed) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		f.log.Info("Store lost.", "error", err.Error(), "revision", f.state.Revision.String())
	}
	f.failing = true
}

// Revision returns the revision of the state: it includes all changes up to it.
func (f *Feed) Revision() rtid.StoreRevision {
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
