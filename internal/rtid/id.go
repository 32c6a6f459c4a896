// Package rtid declares the types of identifiers and units that the other
// packages share.
package rtid

import (
	"encoding/base64"
	"strings"
	"time"
)

// Organisation is the name of an organisation as in the planners' sheet.
type Organisation string

// Service is the name of a service.
type Service string

// Model is the name of a model that an engine serves.
type Model string

// Target is the name of a target: an engine or a plain service.
type Target string

// Zone is the name of an availability zone.
type Zone string

// VM is the name of a virtual machine in the platform's list.
type VM string

// Request is the ID of one request, unique across all entries and agents.
type Request string

// Part is the ID of a part of a prompt that several requests may share, or stands for a
// whole request, which requests share that are the same but for their IDs.
type Part string

// wholeRequestPrefix begins parts that stand for whole requests. IDs of parts of prompts
// contain no colon.
const wholeRequestPrefix = "request:"

// WholeRequest returns the part that stands for whole requests with a hash.
func WholeRequest(hash []byte) Part {
	return Part(wholeRequestPrefix + base64.RawURLEncoding.EncodeToString(hash))
}

// IsWholeRequest reports whether the part stands for a whole request.
func (p Part) IsWholeRequest() bool { return strings.HasPrefix(string(p), wholeRequestPrefix) }

// Address is the host and port of a listener, with the host as an IP address.
type Address string

// Attempt numbers the offers of one request, from 1.
type Attempt uint32

// Incarnation identifies one start of a process. A later start has a higher
// number. Agents send theirs to targets as the fencing number.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts at now: the
// wall clock in milliseconds, which increases across restarts without stored
// state.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(now.UnixMilli())
}

// TargetIncarnation identifies one start of a target. A target may start again
// under the ID that it had.
type TargetIncarnation struct {
	ID   Target      `json:"target"`
	Born Incarnation `json:"born,omitempty"` // 0 if the target does not say when it started
}

// Epoch numbers the groups of ledger records of one incarnation.
type Epoch uint32

// Version is the version that the platform gives a published document. Zero
// means that no document is known.
type Version uint64

// Revision is the number that the planners give a document.
type Revision uint64

// Tokens counts model tokens.
type Tokens int64

// Bytes counts bytes.
type Bytes int64

// bytesPerToken is the average for English text by which callers are billed.
// Engines report exact counts; admission needs only an estimate.
const bytesPerToken = 4

// EstimateTokens returns the estimated number of tokens of a prompt of the
// given size, at least 1.
func EstimateTokens(size Bytes) Tokens {
	return Tokens(max(1, (size+bytesPerToken-1)/bytesPerToken))
}

// Class is the length class of a prompt.
type Class int

// The length classes, shortest first.
const (
	ClassShort  Class = iota // short
	ClassMedium              // medium
	ClassLong                // long
)

// Upper limits of the length classes.
const (
	ShortLimit  Tokens = 4 << 10
	MediumLimit Tokens = 64 << 10
)

// ClassOf returns the length class of a prompt.
func ClassOf(prompt Tokens) Class {
	switch {
	case prompt <= ShortLimit:
		return ClassShort
	case prompt <= MediumLimit:
		return ClassMedium
	default:
		return ClassLong
	}
}

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Class -linecomment
