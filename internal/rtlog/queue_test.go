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

// blocked is a reader of the log that reads nothing until it is released.
type blocked struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(line []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(line)
}

// Guards against a reader of the log that holds up the process, against
// unbounded memory behind it, and against lines that vanish unseen.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines = queueLines + 100
		queue := NewQueue()
		reader := &blocked{release: make(chan struct{})}
		task := rttask.Start(t.Context(), "log", func(ctx context.Context) error { return queue.Run(ctx, reader) })
		for i := range lines {
			if _, err := fmt.Fprintf(queue, "line %d\n", i); err != nil {
				t.Fatal(err)
			}
		}
		close(reader.release)
		synctest.Wait()
		if err := task.Stop(); err != nil {
			t.Fatal(err)
		}
		written := strings.Count(reader.String(), "line ")
		if written < queueLines || written == lines {
			t.Errorf("%d of %d lines written", written, lines)
		}
		if want := fmt.Sprintf(`"lines":%d`, lines-written); !strings.Contains(reader.String(), want) {
			t.Errorf("the log does not say %s", want)
		}
	})
}
