// Package rttarget holds the protocols of targets: model engines and plain
// services. The agent is the only client of a target.
package rttarget

import (
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// GenerateRequest is the body of POST /generate at an engine. The answer is a
// stream of Chunk, one JSON object a line. Closing the connection does not
// stop the generation; POST /cancel/{id} does.
type GenerateRequest struct {
	ID       rtid.Request     `json:"id"` // unique per engine; a second request with a live id gets 409
	Model    rtid.Model       `json:"model"`
	Prompt   []byte           `json:"prompt"`
	Prefix   []byte           `json:"prefix,omitempty"` // part of the answer that exists already; the engine continues after it
	Output   rtid.Tokens      `json:"output"`           // most tokens of the whole answer, Prefix included
	Priority int              `json:"priority"`         // lower is served first
	Remote   rtid.Tokens      `json:"remote,omitempty"` // KV cache that lives in holds at other engines
	Fence    rtid.Incarnation `json:"fence"`            // fencing number; 409 with Conflict if the engine checks and saw a higher one
}

// Chunk is one line of an answer of POST /generate. The last has End set; a
// stream that stops without it was cut.
type Chunk struct {
	Text   string      `json:"text,omitempty"`
	Tokens rtid.Tokens `json:"tokens,omitempty"` // of Text
	End    EndState    `json:"end,omitempty"`
	Detail string      `json:"detail,omitempty"`
}

// End tells how a generation ended.
type EndState string

// The ends of a generation.
const (
	EndDone      EndState = "done"
	EndCancelled EndState = "cancelled"
	EndFailed    EndState = "failed"
)

// Conflict is the body of a 409 for an old fencing number.
type Conflict struct {
	Fence rtid.Incarnation `json:"fence"` // highest number the target has seen
}

// EngineStream is one element of GET /streams: memory that the engine uses
// for a stream or an export.
type EngineStream struct {
	ID     rtid.Request `json:"id"`
	Tokens rtid.Tokens  `json:"tokens"`
	Kind   string       `json:"kind"` // "stream", "hold" or "export"
}

// EngineLoad is the answer of GET /load. It lags.
type LoadReport struct {
	Running int              `json:"running"`
	Queued  int              `json:"queued"`
	Used    rtid.Tokens      `json:"used"`
	Total   rtid.Tokens      `json:"total"`
	StartID int64            `json:"start"` // changes with each start of the engine
	Fence   rtid.Incarnation `json:"fence"` // highest fencing number seen; 0 if the target does not check
}

// CacheEvent is one element of GET /events?after=N. Events are late and have
// gaps.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // hash of the first 1024 bytes of a prompt
	Stored   bool   `json:"stored"` // false: evicted
}

// HoldRequest is the body of POST /holds: KV memory for a prompt that runs at
// another engine. DELETE /holds/{id} frees it.
type HoldRequest struct {
	ID     rtid.Request     `json:"id"`
	Tokens rtid.Tokens      `json:"tokens"`
	Fence  rtid.Incarnation `json:"fence"`
}

// Command is the body of POST /order: load a model, an adapter or a version,
// or change the role of an engine.
type Command struct {
	Model   rtid.Model       `json:"model,omitempty"`
	Adapter string           `json:"adapter,omitempty"`
	Weights string           `json:"version,omitempty"`
	Role    string           `json:"role,omitempty"`
	Fence   rtid.Incarnation `json:"fence"`
}

// RunRequest is the body of POST /run at a plain service. Running it twice
// has two effects.
type RunRequest struct {
	ID    rtid.Request     `json:"id"`
	Body  []byte           `json:"body"`
	Fence rtid.Incarnation `json:"fence"`
}

// RunReply is the answer of POST /run.
type RunReply struct {
	Result []byte `json:"result"`
}
