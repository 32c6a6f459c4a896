package rtlog

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// blockedWriter is a log output that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(line)
}

// Guards against a slow log output that blocks the process, against unlimited
// memory for queued lines, and against dropped lines that are not reported.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const sent = maxQueuedLines + 100
		queue := NewQueue()
		output := &blockedWriter{release: make(chan struct{})}
		task := rttask.Start(t.Context(), "log", func(ctx context.Context) error { return queue.Run(ctx, output) })
		for i := range sent {
			if _, err := fmt.Fprintf(queue, "line %d\n", i); err != nil {
				t.Fatal(err)
			}
		}
		close(output.release)
		synctest.Wait()
		if err := task.Stop(); err != nil {
			t.Fatal(err)
		}
		written := strings.Count(output.String(), "line ")
		if written < maxQueuedLines || written == sent {
			t.Errorf("%d of %d lines written, want some dropped but all that fit into the queue", written, sent)
		}
		if want := fmt.Sprintf(`"lines":%d`, sent-written); !strings.Contains(output.String(), want) {
			t.Errorf("log output lacks the report of dropped lines with %s", want)
		}
	})
}
