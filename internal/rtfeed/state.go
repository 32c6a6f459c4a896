package rtfeed

import "maps"

// State is a set of items at a revision. The zero value is empty.
type State struct {
	Revision uint64          `json:"revision"` // every change up to it is in Items
	Items    map[string]Item `json:"items"`
}

// Has reports whether the state holds a key.
func (s *State) Has(key string) bool {
	_, ok := s.Items[key]
	return ok
}

// Clone returns a copy that shares the values, which are never changed.
func (s *State) Clone() State {
	return State{Revision: s.Revision, Items: maps.Clone(s.Items)}
}

// Apply applies one change and reports whether the state is another one now.
// A change that is older than what is known of the key has no effect.
func (s *State) Apply(change Change) bool {
	known, ok := s.Items[change.Key]
	if ok && known.Revision >= change.Revision {
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

// Difference returns the changes that lead from the state to what was read in
// full at a revision.
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

// Delta is what one process tells another about the state.
type Delta struct {
	Revision uint64   `json:"revision"`       // every change up to it is known
	Full     bool     `json:"full,omitempty"` // Changes holds all items
	Changes  []Change `json:"changes"`
}

// maxHistory bounds the changes that are kept for peers. A peer that is further
// behind gets all items.
const maxHistory = 512

// history is the last changes, in the order in which they were learnt. The
// zero value is empty.
type history struct {
	changes []Change
	floor   uint64 // changes up to it may be missing
}

// add appends a change.
func (h *history) add(change Change) {
	h.changes = append(h.changes, change)
	if len(h.changes) > maxHistory {
		h.floor = max(h.floor, h.changes[0].Revision)
		h.changes = h.changes[1:]
	}
}

// reset forgets all after a read in full, which does not show what has come and
// gone since the last one.
func (h *history) reset(revision uint64) {
	h.changes, h.floor = nil, revision
}

// since returns the changes after a revision. It reports false if some of them
// may be missing. Nothing is known of a process that knows nothing.
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
