package rtfake

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// Kinds of rttarget.EngineStream.
const (
	kindStream = "stream"
	kindHold   = "hold"
	kindExport = "export"
)

// Export is the answer of POST /export/{id} and the body of POST /import: the
// KV cache of a stream, which is fully determined by its prompt.
type Export struct {
	ID     rtid.Request `json:"id"`
	Prompt []byte       `json:"prompt"`
	Tokens rtid.Tokens  `json:"tokens"`
}

// streams lists everything that uses memory.
func (e *Engine) streams(*http.Request) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	streams := []rttarget.EngineStream{}
	for _, g := range e.batch.live {
		streams = append(streams, rttarget.EngineStream{ID: g.request.ID, Tokens: g.reserved, Kind: kindStream})
	}
	streams = appendSorted(streams, e.holds, kindHold)
	streams = appendSorted(streams, e.exports, kindExport)
	return ok(streams)
}

// appendSorted appends what uses memory, by id.
func appendSorted(streams []rttarget.EngineStream, memory map[rtid.Request]rtid.Tokens, kind string) []rttarget.EngineStream {
	for _, id := range slices.Sorted(maps.Keys(memory)) {
		streams = append(streams, rttarget.EngineStream{ID: id, Tokens: memory[id], Kind: kind})
	}
	return streams
}

// usedLocked returns the KV memory in use.
func (e *Engine) usedLocked() rtid.Tokens {
	used := e.batch.reserved()
	for _, tokens := range e.holds {
		used += tokens
	}
	for _, tokens := range e.exports {
		used += tokens
	}
	return used
}

// fullLocked returns the refusal if this many tokens more do not fit, else nil.
func (e *Engine) fullLocked(tokens rtid.Tokens) *reply {
	used := e.usedLocked()
	if used+tokens <= e.config.Memory {
		return nil
	}
	refusal := failed(http.StatusInsufficientStorage,
		"memory is full: %d of %d tokens used, %d more needed", used, e.config.Memory, tokens)
	return &refusal
}

// hold succeeds again for an id that is held, and takes the new size.
func (e *Engine) hold(r *http.Request) reply {
	var request rttarget.HoldRequest
	if err := readJSON(r, &request); err != nil {
		return failedBody(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if conflict := e.fence.check(request.Fence); conflict != nil {
		return *conflict
	}
	if full := e.fullLocked(request.Tokens - e.holds[request.ID]); full != nil {
		return *full
	}
	e.holds[request.ID] = request.Tokens
	e.recordLoadLocked(time.Now())
	return done
}

func (e *Engine) unhold(r *http.Request) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.holds, rtid.Request(r.PathValue("id")))
	e.recordLoadLocked(time.Now())
	return done
}

// export copies the KV cache of a live stream. The copy uses memory until it
// is deleted.
func (e *Engine) export(r *http.Request) reply {
	id := rtid.Request(r.PathValue("id"))
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.batch.find(id)
	if g == nil {
		return failed(http.StatusNotFound, "no such stream")
	}
	tokens := g.prompt + g.next
	if full := e.fullLocked(tokens - e.exports[id]); full != nil {
		return *full
	}
	e.exports[id] = tokens
	e.recordLoadLocked(time.Now())
	return ok(Export{ID: id, Prompt: g.request.Prompt, Tokens: tokens})
}

// importPrompt puts an exported prompt into the prefix cache, so that the
// next generation with it skips its prefill.
func (e *Engine) importPrompt(r *http.Request) reply {
	var export Export
	if err := readJSON(r, &export); err != nil {
		return failedBody(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(export.Prompt, time.Now())
	return done
}

func (e *Engine) deleteExport(r *http.Request) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exports, rtid.Request(r.PathValue("id")))
	e.recordLoadLocked(time.Now())
	return done
}
