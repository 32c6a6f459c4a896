package rtlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait for a slow reader of the log.
const queueLines = 4096

// Queue takes lines that Run writes, so that a reader that is slow or gone
// never holds up the process. Lines that find it full are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{lines: make(chan []byte, queueLines)} }

// Write queues one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, and then those that are left.
func (q *Queue) Run(ctx context.Context, w io.Writer) error {
	for {
		select {
		case line := <-q.lines:
			q.write(w, line)
		case <-ctx.Done():
			for len(q.lines) > 0 {
				q.write(w, <-q.lines)
			}
			return nil
		}
	}
}

// write writes one line. There is no other place to report that the log cannot
// be written.
func (q *Queue) write(w io.Writer, line []byte) {
	_, _ = w.Write(line)
	if dropped := q.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"error\",\"part\":\"log\",\"msg\":\"Lines dropped.\",\"lines\":%d}\n", dropped)
	}
}
