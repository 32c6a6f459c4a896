// Package rtbaseline implements simple scheduling policies, with which
// measurements compare those of entries and agents.
package rtbaseline

import (
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
)

// Queue runs requests strictly in order of arrival: later requests also wait
// while the oldest one lacks a slot or memory. It is not safe for concurrent use.
type Queue struct {
	limits  rtqueue.Limits
	waiting []rtqueue.Item
	running map[rtid.Request]rtqueue.Item
	prefill map[rtid.Request]rtid.Tokens // prompt tokens of running requests without a first token
}

// NewQueue returns an empty queue.
func NewQueue(limits rtqueue.Limits) *Queue {
	return &Queue{
		limits:  limits,
		running: make(map[rtid.Request]rtqueue.Item),
		prefill: make(map[rtid.Request]rtid.Tokens),
	}
}

// Push adds a waiting request. It returns false if the queue is full or already
// has the request.
func (q *Queue) Push(item rtqueue.Item) bool {
	var size rtid.Bytes
	for i := range q.waiting {
		size += q.waiting[i].BodySize
	}
	_, running := q.running[item.ID]
	if running || q.indexOf(item.ID) >= 0 || len(q.waiting) >= q.limits.MaxWaiting || size+item.BodySize > q.limits.MaxBytes {
		return false
	}
	q.waiting = append(q.waiting, item)
	return true
}

// Remove removes a waiting request. It reports whether it was waiting.
func (q *Queue) Remove(id rtid.Request) bool {
	i := q.indexOf(id)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Pop removes and returns waiting requests whose deadline has passed, as
// refused. Then it moves the oldest waiting request to the running ones if a
// slot and its memory are free, and returns it.
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

// PrefillDone marks a running request as having its first token.
func (q *Queue) PrefillDone(id rtid.Request) {
	delete(q.prefill, id)
}

// Finish removes a running request.
func (q *Queue) Finish(id rtid.Request, _ time.Time) {
	delete(q.prefill, id)
	delete(q.running, id)
}

// TokensAhead returns the prompt tokens that a new request waits for: those of
// all requests.
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

// PrefillBacklog returns the prompt tokens of running requests without a first
// token.
func (q *Queue) PrefillBacklog() rtid.Tokens {
	var sum rtid.Tokens
	for _, tokens := range q.prefill {
		sum += tokens
	}
	return sum
}

func (q *Queue) indexOf(id rtid.Request) int {
	return slices.IndexFunc(q.waiting, func(item rtqueue.Item) bool { return item.ID == id })
}
