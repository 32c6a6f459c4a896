package rtfake

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// Kinds of rttarget.MemoryUse.
const (
	kindStream      = "stream"
	kindReservation = "hold"
	kindExport      = "export"
)

// Export is the response to POST /export/{id} and the body of POST /import. It
// stands for the KV cache of a stream, which the prompt determines.
type Export struct {
	ID     rtid.Request `json:"id"`
	Prompt []byte       `json:"prompt"`
	Tokens rtid.Tokens  `json:"tokens"`
}

// listStreams handles GET /streams: it lists all users of KV memory.
func (e *Engine) listStreams(*http.Request) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	uses := []rttarget.MemoryUse{}
	for _, g := range e.batch.live {
		uses = append(uses, rttarget.MemoryUse{ID: g.request.ID, Tokens: g.reserved, Kind: kindStream})
	}
	uses = appendSorted(uses, e.reservations, kindReservation)
	uses = appendSorted(uses, e.exports, kindExport)
	return okReply(uses)
}

// appendSorted appends the reservations or exports in the order of their IDs.
func appendSorted(uses []rttarget.MemoryUse, tokensByID map[rtid.Request]rtid.Tokens, kind string) []rttarget.MemoryUse {
	for _, id := range slices.Sorted(maps.Keys(tokensByID)) {
		uses = append(uses, rttarget.MemoryUse{ID: id, Tokens: tokensByID[id], Kind: kind})
	}
	return uses
}

// usedMemoryLocked returns the KV memory in use.
func (e *Engine) usedMemoryLocked() rtid.Tokens {
	used := e.batch.reserved()
	for _, tokens := range e.reservations {
		used += tokens
	}
	for _, tokens := range e.exports {
		used += tokens
	}
	return used
}

// memoryRefusalLocked returns a refusal if the free KV memory is smaller than the
// given number of tokens, else nil.
func (e *Engine) memoryRefusalLocked(tokens rtid.Tokens) *reply {
	used := e.usedMemoryLocked()
	if used+tokens <= e.config.Memory {
		return nil
	}
	refusal := errorReply(http.StatusInsufficientStorage,
		"memory is full: %d of %d tokens used, %d more needed", used, e.config.Memory, tokens)
	return &refusal
}

// reserve handles POST /holds. For an ID that has a reservation it succeeds
// again and changes its size.
func (e *Engine) reserve(r *http.Request) reply {
	var request rttarget.HoldRequest
	if err := readJSON(r, &request); err != nil {
		return bodyErrorReply(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if conflict := e.fence.check(request.Fence); conflict != nil {
		return *conflict
	}
	if refusal := e.memoryRefusalLocked(request.Tokens - e.reservations[request.ID]); refusal != nil {
		return *refusal
	}
	e.reservations[request.ID] = request.Tokens
	e.recordLoadLocked(time.Now())
	return emptyReply
}

func (e *Engine) releaseReservation(r *http.Request) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.reservations, rtid.Request(r.PathValue("id")))
	e.recordLoadLocked(time.Now())
	return emptyReply
}

// export handles POST /export/{id}: it copies the KV cache of a live stream.
// The copy uses memory until it is deleted.
func (e *Engine) export(r *http.Request) reply {
	id := rtid.Request(r.PathValue("id"))
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.batch.find(id)
	if g == nil {
		return errorReply(http.StatusNotFound, "no live stream with this id")
	}
	tokens := g.promptTokens + g.nextIndex
	if refusal := e.memoryRefusalLocked(tokens - e.exports[id]); refusal != nil {
		return *refusal
	}
	e.exports[id] = tokens
	e.recordLoadLocked(time.Now())
	return okReply(Export{ID: id, Prompt: g.request.Prompt, Tokens: tokens})
}

// importPrompt handles POST /import: it stores an exported prompt in the prefix
// cache, so that the next generation with it skips the prefill.
func (e *Engine) importPrompt(r *http.Request) reply {
	var export Export
	if err := readJSON(r, &export); err != nil {
		return bodyErrorReply(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(export.Prompt, time.Now())
	return emptyReply
}

func (e *Engine) deleteExport(r *http.Request) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exports, rtid.Request(r.PathValue("id")))
	e.recordLoadLocked(time.Now())
	return emptyReply
}
