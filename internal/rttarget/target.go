// Package rttarget defines the HTTP protocols of targets, which are model
// engines and plain services, and their clients. The agent is the only client
// of a target.
package rttarget

import (
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// GenerateRequest is the body of POST /generate at an engine. The response is a
// stream of Chunk, one JSON object a line. Closing the connection does not
// stop the generation; POST /cancel/{id} does.
type GenerateRequest struct {
	ID       rtid.Request     `json:"id"` // unique per engine; a second request with the ID of a running generation gets 409
	Model    rtid.Model       `json:"model"`
	Prompt   []byte           `json:"prompt"`
	Prefix   []byte           `json:"prefix,omitempty"` // part of the answer that was generated before; the engine continues after it
	Output   rtid.Tokens      `json:"output"`           // limit of tokens of the whole answer, Prefix included
	Priority int              `json:"priority"`         // lower is served first
	Remote   rtid.Tokens      `json:"remote,omitempty"` // KV cache that is stored in holds at other engines
	Fence    rtid.Incarnation `json:"fence"`            // fencing number; 409 with Conflict if the engine checks it and has seen a higher one
}

// Chunk is one line of the response to POST /generate. The last one has End
// set. A stream that stops without it is truncated.
type Chunk struct {
	Text   string      `json:"text,omitempty"`
	Tokens rtid.Tokens `json:"tokens,omitempty"` // number of tokens in Text
	End    EndState    `json:"end,omitempty"`
	Detail string      `json:"detail,omitempty"`
}

// EndState is how a generation ended.
type EndState string

// The end states of a generation.
const (
	EndDone      EndState = "done"
	EndCancelled EndState = "cancelled"
	EndFailed    EndState = "failed"
)

// Conflict is the body of the 409 response to a fencing number that is too low.
type Conflict struct {
	Fence rtid.Incarnation `json:"fence"` // highest fencing number that the target has seen
}

// MemoryUse is one element of the response to GET /streams: memory that the
// engine uses for a stream, a hold or an export.
type MemoryUse struct {
	ID     rtid.Request `json:"id"`
	Tokens rtid.Tokens  `json:"tokens"`
	Kind   string       `json:"kind"` // "stream", "hold" or "export"
}

// LoadReport is the response to GET /load of an engine or a plain service. It
// lags behind their state.
type LoadReport struct {
	Running int              `json:"running"`
	Queued  int              `json:"queued"`
	Used    rtid.Tokens      `json:"used"`
	Total   rtid.Tokens      `json:"total"`
	StartID int64            `json:"start"` // changes with each start of the target
	Fence   rtid.Incarnation `json:"fence"` // highest fencing number seen; 0 if the target does not check it
}

// CacheEvent is one element of the response to GET /events?after=N. Events
// arrive late, and some are missing.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // hash of the first 1024 bytes of a prompt
	Stored   bool   `json:"stored"` // false if it was evicted
}

// HoldRequest is the body of POST /holds, which reserves KV memory for a prompt
// that runs at another engine. DELETE /holds/{id} frees it.
type HoldRequest struct {
	ID     rtid.Request     `json:"id"`
	Tokens rtid.Tokens      `json:"tokens"`
	Fence  rtid.Incarnation `json:"fence"`
}

// Command is the body of POST /order, which makes an engine load a model, an
// adapter or a version of the weights, or change its role.
type Command struct {
	Model   rtid.Model       `json:"model,omitempty"`
	Adapter string           `json:"adapter,omitempty"`
	Weights string           `json:"version,omitempty"`
	Role    string           `json:"role,omitempty"`
	Fence   rtid.Incarnation `json:"fence"`
}

// RunRequest is the body of POST /run at a plain service. The request is not
// idempotent: running it twice has its effect twice.
type RunRequest struct {
	ID    rtid.Request     `json:"id"`
	Body  []byte           `json:"body"`
	Fence rtid.Incarnation `json:"fence"`
}

// RunReply is the response to POST /run.
type RunReply struct {
	Result []byte `json:"result"`
}
