package rtfeed

import (
	"fmt"
	"maps"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// State is a set of items at a revision. The zero value is empty.
type State struct {
	Revision rtid.StoreRevision `json:"revision"` // Items includes all changes up to it
	Items    map[string]Item    `json:"items"`
}

// Has reports whether the state holds an item with this key.
func (s *State) Has(key string) bool {
	_, ok := s.Items[key]
	return ok
}

// Clone returns a copy. It shares the bytes of the values, which are immutable.
func (s *State) Clone() State {
	return State{Revision: s.Revision, Items: maps.Clone(s.Items)}
}

// Apply applies one change and reports whether it altered the items. A change
// that is not newer than the item under its key has no effect.
func (s *State) Apply(change Change) bool {
	current, ok := s.Items[change.Key]
	if ok && !change.Revision.After(current.Revision) {
		return false
	}
	if change.Removed {
		delete(s.Items, change.Key)
		return ok
	}
	s.set(change.Item)
	return true
}

// set sets an item regardless of revisions.
func (s *State) set(item Item) {
	if s.Items == nil {
		s.Items = make(map[string]Item)
	}
	s.Items[item.Key] = item
}

// Difference returns the changes that turn the state into a full read: all the
// items that were read at a revision, and the removals of those that the read
// lacks. Items written after that revision are kept.
func (s *State) Difference(all []Change, revision rtid.StoreRevision) []Change {
	changes := all
	seen := make(map[string]bool, len(all))
	for _, change := range all {
		seen[change.Key] = true
	}
	after := rtid.StoreRevision{Era: revision.Era, Number: revision.Number + 1}
	for key, item := range s.Items {
		if !seen[key] && !item.Revision.After(revision) {
			changes = append(changes, Change{Item: Item{Key: key, Revision: after}, Removed: true, Lacking: true})
		}
	}
	return changes
}

// Delta is an update of the state that one process sends to another.
type Delta struct {
	Revision rtid.StoreRevision `json:"revision"`       // of the sender's state
	Full     bool               `json:"full,omitempty"` // Changes holds all items of the store
	Changes  []Change           `json:"changes"`
	Kept     []KeptItem         `json:"kept,omitempty"` // in place of items of the store
}

// Check returns an error if the revision of the delta or of one of its items cannot be
// that of a store, or if an item is of a later era than the delta.
func (d *Delta) Check() error {
	if !d.Revision.Valid() {
		return fmt.Errorf("revision %v is out of range", d.Revision)
	}
	for i := range d.Changes {
		if err := d.Changes[i].Check(); err != nil {
			return err
		}
		if d.Changes[i].Revision.Era > d.Revision.Era {
			return fmt.Errorf("item %.200q at revision %v is of a later era than the state, %v", d.Changes[i].Key, d.Changes[i].Revision, d.Revision)
		}
	}
	for i := range d.Kept {
		if err := d.Kept[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// maxHistory is how many changes are kept for peers. A peer that needs older
// ones gets all items.
const maxHistory = 512

// history holds the last changes in the order in which they were applied. The
// zero value is empty.
type history struct {
	changes []Change
	floor   rtid.StoreRevision // changes up to this revision may be missing
}

// add appends a change and drops the oldest one beyond maxHistory.
func (h *history) add(change Change) {
	h.changes = append(h.changes, change)
	if len(h.changes) > maxHistory {
		if h.changes[0].Revision.After(h.floor) {
			h.floor = h.changes[0].Revision
		}
		h.changes = h.changes[1:]
	}
}

// reset drops all changes after a full read, which does not show the items that
// were written and removed again since the previous read.
func (h *history) reset(revision rtid.StoreRevision) {
	h.changes, h.floor = nil, revision
}

// since returns the changes after a revision. It reports false if some of them
// may be missing, and for the revision of an empty state.
func (h *history) since(revision rtid.StoreRevision) ([]Change, bool) {
	if revision.IsZero() || h.floor.After(revision) {
		return nil, false
	}
	var changes []Change
	for _, change := range h.changes {
		if change.Revision.After(revision) {
			changes = append(changes, change)
		}
	}
	return changes, true
}
