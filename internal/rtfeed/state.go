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

// Difference returns the changes that lead from the state to all items that
// were read at a revision.
func (s *State) Difference(all []Item, revision uint64) []Change {
	var changes []Change
	seen := make(map[string]bool, len(all))
	for _, item := range all {
		seen[item.Key] = true
		changes = append(changes, Change{Item: item})
	}
	for key, item := range s.Items {
		if !seen[key] && item.Revision <= revision {
			changes = append(changes, Change{Item: Item{Key: key, Revision: revision + 1}, Removed: true})
		}
	}
	return changes
}
