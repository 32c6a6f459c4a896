package rtlog

import (
	"fmt"
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait for a slow reader of the log.
const queueLines = 4096

// Queue writes lines in the background, so that a reader that is slow or gone
// never holds up the process. Lines that find it full are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue that writes to w until the process ends.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines)}
	go q.run(w)
	return q
}

// Write queues one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *Queue) run(w io.Writer) {
	for line := range q.lines {
		// There is no other place to report that the log cannot be written.
		_, _ = w.Write(line)
		if dropped := q.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w, "{\"level\":\"error\",\"part\":\"log\",\"msg\":\"Lines dropped.\",\"lines\":%d}\n", dropped)
		}
	}
}
