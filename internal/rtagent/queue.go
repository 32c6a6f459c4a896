package rtagent

import (
	"math/bits"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
)

// Queue decides in which order requests run at the target. Benchmarks replace it
// to compare scheduling policies with the rest of the agent unchanged.
type Queue interface {
	Push(rtqueue.Item) bool
	Remove(rtid.Request) bool
	Pop(now time.Time, slots int, free rtid.Tokens) (next rtqueue.Item, ok bool, refused []rtqueue.Item)
	PrefillDone(rtid.Request)
	Finish(id rtid.Request, now time.Time)
	TokensAhead(class rtid.Class) rtid.Tokens
	Waiting() int
	WaitingTokens() rtid.Tokens
	Running() int
	PrefillBacklog() rtid.Tokens
}

func newQueue(dependencies Dependencies, limits rtqueue.Limits) Queue {
	if dependencies.NewQueue != nil {
		return dependencies.NewQueue(limits)
	}
	return rtqueue.New(limits)
}

// priority returns the priority of a request at the engine, which serves the
// lowest first. It rises with each doubling of the prompt beyond the limit of
// the short class, so that a prompt does not wait for the prefill of much
// longer ones.
func (a *Agent) priority(r *request) int {
	if a.singlePriority {
		return 0
	}
	return bits.Len64(uint64(max(0, r.item.Tokens-1) / rtid.ShortLimit))
}
