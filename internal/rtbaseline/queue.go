// Package rtbaseline holds the plain policies that measurements compare the
// decisions of entries and agents with.
package rtbaseline

import (
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
)

// Queue serves requests in order of arrival. Nothing overtakes a request that
// lacks a slot or memory. It is not safe for concurrent use.
type Queue struct {
	limits  rtqueue.Limits
	waiting []rtqueue.Item
	running map[rtid.Request]rtqueue.Item
	prefill map[rtid.Request]rtid.Tokens // of running requests without a first token
}

// NewQueue returns an empty queue.
func NewQueue(limits rtqueue.Limits) *Queue {
	return &Queue{
		limits:  limits,
		running: make(map[rtid.Request]rtqueue.Item),
		prefill: make(map[rtid.Request]rtid.Tokens),
	}
}

// Push adds a waiting request. It reports false if the queue is full or holds
// the request already.
func (q *Queue) Push(item rtqueue.Item) bool {
	var size rtid.Bytes
	for i := range q.waiting {
		size += q.waiting[i].BodySize
	}
	_, runs := q.running[item.ID]
	if runs || q.find(item.ID) >= 0 || len(q.waiting) >= q.limits.MaxWaiting || size+item.BodySize > q.limits.MaxBytes {
		return false
	}
	q.waiting = append(q.waiting, item)
	return true
}

// Remove takes a waiting request out. It reports whether it waited.
func (q *Queue) Remove(id rtid.Request) bool {
	i := q.find(id)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Pop moves the oldest request to running if it fits, and takes out those
// whose deadline has passed.
func (q *Queue) Pop(now time.Time, slots int, free rtid.Tokens) (next rtqueue.Item, ok bool, refused []rtqueue.Item) {
	q.waiting = slices.DeleteFunc(q.waiting, func(item rtqueue.Item) bool {
		if now.Before(item.Deadline) {
			return false
		}
		refused = append(refused, item)
		return true
	})
	if len(q.waiting) == 0 || len(q.running) >= slots || q.waiting[0].Memory > free {
		return rtqueue.Item{}, false, refused
	}
	next = q.waiting[0]
	q.waiting = q.waiting[1:]
	q.running[next.ID] = next
	q.prefill[next.ID] = next.Tokens
	return next, true, refused
}

// Prefilled marks the first token of a running request.
func (q *Queue) PrefillDone(id rtid.Request) {
	delete(q.prefill, id)
}

// Done removes a running request.
func (q *Queue) Finish(id rtid.Request, _ time.Time) {
	delete(q.prefill, id)
	delete(q.running, id)
}

// Ahead returns the prompt tokens that a new request has to wait for: all.
func (q *Queue) TokensAhead(rtid.Class) rtid.Tokens {
	return q.PrefillBacklog() + q.WaitingTokens()
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// WaitingTokens returns the prompt tokens of waiting requests.
func (q *Queue) WaitingTokens() rtid.Tokens {
	var sum rtid.Tokens
	for i := range q.waiting {
		sum += q.waiting[i].Tokens
	}
	return sum
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Prefill returns the prompt tokens of running requests before their first
// token.
func (q *Queue) PrefillBacklog() rtid.Tokens {
	var sum rtid.Tokens
	for _, tokens := range q.prefill {
		sum += tokens
	}
	return sum
}

func (q *Queue) find(id rtid.Request) int {
	return slices.IndexFunc(q.waiting, func(item rtqueue.Item) bool { return item.ID == id })
}
