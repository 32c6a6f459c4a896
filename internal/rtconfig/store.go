// Package rtconfig holds the published document that is in force in this
// process. It has no clock and no sockets.
package rtconfig

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// keptRefusals is how many refused documents are remembered. The platform
// holds one document at a time, so that a few are enough.
const keptRefusals = 8

// Result is what became of an offered document.
type Result int

// The results of an offer.
const (
	NotNewer Result = iota // version is not above the one in force
	Refused                // document has findings
	Accepted               // document is in force now
)

// Config is a document in force. It is read only.
type Config struct {
	Version  rtid.Version // 0 means that no document is known
	Document *rtdocument.Document
	Body     []byte // as published
}

// Refusal is a document that was not put in force.
type Refusal struct {
	Version  rtid.Version        `json:"version"`
	Findings []rtfinding.Finding `json:"findings"`
	digest   uint64              // of the body: another body under this version is checked
}

// Counts are totals since the start of the process.
type Counts struct {
	Accepted  uint64 `json:"accepted"`
	Conflicts uint64 `json:"conflicts"` // accepted with a base that was not the revision held
	Reverted  uint64 `json:"reverted"`  // offered with a version below the one in force
	Refused   uint64 `json:"refused"`
}

// Decode decodes and checks a document. The document is in force only if the
// list has no finding that refuses it.
type Decode func(body []byte) (rtdocument.Document, rtfinding.List)

// Store holds the document in force. Its version only rises.
type Store struct {
	decode Decode

	mu       sync.Mutex
	current  Config
	refusals []Refusal // oldest first; versions above current only
	counts   Counts
	changed  chan struct{} // closed at the next change of current
}

// New returns a store that holds no document.
func New(decode Decode) *Store {
	return &Store{decode: decode, changed: make(chan struct{})}
}

// Current returns the document in force.
func (s *Store) Current() Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Changed returns a channel that is closed when a newer document is in force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Seen returns the highest version that needs no further look: the one in
// force or a refused one. A watch after the version in force alone would
// return a refused document at once, again and again.
func (s *Store) HighestSeen() rtid.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.current.Version
	for _, refusal := range s.refusals {
		seen = max(seen, refusal.Version)
	}
	return seen
}

// Wants reports whether a document of this version, in force at a peer, is
// worth getting: it is newer and was not refused here.
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

// Offer puts a document in force if its version is higher than the one held
// and it passes all checks. A refused body is checked once only.
func (s *Store) Apply(version rtid.Version, body []byte) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.current.Version {
		if version < s.current.Version {
			s.counts.Reverted++
		}
		return NotNewer
	}
	digest := xxhash.Sum64(body)
	if s.refusedBefore(version, digest) {
		return Refused
	}
	document, findings := s.decode(body)
	if findings.Err() != nil {
		s.refuse(Refusal{Version: version, Findings: findings.All(), digest: digest})
		return Refused
	}
	s.accept(Config{Version: version, Document: &document, Body: body})
	return Accepted
}

func (s *Store) refusedBefore(version rtid.Version, digest uint64) bool {
	return slices.ContainsFunc(s.refusals, func(r Refusal) bool {
		return r.Version == version && r.digest == digest
	})
}

func (s *Store) refuse(refusal Refusal) {
	s.counts.Refused++
	if len(s.refusals) == keptRefusals {
		s.refusals = slices.Delete(s.refusals, 0, 1)
	}
	s.refusals = append(s.refusals, refusal)
}

func (s *Store) accept(next Config) {
	held := s.current.Document
	if held != nil && held.Revision != next.Document.Base {
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
