// Package rttask starts goroutines that have an owner: each runs with a context
// and returns its result on a channel that the owner receives from.
package rttask

import (
	"context"
	"fmt"

	"github.com/sourcegraph/conc/panics"
)

// Task is a running goroutine.
type Task struct {
	cancel context.CancelFunc
	done   chan error // gets exactly one value, then is closed
}

// Start runs f in a goroutine. If f panics, the result is an error that contains
// the stack.
func Start(ctx context.Context, name string, f func(context.Context) error) *Task {
	ctx, cancel := context.WithCancel(ctx)
	task := &Task{cancel: cancel, done: make(chan error, 1)}
	go func() {
		defer cancel()
		var err error
		if recovered := panics.Try(func() { err = f(ctx) }); recovered != nil {
			err = fmt.Errorf("task %s: %w", name, recovered.AsError())
		}
		task.done <- err
		close(task.done)
	}()
	return task
}

// Done returns a channel that delivers the result of the task once and is then
// closed.
func (t *Task) Done() <-chan error {
	return t.done
}

// Stop cancels the context of the task, waits until it has ended and returns its
// result, or nil if the result was received from Done before.
func (t *Task) Stop() error {
	t.cancel()
	return <-t.done
}
