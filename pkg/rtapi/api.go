// Package rtapi contains the types of the callers' HTTP API and a client for it.
package rtapi

import (
	"encoding/json"
	"fmt"
)

// Outcome is what is known of a request's execution.
type Outcome int

// The outcomes. Unknown means that the system cannot tell whether the request
// ran; NotRun that it did not run and never will; Failed that it failed after it
// had started; Done that it ran and its answer is complete.
const (
	Unknown Outcome = iota // unknown
	NotRun                 // notrun
	Failed                 // failed
	Done                   // done
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Outcome -linecomment

// MarshalText returns the name of the outcome.
func (i Outcome) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// UnmarshalText parses the name of an outcome.
func (i *Outcome) UnmarshalText(text []byte) error {
	for outcome := Unknown; outcome <= Done; outcome++ {
		if outcome.String() == string(text) {
			*i = outcome
			return nil
		}
	}
	return fmt.Errorf("unknown outcome %q, want unknown, notrun, failed or done", text)
}

// Reason is the reason for an outcome. It is empty for Done.
type Reason string

// The reasons.
const (
	ReasonNone         Reason = ""
	ReasonZone         Reason = "zone"         // availability zone is out
	ReasonLeaving      Reason = "leaving"      // target is draining
	ReasonDeadline     Reason = "deadline"     // time limit is too short or has passed
	ReasonQueue        Reason = "queue"        // queue of the target is full
	ReasonMemory       Reason = "memory"       // not enough memory at the target
	ReasonPlan         Reason = "plan"         // organisation may not use the service
	ReasonIncarnation  Reason = "incarnation"  // the only process that knew the request has ended
	ReasonConflict     Reason = "conflict"     // same ID with another body
	ReasonExpired      Reason = "expired"      // ID is older than the records kept
	ReasonCancelled    Reason = "cancelled"    // cancelled by the caller
	ReasonTarget       Reason = "target"       // target failed or refused
	ReasonNotReady     Reason = "notready"     // process has not started to serve, or is shutting down
	ReasonMalformed    Reason = "malformed"    // request is not valid
	ReasonPaused       Reason = "paused"       // process was paused before dispatch
	ReasonOrganisation Reason = "organisation" // organisation is over its rate limit
	ReasonCapacity     Reason = "capacity"     // no target can accept the request now
	ReasonBudget       Reason = "budget"       // refused, and the retry budget is exhausted
	ReasonUnreachable  Reason = "unreachable"  // home of the request cannot be reached
	ReasonIncomplete   Reason = "incomplete"   // answer is damaged or incomplete
	ReasonNotFound     Reason = "notfound"     // no such request
)

// DraftRequest is the body of POST /v1/drafts.
type DraftRequest struct {
	Service string `json:"service"`
	Prompt  string `json:"prompt"` // at most 8 MiB of UTF-8
	Output  int64  `json:"output"` // limit of the answer in tokens, at least 1
	Limit   string `json:"limit"`  // time limit as a Go duration, such as "30s"
}

// OrderRequest is the body of POST /v1/orders.
type OrderRequest struct {
	Service string `json:"service"`
}

// OrderID is the response to POST /v1/orders.
type OrderID struct {
	ID string `json:"id"`
}

// Status is the response of the status, cancel and order routes.
type Status struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"` // Unknown while the request waits or runs
	Reason  Reason  `json:"reason,omitempty"`
	Running bool    `json:"running"`          // waits or runs
	Result  []byte  `json:"result,omitempty"` // of an order; base64 in JSON
}

// Finding is one error in a request.
type Finding struct {
	Field string `json:"field"` // JSON field, header or query parameter
	Text  string `json:"text"`
}

// ErrorBody is the body of an error response. If Retry is set, the request may be
// sent again. An order of unknown outcome keeps its ID then; an order that did
// not run needs a new one.
type ErrorBody struct {
	ID       string    `json:"id,omitempty"` // set if the request has one
	Outcome  Outcome   `json:"outcome"`
	Reason   Reason    `json:"reason"`
	Detail   string    `json:"detail"`
	Retry    bool      `json:"retry"` // the request may be sent again
	Findings []Finding `json:"findings,omitempty"`
}

// Kinds of events in the stream of a draft.
const (
	EventStart = "start"
	EventText  = "text"
	EventEnd   = "end"
)

// Event is one line of the stream of a draft. A stream without the end event
// is incomplete.
type Event struct {
	Event    string  `json:"event"`
	ID       string  `json:"id"`       // start: ID to resume the answer with
	Offset   int64   `json:"offset"`   // text: bytes of the answer before Text
	Text     string  `json:"text"`     // text
	Outcome  Outcome `json:"outcome"`  // end
	Reason   Reason  `json:"reason"`   // end
	Size     int64   `json:"size"`     // end: bytes of the whole answer
	Checksum string  `json:"checksum"` // end: xxhash64 of the whole answer, 16 hexadecimal digits
	Retry    bool    `json:"retry"`    // end: the same request may be sent again
}

// MarshalJSON encodes only the fields that belong to the kind of event.
func (e Event) MarshalJSON() ([]byte, error) {
	switch e.Event {
	case EventStart:
		return json.Marshal(struct {
			Event string `json:"event"`
			ID    string `json:"id"`
		}{e.Event, e.ID})
	case EventText:
		return json.Marshal(struct {
			Event  string `json:"event"`
			Offset int64  `json:"offset"`
			Text   string `json:"text"`
		}{e.Event, e.Offset, e.Text})
	default:
		return json.Marshal(struct {
			Event    string  `json:"event"`
			Outcome  Outcome `json:"outcome"`
			Reason   Reason  `json:"reason"`
			Size     int64   `json:"size"`
			Checksum string  `json:"checksum"`
			Retry    bool    `json:"retry"`
		}{e.Event, e.Outcome, e.Reason, e.Size, e.Checksum, e.Retry})
	}
}
