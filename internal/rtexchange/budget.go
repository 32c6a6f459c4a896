package rtexchange

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// minCapacity is the first capacity of the memory for a body, in bytes.
	minCapacity = 4 << 10
	// uncountedCapacity is the part of each body or event that a budget does not
	// count, in bytes, so that long ones cannot fail short ones.
	uncountedCapacity = 64 << 10
)

// ErrNoBudget means that the bodies of all responses together use too much
// memory.
var ErrNoBudget = errors.New("responses use more memory than allowed")

// Budget limits the memory of all bodies and events that are read with it. A body
// counts until its response is closed, or longer if KeepMemory says so, and so does the
// largest event of a stream.
type Budget struct {
	limit int64 // in bytes
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// take reports whether the budget has had this many bytes left.
func (b *Budget) take(size int64) bool {
	if b.used.Add(size) > b.limit {
		b.used.Add(-size)
		return false
	}
	return true
}

// readAll is ReadAll without what was read ahead.
func (r *Response) readAll(limit int64, budget *Budget) ([]byte, error) {
	r.budget = budget
	var body []byte
	for {
		if int64(len(body)) > limit {
			return nil, fmt.Errorf("response body is longer than %d bytes", limit)
		}
		if len(body) == cap(body) {
			capacity := min(max(2*int64(cap(body)), minCapacity), limit+1)
			if err := r.reserve(capacity); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, capacity), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && int64(len(body)) <= limit:
			return body, nil
		case err != nil && !errors.Is(err, io.EOF):
			return nil, fmt.Errorf("read response body: %w", err)
		}
	}
}

// reserve takes the memory of a body or an event from the budget.
func (r *Response) reserve(capacity int64) error {
	more := capacity - uncountedCapacity - r.reserved
	if r.budget == nil || more <= 0 {
		return nil
	}
	if !r.budget.take(more) {
		return ErrNoBudget
	}
	r.reserved += more
	return nil
}

// KeepMemory leaves the memory of the body in the budget when the response is closed,
// for a caller that keeps the body. The caller calls the returned function when it no
// longer does.
func (r *Response) KeepMemory() (release func()) {
	budget, kept := r.budget, r.reserved
	r.reserved = 0
	return func() {
		if budget != nil {
			budget.used.Add(-kept)
		}
	}
}

// release returns all memory to the budget.
func (r *Response) release() {
	if r.budget != nil {
		r.budget.used.Add(-r.reserved)
		r.reserved = 0
	}
}
