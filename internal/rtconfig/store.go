// Package rtconfig stores the configuration document that is in force in this
// process. It uses no clock and no sockets.
package rtconfig

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// maxRefusals is the largest number of refused documents that are recorded. The
// platform holds one document at a time, so a few are enough.
const maxRefusals = 8

// Result is the result of applying a document.
type Result int

// The results of Store.Apply.
const (
	NotNewer Result = iota // the version is not above the one in force
	Refused                // the document has errors
	Accepted               // the document is now in force
)

// Config is a document in force. It is read only.
type Config struct {
	Version  rtid.Version // 0 if no document is in force
	Document *rtdocument.Document
	Body     []byte // as published
}

// Refusal records a document that was refused.
type Refusal struct {
	Version  rtid.Version        `json:"version"`
	Findings []rtfinding.Finding `json:"findings"`
	bodyHash uint64              // another body under the same version is checked
}

// Counts are totals since the start of the process.
type Counts struct {
	Accepted  uint64 `json:"accepted"`
	Conflicts uint64 `json:"conflicts"` // accepted although their base is not the revision that they replaced
	Reverted  uint64 `json:"reverted"`  // not applied because their version is below the one in force
	Refused   uint64 `json:"refused"`
}

// Decode decodes and checks a document. The document is refused if the list
// contains an error.
type Decode func(body []byte) (rtdocument.Document, rtfinding.List)

// Store holds the document in force. Its version never decreases.
type Store struct {
	decode Decode

	mu       sync.Mutex
	current  Config
	refusals []Refusal // oldest first; versions above current only
	counts   Counts
	changed  chan struct{} // closed at the next change of current
}

// New returns a store without a document.
func New(decode Decode) *Store {
	return &Store{decode: decode, changed: make(chan struct{})}
}

// Current returns the document in force.
func (s *Store) Current() Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Changed returns a channel that is closed when a newer document comes into
// force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// HighestSeen returns the highest version that has been checked: the one in
// force or a refused one. A reader watches for versions above it: a watch for
// those above the one in force would return a refused document immediately,
// again and again.
func (s *Store) HighestSeen() rtid.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.current.Version
	for _, refusal := range s.refusals {
		seen = max(seen, refusal.Version)
	}
	return seen
}

// ShouldFetch reports whether a document of this version, in force at a peer,
// should be fetched: it is newer than the one in force and was not refused.
func (s *Store) ShouldFetch(version rtid.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return version > s.current.Version && !slices.ContainsFunc(s.refusals, func(r Refusal) bool {
		return r.Version == version
	})
}

// Refusal returns the refused document with the highest version above the one
// in force, if there is one.
func (s *Store) Refusal() (Refusal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var highest Refusal
	for _, refusal := range s.refusals {
		if refusal.Version > highest.Version {
			highest = refusal
		}
	}
	return highest, highest.Version > 0
}

// Counts returns the totals since the start.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Apply puts a document in force if its version is above the one in force and
// it passes all checks. A refused body is checked only once.
func (s *Store) Apply(version rtid.Version, body []byte) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.current.Version {
		if version < s.current.Version {
			s.counts.Reverted++
		}
		return NotNewer
	}
	bodyHash := xxhash.Sum64(body)
	if s.alreadyRefused(version, bodyHash) {
		return Refused
	}
	document, findings := s.decode(body)
	if findings.Err() != nil {
		s.recordRefusal(Refusal{Version: version, Findings: findings.All(), bodyHash: bodyHash})
		return Refused
	}
	s.replaceCurrent(Config{Version: version, Document: &document, Body: body})
	return Accepted
}

func (s *Store) alreadyRefused(version rtid.Version, bodyHash uint64) bool {
	return slices.ContainsFunc(s.refusals, func(r Refusal) bool {
		return r.Version == version && r.bodyHash == bodyHash
	})
}

func (s *Store) recordRefusal(refusal Refusal) {
	s.counts.Refused++
	if len(s.refusals) == maxRefusals {
		s.refusals = slices.Delete(s.refusals, 0, 1)
	}
	s.refusals = append(s.refusals, refusal)
}

func (s *Store) replaceCurrent(next Config) {
	previous := s.current.Document
	if previous != nil && previous.Revision != next.Document.Base {
		s.counts.Conflicts++
	}
	s.counts.Accepted++
	s.current = next
	s.refusals = slices.DeleteFunc(s.refusals, func(r Refusal) bool {
		return r.Version <= next.Version
	})
	close(s.changed)
	s.changed = make(chan struct{})
}
