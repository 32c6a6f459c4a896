package rtfeed

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Kind says what becomes of an item that a restored copy of the store lacks, or has
// in an older form.
type Kind int

// The kinds of items.
const (
	// KindOther is replaced by what the copy has.
	KindOther Kind = iota
	// KindVersioned is kept until the store has a later version.
	KindVersioned
	// KindOperator is kept for restoreTime, in which operators write it again.
	KindOperator
	// KindLeased is the entry of a target. The store removes it when its owner
	// fails to renew a lease, for example while the owner cannot reach the store.
	KindLeased
)

const (
	// restoreTime is how long an item is kept that a restored copy lacks, or has in
	// an older form. Its owner writes it again within seconds.
	restoreTime = 10 * time.Second
	// lapseTime is how long a target that has left stays removed though a restored
	// copy has its entry: a lease lasts three heartbeats of 1.2 s, and the store is a
	// little late. A target that is alive renews its entry.
	lapseTime = 6 * time.Second
	// removalMemory is how long it is known that an entry was removed. Copies of the
	// store are some seconds old.
	removalMemory = time.Minute
	// noEnd is the end of what is kept until it is superseded.
	noEnd = -1
)

// KeptItem is what a process keeps in place of an item of the store, as it is sent
// to peers.
type KeptItem struct {
	Item
	Removed   bool  `json:"removed,omitempty"`
	Remaining int64 `json:"remaining"` // time until it is no longer kept, in ms; noEnd for none
}

// keptItem is what this process knows of an item from before the store came back
// from a copy, and keeps in place of what the copy has.
type keptItem struct {
	item    Item
	removed bool
	stored  *Item     // what the store has; nil for nothing
	era     uint64    // of the copy that it is kept from
	until   time.Time // zero if it is kept until it is superseded
}

// removal is the removal of an entry that a restored copy may bring back.
type removal struct {
	last Item // before the removal
	at   time.Time
}

// keepFrom decides about a change of a later era than that of the item that it
// changes. It returns what to keep in its place, if anything. An explicit removal
// is followed: only its owner or the store makes it, after the return.
func (f *Feed) keepFrom(change Change, now time.Time) (keptItem, bool) {
	held, ok := f.state.Items[change.Key]
	kind := f.decoder.Kind(change.Key)
	if !ok {
		return f.keepRemoved(change, kind, now)
	}
	if held.Revision.Era >= change.Revision.Era {
		return keptItem{}, false
	}
	kept := keptItem{item: held, era: change.Revision.Era, until: now.Add(restoreTime)}
	if kind == KindVersioned {
		kept.until = time.Time{}
	}
	if change.Removed {
		// Leased items are handled as removals that need confirmation.
		lost := kind == KindVersioned || kind == KindOperator && change.Lacking
		return kept, lost
	}
	stored := change.Item
	kept.stored = &stored
	return kept, kind != KindOther && !f.decoder.Supersedes(change.Item, held)
}

// keepRemoved is keepFrom for an entry that this process does not hold: that of a
// target that has left comes back with a copy and lapses there.
func (f *Feed) keepRemoved(change Change, kind Kind, now time.Time) (keptItem, bool) {
	gone, ok := f.removals[change.Key]
	if !ok || change.Removed || kind != KindLeased || now.Sub(gone.at) > removalMemory ||
		gone.last.Revision.Era >= change.Revision.Era || change.Revision.Number > gone.last.Revision.Number ||
		f.decoder.Later(change.Item, gone.last) {
		return keptItem{}, false
	}
	stored := change.Item
	return keptItem{item: gone.last, removed: true, stored: &stored, era: change.Revision.Era, until: now.Add(lapseTime)}, true
}

// applyToKept applies a change to an item that is kept. It reports whether the
// change ends that, so that it is followed. The caller holds mu.
func (f *Feed) applyToKept(kept keptItem, change Change, now time.Time) bool {
	if change.Revision.Era > kept.era {
		// The store has come back from another copy.
		kept.era = change.Revision.Era
		switch {
		case kept.removed:
			kept.until = now.Add(lapseTime)
		case !kept.until.IsZero():
			kept.until = now.Add(restoreTime)
		}
	} else if change.Removed && !change.Lacking && f.decoder.Kind(change.Key) != KindVersioned {
		return true
	}
	switch {
	case change.Removed && kept.removed:
		delete(f.kept, change.Key)
		return false
	case change.Removed:
		kept.stored = nil
	case kept.removed && change.Revision.Number > kept.item.Revision.Number, !kept.removed && f.decoder.Supersedes(change.Item, kept.item),
		kept.removed && f.decoder.Later(change.Item, kept.item):
		return true
	default:
		stored := change.Item
		kept.stored = &stored
	}
	f.kept[change.Key] = kept
	return false
}

// keep puts a kept item in place. The caller holds mu.
func (f *Feed) keep(kept keptItem) {
	key := kept.item.Key
	f.kept[key] = kept
	if kept.removed {
		delete(f.state.Items, key)
		return
	}
	f.state.set(kept.item)
}

// endKept replaces a kept item by what the store has. The caller holds mu.
func (f *Feed) endKept(key string) {
	kept := f.kept[key]
	delete(f.kept, key)
	if kept.stored != nil {
		f.state.set(*kept.stored)
	} else {
		delete(f.state.Items, key)
	}
}

// applyDueKept ends what was kept until now, and reports whether there was any. The
// caller holds mu.
func (f *Feed) applyDueKept(now time.Time) bool {
	changed := false
	for key, kept := range f.kept {
		if kept.until.IsZero() || now.Before(kept.until) {
			continue
		}
		f.log.Info("Item from before the return of the store was not written again, following the store.",
			"key", key, "kept", kept.item.Revision.String(), "removed", kept.removed, "stored", kept.stored != nil)
		f.endKept(key)
		changed = true
	}
	maps.DeleteFunc(f.removals, func(_ string, r removal) bool { return now.Sub(r.at) > removalMemory })
	return changed
}

// mergeKept adds what a peer keeps, and reports whether the items have changed. What
// this process knows to be superseded is not kept again. The caller holds mu.
func (f *Feed) mergeKept(items []KeptItem, now time.Time) bool {
	changed := false
	for _, reported := range items {
		kept := keptItem{item: reported.Item, removed: reported.Removed, era: f.state.Revision.Era}
		if reported.Remaining != noEnd {
			kept.until = now.Add(min(time.Duration(reported.Remaining)*time.Millisecond, restoreTime))
		}
		kind := f.decoder.Kind(reported.Key)
		if kept.until.IsZero() != (kind == KindVersioned) || !kept.until.IsZero() && !kept.until.After(now) {
			continue
		}
		if _, pending := f.unconfirmed[reported.Key]; pending && kept.removed {
			// The store lacks it already, so there is nothing to wait for.
			delete(f.unconfirmed, reported.Key)
			delete(f.state.Items, reported.Key)
			f.removals[reported.Key] = removal{last: reported.Item, at: now}
			changed = true
			continue
		}
		current, has := f.state.Items[reported.Key]
		_, already := f.kept[reported.Key]
		switch {
		case already && (kept.removed || !has || f.decoder.Supersedes(current, kept.item)):
			continue
		case kept.removed && (!has || current.Revision.Number > kept.item.Revision.Number || f.decoder.Later(current, kept.item)):
			continue
		case !kept.removed && has && f.decoder.Supersedes(current, kept.item):
			continue
		}
		if already {
			kept.stored = f.kept[reported.Key].stored
		} else if has {
			kept.stored = &current
		}
		f.keep(kept)
		changed = true
	}
	return changed
}

// keptItems returns what is kept, for peers. The caller holds mu.
func (f *Feed) keptItems(now time.Time) []KeptItem {
	var items []KeptItem
	for _, key := range slices.Sorted(maps.Keys(f.kept)) {
		kept := f.kept[key]
		item := KeptItem{Item: kept.item, Removed: kept.removed, Remaining: noEnd}
		if !kept.until.IsZero() {
			item.Remaining = max(0, kept.until.Sub(now).Milliseconds())
		}
		items = append(items, item)
	}
	return items
}

// difference is State.Difference, also for entries that are kept removed. The caller
// holds mu.
func (f *Feed) difference(all []Change, revision rtid.StoreRevision) []Change {
	changes := f.state.Difference(all, revision)
	for key, kept := range f.kept {
		read := slices.ContainsFunc(all, func(c Change) bool { return c.Key == key })
		if kept.removed && !read {
			after := rtid.StoreRevision{Era: revision.Era, Number: revision.Number + 1}
			changes = append(changes, Change{Item: Item{Key: key, Revision: after}, Removed: true, Lacking: true})
		}
	}
	return changes
}

// storedItems returns the items as the store has them. The caller holds mu.
func (f *Feed) storedItems() []Change {
	var items []Change
	for key, item := range f.state.Items {
		if _, ok := f.kept[key]; !ok {
			items = append(items, Change{Item: item})
		}
	}
	for _, kept := range f.kept {
		if kept.stored != nil {
			items = append(items, Change{Item: *kept.stored})
		}
	}
	return items
}

// KeptHash identifies what is kept, so that peers can compare it: 0 for nothing.
func (f *Feed) KeptHash() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.kept) == 0 {
		return 0
	}
	hash := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(f.kept)) {
		kept := f.kept[key]
		_, _ = hash.WriteString(key) // never fails
		var number [17]byte
		binary.BigEndian.PutUint64(number[:], kept.item.Revision.Era)
		binary.BigEndian.PutUint64(number[8:], kept.item.Revision.Number)
		if kept.removed {
			number[16] = 1
		}
		_, _ = hash.Write(number[:])
	}
	return max(1, hash.Sum64())
}

// KeptKeys returns the keys of what is kept, with the revision of each item.
func (f *Feed) KeptKeys() map[string]rtid.StoreRevision {
	f.mu.Lock()
	defer f.mu.Unlock()
	keys := make(map[string]rtid.StoreRevision, len(f.kept))
	for key, kept := range f.kept {
		keys[key] = kept.item.Revision
	}
	return keys
}
