// Package rtfeed keeps a process up to date with what operators and targets
// publish: from the platform's store, or from peers that know more.
//
// The state is a set of items with one revision counter, so that what comes
// from any source can be compared and nothing goes back.
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
	Revision uint64 `json:"revision"`          // of its last change
	Created  uint64 `json:"created,omitempty"` // revision of its creation
}

// Change is an item as it was written, or its removal.
type Change struct {
	Item
	Removed bool `json:"removed,omitempty"`
	// Doubt is how long the removal may still turn out to be a lapse of the
	// store's own; 0 for none.
	Unconfirmed time.Duration `json:"doubt,omitempty"`
}

// Errors of a Source.
var (
	// ErrHistory says that the changes asked for are no longer kept.
	ErrHistoryGone = errors.New("history is no longer kept")
	// ErrBusy says that the source refused the call and did nothing.
	ErrBusy = errors.New("source is busy")
)

// Source is the platform's store. Each method is one exchange.
type Source interface {
	// Page returns the items after a key and the revision of the answer.
	Page(ctx context.Context, after string) (items []Item, more bool, revision uint64, err error)
	// Watch returns the changes after a revision, at the latest after wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (changes []Change, revision uint64, err error)
}

// Decoder makes a view of items. It logs items that it cannot read.
type Decoder interface {
	// Perishable reports whether an item vanishes by itself while its owner
	// cannot reach the store.
	Leased(key string) bool
	View(state State, previous *rtcatalog.View) *rtcatalog.View
}

const (
	// watchWait bounds one watch, so that a connection that has gone silent is
	// noticed before a change is overdue (2 s in the published bounds).
	watchWait = 1500 * time.Millisecond
	// probeWait is the wait of a watch while the store does not answer.
	probeWait = 10 * time.Millisecond
	// callSlack is the time of a call beyond its wait.
	callSlack = 500 * time.Millisecond
	// pageTimeout bounds the read of one page.
	pageTimeout = 2 * time.Second
	// pace is the least time between two watches: changes that come in quick
	// succession share a call.
	pace = 250 * time.Millisecond
	// The pause after a failed call grows from firstPause to lastPause.
	firstPause = 100 * time.Millisecond
	lastPause  = 500 * time.Millisecond
	// idlePause is how often a process that is no reader looks whether it is.
	idlePause = 100 * time.Millisecond
	// outage is the silence of the store after which removals are doubted.
	outage = 1 * time.Second
	// returnTime is how long after its return the store may lack targets that
	// live (platform: about 2 s).
	returnTime = 2200 * time.Millisecond
)

// Feed keeps the state of one process. Create it with New.
type Feed struct {
	source  Source
	decoder Decoder
	log     logr.Logger
	view    atomic.Pointer[rtcatalog.View]
	changed chan struct{} // receives after each new view; capacity 1

	reader atomic.Bool // this process asks the store itself

	mu       sync.Mutex
	state    State
	history  history
	contact  time.Time // last answer of the store
	failing  bool      // a call has failed since contact
	returned time.Time // first answer after an outage
	doubted  map[string]doubt
}

// doubt is a removal that may be the store's own lapse.
type doubt struct {
	revision uint64    // of the removal
	due      time.Time // when it counts
}

// New returns a feed that knows nothing.
func New(source Source, decoder Decoder, log logr.Logger) *Feed {
	feed := &Feed{
		source:  source,
		decoder: decoder,
		log:     log.WithName("feed"),
		changed: make(chan struct{}, 1),
		doubted: make(map[string]doubt),
	}
	feed.reader.Store(true)
	return feed
}

// SetReader sets whether this process asks the store itself. One that does not
// learns from peers by Adopt.
func (f *Feed) SetReader(reader bool) {
	if f.reader.Swap(reader) != reader {
		f.log.Info("Reader changed.", "reader", reader, "revision", f.Revision())
	}
}

// View returns what is known now. It is nil until something is known.
func (f *Feed) View() *rtcatalog.View { return f.view.Load() }

// Changed receives after a new view, at least once for several.
func (f *Feed) Changed() <-chan struct{} { return f.changed }

// Contact returns when the store answered last.
func (f *Feed) LastContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// Delta returns what a peer lacks that knows all up to a revision.
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
		for key, d := range f.doubted {
			changes = append(changes, Change{Item: Item{Key: key, Revision: d.revision}, Removed: true})
		}
	}
	now := time.Now()
	for i, change := range changes {
		if d, ok := f.doubted[change.Key]; ok && change.Removed && change.Revision == d.revision {
			changes[i].Unconfirmed = max(time.Millisecond, d.due.Sub(now))
		}
	}
	delta.Changes = changes
	return delta
}

// Adopt takes in what a peer knows more.
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
	f.merge(changes, delta.Revision)
	if delta.Full {
		f.history.reset(f.state.Revision)
	}
}

// Run follows the store until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	pause := firstPause
	complete := false // the state holds a full read, which watches can go on from
	for ctx.Err() == nil {
		f.settle(time.Now())
		if !f.reader.Load() {
			// The state is as good as a read of the store: both hold all changes
			// up to a revision.
			complete = complete || f.Revision() > 0
			sleep(ctx, idlePause)
			continue
		}
		started := time.Now()
		var err error
		if complete {
			err = f.watch(ctx)
		} else {
			err = f.read(ctx)
		}
		switch {
		case err == nil:
			complete = true
			pause = firstPause
			sleep(ctx, pace-time.Since(started))
		case errors.Is(err, ErrHistoryGone):
			f.log.Info("History of the store is gone, reading all.", "revision", f.Revision())
			complete = false
		default:
			f.lost(err)
			sleep(ctx, pause)
			pause = min(lastPause, 2*pause)
		}
	}
	return nil
}

// read replaces the state by all items of the store.
func (f *Feed) read(ctx context.Context) error {
	var all []Change
	var first uint64
	after := ""
	for {
		call, cancel := context.WithTimeout(ctx, pageTimeout)
		items, more, revision, err := f.source.Page(call, after)
		cancel()
		if err != nil {
			return err
		}
		if first == 0 {
			// Pages are not a snapshot: watching from the first one repeats
			// what changed while the others were read.
			first = revision
		}
		for _, item := range items {
			all = append(all, Change{Item: item})
		}
		if !more || len(items) == 0 {
			break
		}
		after = items[len(items)-1].Key
	}
	f.heard()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merge(f.state.Difference(all, first), first)
	f.history.reset(f.state.Revision)
	return nil
}

// watch waits for changes once.
func (f *Feed) watch(ctx context.Context) error {
	wait := f.nextWait(time.Now())
	call, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	changes, revision, err := f.source.Watch(call, f.Revision(), wait)
	if err != nil {
		return err
	}
	f.heard()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merge(changes, revision)
	return nil
}

// merge applies changes. The caller holds mu.
func (f *Feed) merge(changes []Change, revision uint64) {
	changed := false
	now := time.Now()
	lapse := now.Sub(f.returned) < returnTime
	for _, change := range changes {
		doubtful := change.Unconfirmed > 0 || lapse && f.decoder.Leased(change.Key)
		if change.Removed && doubtful && f.state.Has(change.Key) {
			if _, known := f.doubted[change.Key]; !known {
				due := f.returned.Add(returnTime)
				if change.Unconfirmed > 0 {
					due = now.Add(change.Unconfirmed)
				}
				f.doubted[change.Key] = doubt{revision: change.Revision, due: due}
			}
			f.history.add(change)
			continue
		}
		if f.state.Apply(change) {
			changed = true
			delete(f.doubted, change.Key)
			f.history.add(change)
		}
	}
	f.state.Revision = max(f.state.Revision, revision)
	if changed || f.view.Load() == nil {
		f.publish()
	}
}

// settle removes doubted items once the store has had the time to show them
// again.
func (f *Feed) settle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for key, d := range f.doubted {
		if now.Before(d.due) || f.reader.Load() && f.failing {
			continue
		}
		f.log.Info("Target has not come back with the store.", "key", key, "revision", d.revision)
		delete(f.doubted, key)
		f.state.Apply(Change{Item: Item{Key: key, Revision: d.revision}, Removed: true})
		changed = true
	}
	if changed {
		f.publish()
	}
}

// publish makes a new view. The caller holds mu.
func (f *Feed) publish() {
	f.view.Store(f.decoder.View(f.state, f.view.Load()))
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// heard records an answer of the store.
func (f *Feed) heard() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.failing && !f.contact.IsZero() && now.Sub(f.contact) > outage {
		f.returned = now
		f.log.Info("Store answers again.", "silence", now.Sub(f.contact).String(), "revision", f.state.Revision)
	}
	f.contact, f.failing = now, false
}

// nextWait returns the wait of the next watch. It ends when a doubt is due, and
// at once while the store does not answer, so that its return is noticed.
func (f *Feed) nextWait(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing {
		return probeWait
	}
	wait := watchWait
	for _, d := range f.doubted {
		wait = min(wait, d.due.Sub(now))
	}
	return max(wait, probeWait)
}

// lost logs the first failed call of an outage.
func (f *Feed) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		f.log.Info("Store lost.", "error", err.Error(), "revision", f.state.Revision)
	}
	f.failing = true
}

// Revision returns the revision up to which all changes are known.
func (f *Feed) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Revision
}

// sleep waits for d or the end of the context.
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
