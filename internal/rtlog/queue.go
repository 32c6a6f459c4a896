package rtlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the number of lines that a Queue holds before it drops lines.
const maxQueuedLines = 4096

// Queue is an io.Writer that queues log lines until Run writes them, so that a
// slow or closed log output never blocks the process. Lines that do not fit into
// the queue are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{lines: make(chan []byte, maxQueuedLines)} }

// Write queues a copy of one line, or drops the line if the queue is full. It
// never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines to w until the context ends, and then the lines that
// are still queued.
func (q *Queue) Run(ctx context.Context, w io.Writer) error {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(w, line)
		case <-ctx.Done():
			for len(q.lines) > 0 {
				q.writeLine(w, <-q.lines)
			}
			return nil
		}
	}
}

// writeLine writes one line, and another with the number of lines dropped since
// the last one. Write errors are ignored, because there is no other place to
// report them.
func (q *Queue) writeLine(w io.Writer, line []byte) {
	_, _ = w.Write(line)
	if dropped := q.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"error\",\"part\":\"log\",\"msg\":\"Lines dropped.\",\"lines\":%d}\n", dropped)
	}
}
