package rtfake

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// generation is one stream of an engine, from POST /generate to its end.
type generation struct {
	request  rttarget.GenerateRequest
	prompt   rtid.Tokens
	seed     uint64      // hash of the prompt
	arrival  uint64      // rises with each generation of the engine
	reserved rtid.Tokens // KV memory
	prefill  rtid.Tokens // left to do
	stored   bool        // the prompt has been offered to the cache
	next     rtid.Tokens // index of the next token
	rest     string      // of the token inside which the prefix of the request ends

	text   strings.Builder   // generated and not read by the handler yet
	tokens rtid.Tokens       // of text
	end    rttarget.EndState // empty while the generation lives
	detail string
	broken bool          // the engine crashed: the connection is cut without an end
	ready  chan struct{} // wakes the handler; holds one value
}

// newGeneration returns false if the prefix of the request is no beginning of
// the answer.
func newGeneration(request rttarget.GenerateRequest, arrival uint64) (*generation, bool) {
	prompt := rtid.EstimateTokens(rtid.Bytes(len(request.Prompt)))
	seed := xxhash.Sum64(request.Prompt)
	next, rest, ok := resume(seed, request.Output, request.Prefix)
	if !ok {
		return nil, false
	}
	return &generation{
		request:  request,
		prompt:   prompt,
		seed:     seed,
		arrival:  arrival,
		reserved: max(0, prompt-request.Remote) + request.Output,
		prefill:  prompt + next,
		next:     next,
		rest:     rest,
		ready:    make(chan struct{}, 1),
	}, true
}

func (g *generation) notify() {
	select {
	case g.ready <- struct{}{}:
	default:
	}
}

// generate adds one token to the text, and ends after the last.
func (g *generation) generate() {
	if g.rest == "" && g.next < g.request.Output {
		g.rest = token(g.seed, g.next)
		g.next++
	}
	if g.rest != "" {
		g.text.WriteString(g.rest)
		g.tokens++
		g.rest = ""
	}
	if g.next == g.request.Output {
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

// cut ends the generation without a last chunk.
func (g *generation) cut() {
	g.broken = true
	g.notify()
}

// takeChunk returns what was generated since the last call.
func (g *generation) takeChunk() rttarget.Chunk {
	chunk := rttarget.Chunk{Text: g.text.String(), Tokens: g.tokens, End: g.end, Detail: g.detail}
	g.text.Reset()
	g.tokens = 0
	return chunk
}

// batch holds the generations of an engine by priority, then arrival.
type batch struct {
	live []*generation
}

func (b *batch) add(g *generation) {
	place, _ := slices.BinarySearchFunc(b.live, g, compareGenerations)
	b.live = slices.Insert(b.live, place, g)
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

// step spends the prefill budget on the first slots generations, and then
// lets each that is past its prefill generate one token. It returns those
// whose prompt is now computed and those that ended.
func (b *batch) step(slots int, budget rtid.Tokens) (computed, ended []*generation) {
	running := b.live[:min(slots, len(b.live))]
	for _, g := range running {
		spent := min(budget, g.prefill)
		g.prefill -= spent
		budget -= spent
		if g.prefill > 0 {
			continue
		}
		if !g.stored {
			g.stored = true
			computed = append(computed, g)
		}
		g.generate()
		if g.end != "" {
			ended = append(ended, g)
		}
	}
	for _, g := range ended {
		b.remove(g)
	}
	return computed, ended
}
