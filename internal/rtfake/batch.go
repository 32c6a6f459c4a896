package rtfake

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// generation is one stream of an engine: it lives from POST /generate until its
// last token, its cancellation, or a crash or other failure of the engine.
type generation struct {
	request      rttarget.GenerateRequest
	promptTokens rtid.Tokens
	seed         uint64      // hash of the prompt
	arrival      uint64      // position in the order of arrival at the engine
	reserved     rtid.Tokens // KV memory in use
	prefillLeft  rtid.Tokens // tokens still to prefill
	cached       bool        // the prompt was passed to the prefix cache
	nextIndex    rtid.Tokens // of the next token to generate
	pendingText  string      // next text to append; at first the remainder of the token inside which the prefix ends

	text    strings.Builder   // generated and not yet taken by the handler
	tokens  rtid.Tokens       // number of tokens in text
	end     rttarget.EndState // empty until the generation ends
	detail  string
	aborted bool          // the engine crashed or stopped: the handler cuts the connection without a last chunk
	ready   chan struct{} // wakes the handler; has room for one value
}

// newGeneration returns false if the answer does not begin with the prefix of
// the request.
func newGeneration(request rttarget.GenerateRequest, arrival uint64) (*generation, bool) {
	promptTokens := rtid.EstimateTokens(rtid.Bytes(len(request.Prompt)))
	seed := xxhash.Sum64(request.Prompt)
	nextIndex, pendingText, ok := resumeAfter(seed, request.Output, request.Prefix)
	if !ok {
		return nil, false
	}
	return &generation{
		request:      request,
		promptTokens: promptTokens,
		seed:         seed,
		arrival:      arrival,
		reserved:     max(0, promptTokens-request.Remote) + request.Output,
		prefillLeft:  promptTokens + nextIndex,
		nextIndex:    nextIndex,
		pendingText:  pendingText,
		ready:        make(chan struct{}, 1),
	}, true
}

func (g *generation) notify() {
	select {
	case g.ready <- struct{}{}:
	default:
	}
}

// generateToken appends one token to the text and ends the generation after
// the last one.
func (g *generation) generateToken() {
	if g.pendingText == "" && g.nextIndex < g.request.Output {
		g.pendingText = token(g.seed, g.nextIndex)
		g.nextIndex++
	}
	if g.pendingText != "" {
		g.text.WriteString(g.pendingText)
		g.tokens++
		g.pendingText = ""
	}
	if g.nextIndex == g.request.Output {
		g.end = rttarget.EndDone
	}
	g.notify()
}

// finish ends the generation before its last token.
func (g *generation) finish(end rttarget.EndState, detail string) {
	g.end = end
	g.detail = detail
	g.notify()
}

// abort ends the generation without a last chunk.
func (g *generation) abort() {
	g.aborted = true
	g.notify()
}

// takeChunk returns the text generated since the last call, and clears it.
func (g *generation) takeChunk() rttarget.Chunk {
	chunk := rttarget.Chunk{Text: g.text.String(), Tokens: g.tokens, End: g.end, Detail: g.detail}
	g.text.Reset()
	g.tokens = 0
	return chunk
}

// batch holds the generations of an engine, sorted by priority, then arrival.
type batch struct {
	live []*generation
}

func (b *batch) add(g *generation) {
	index, _ := slices.BinarySearchFunc(b.live, g, compareGenerations)
	b.live = slices.Insert(b.live, index, g)
}

func compareGenerations(a, b *generation) int {
	return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.arrival, b.arrival))
}

func (b *batch) find(id rtid.Request) *generation {
	for _, g := range b.live {
		if g.request.ID == id {
			return g
		}
	}
	return nil
}

func (b *batch) remove(g *generation) {
	b.live = slices.DeleteFunc(b.live, func(other *generation) bool { return other == g })
}

func (b *batch) reserved() rtid.Tokens {
	var sum rtid.Tokens
	for _, g := range b.live {
		sum += g.reserved
	}
	return sum
}

// runPass spends the prefill budget on the first slots generations in order.
// Each of them whose prefill is complete generates one token. It returns the
// generations whose prefill completed and those that ended.
func (b *batch) runPass(slots int, budget rtid.Tokens) (prefilled, ended []*generation) {
	running := b.live[:min(slots, len(b.live))]
	for _, g := range running {
		spent := min(budget, g.prefillLeft)
		g.prefillLeft -= spent
		budget -= spent
		if g.prefillLeft > 0 {
			continue
		}
		if !g.cached {
			g.cached = true
			prefilled = append(prefilled, g)
		}
		g.generateToken()
		if g.end != "" {
			ended = append(ended, g)
		}
	}
	for _, g := range ended {
		b.remove(g)
	}
	return prefilled, ended
}
