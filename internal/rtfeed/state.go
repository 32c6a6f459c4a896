package rtfeed

import "maps"

// State is a set of items at a revision. The zero value is empty.
type State struct {
	Revision uint64          `json:"revision"` // Items includes all changes up to it
	Items    map[string]Item `json:"items"`
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
	if ok && current.Revision >= change.Revision {
		return false
	}
	if change.Removed {
		delete(s.Items, change.Key)
		return ok
	}
	if s.Items == nil {
		s.Items = make(map[string]Item)
	}
	s.Items[change.Key] = change.Item
	return true
}

// Difference returns the changes that turn the state into a full read: all the
// items that were read at a revision, and the removals of those that the read
// lacks. Items written after that revision are kept.
func (s *State) Difference(all []Change, revision uint64) []Change {
	changes := all
	seen := make(map[string]bool, len(all))
	for _, change := range all {
		seen[change.Key] = true
	}
	for key, item := range s.Items {
		if !seen[key] && item.Revision <= revision {
			changes = append(changes, Change{Item: Item{Key: key, Revision: revision + 1}, Removed: true})
		}
	}
	return changes
}

// Delta is an update of the state that one process sends to another.
type Delta struct {
	Revision uint64   `json:"revision"`       // of the sender's state
	Full     bool     `json:"full,omitempty"` // Changes holds all items of the state
	Changes  []Change `json:"changes"`
}

// maxHistory is how many changes are kept for peers. A peer that needs older
// ones gets all items.
const maxHistory = 512

// history holds the last changes in the order in which they were applied. The
// zero value is empty.
type history struct {
	changes []Change
	floor   uint64 // changes up to this revision may be missing
}

// add appends a change and drops the oldest one beyond maxHistory.
func (h *history) add(change Change) {
	h.changes = append(h.changes, change)
	if len(h.changes) > maxHistory {
		h.floor = max(h.floor, h.changes[0].Revision)
		h.changes = h.changes[1:]
	}
}

// reset drops all changes after a full read, which does not show the items that
// were written and removed again since the previous read.
func (h *history) reset(revision uint64) {
	h.changes, h.floor = nil, revision
}

// since returns the changes after a revision. It reports false if some of them
// may be missing, and for revision 0, the one of an empty state.
func (h *history) since(revision uint64) ([]Change, bool) {
	if revision == 0 || revision < h.floor {
		return nil, false
	}
	var changes []Change
	for _, change := range h.changes {
		if change.Revision > revision {
			changes = append(changes, change)
		}
	}
	return changes, true
}
