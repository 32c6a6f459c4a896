package rtid

import (
	"cmp"
	"strconv"
)

// StoreRevision orders the states of the platform's store. A store that comes back
// from a copy gives out revisions again; its era tells them apart.
type StoreRevision struct {
	Era    uint64 `json:"era,omitempty"` // 0 if the store names none
	Number uint64 `json:"revision"`      // increases with each change in an era
}

// maxRevision is the highest number that all readers of JSON represent exactly. No store
// gets there.
const maxRevision = 1<<53 - 1

// Valid reports whether r can be the revision of a store. After one that cannot, no
// real one would count as later.
func (r StoreRevision) Valid() bool { return r.Era <= maxRevision && r.Number <= maxRevision }

// Compare returns -1, 0 or 1 if r is before, the same as or after other.
func (r StoreRevision) Compare(other StoreRevision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is after other.
func (r StoreRevision) After(other StoreRevision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r is the revision of an empty state.
func (r StoreRevision) IsZero() bool { return r == StoreRevision{} }

// String returns the era and the number, separated by a dot.
func (r StoreRevision) String() string {
	return strconv.FormatUint(r.Era, 10) + "." + strconv.FormatUint(r.Number, 10)
}
