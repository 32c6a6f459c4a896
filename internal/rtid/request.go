package rtid

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a request, as encoded in the request ID.
type Kind string

// The kinds of requests.
const (
	KindDraft Kind = "d"
	KindOrder Kind = "o"
)

// maxNameLength limits names, in bytes. A request ID contains the name of a
// target.
const maxNameLength = 64

// nonceSize is the length of the random part of an ID, in bytes. It makes IDs
// impossible to guess and keeps the probability of a collision below 2^-64 over
// the life of the fleet.
const nonceSize = 16

// Home holds what a request ID encodes: the only agent incarnation that may run
// the request, and the organisation that may access it.
type Home struct {
	Kind             Kind
	Target           Target
	Incarnation      Incarnation
	Epoch            Epoch
	OrganisationHash uint32 // by HashOrganisation
}

// HashOrganisation returns the hash of an organisation's name in a request ID.
func HashOrganisation(organisation Organisation) uint32 {
	return uint32(xxhash.Sum64String(string(organisation)))
}

// Owns reports whether the request ID was issued to the organisation. It
// compares only the hash of the name.
func (h Home) Owns(organisation Organisation) bool {
	return h.OrganisationHash == HashOrganisation(organisation)
}

// NewRequest returns a new ID for a request with home h. ValidName must accept
// the target's name.
func NewRequest(h Home) Request {
	var nonce [nonceSize]byte
	// rand.Read never returns an error.
	_, _ = rand.Read(nonce[:])
	return Request(fmt.Sprintf("%s.%s.%x.%x.%08x.%s",
		h.Kind, h.Target, uint64(h.Incarnation), uint32(h.Epoch), h.OrganisationHash, hex.EncodeToString(nonce[:])))
}

// ValidName reports whether the name of a target, VM, zone, organisation or
// service has at most maxNameLength bytes and no character with a special
// meaning in IDs, URLs or headers.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, c := range []byte(name) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}

// ParseRequest returns the home that a request ID encodes.
func ParseRequest(request Request) (Home, error) {
	var home Home
	parts := strings.Split(string(request), ".")
	if len(parts) != 6 {
		return home, fmt.Errorf("request id has %d parts, want 6", len(parts))
	}
	home.Kind = Kind(parts[0])
	if home.Kind != KindDraft && home.Kind != KindOrder {
		return home, fmt.Errorf("request id has kind %q, want %q or %q", parts[0], KindDraft, KindOrder)
	}
	if !ValidName(parts[1]) {
		return home, fmt.Errorf("request id has no valid target name in part 2")
	}
	home.Target = Target(parts[1])
	incarnation, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return home, fmt.Errorf("parse incarnation of request id: %w", err)
	}
	home.Incarnation = Incarnation(incarnation)
	epoch, err := strconv.ParseUint(parts[3], 16, 32)
	if err != nil {
		return home, fmt.Errorf("parse epoch of request id: %w", err)
	}
	home.Epoch = Epoch(epoch)
	hash, err := strconv.ParseUint(parts[4], 16, 32)
	if err != nil {
		return home, fmt.Errorf("parse organisation hash of request id: %w", err)
	}
	home.OrganisationHash = uint32(hash)
	if len(parts[5]) != 2*nonceSize {
		return home, fmt.Errorf("request id has a random part of %d characters, want %d", len(parts[5]), 2*nonceSize)
	}
	return home, nil
}
