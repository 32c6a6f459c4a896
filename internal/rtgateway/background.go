package rtgateway

import (
	"context"
	"sync"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// background runs short tasks that outlive their request. The zero value is
// ready to use.
type background struct {
	mu    sync.Mutex
	tasks map[*rttask.Task]bool
}

// start runs f until it returns or stop is called.
func (b *background) start(f func(context.Context)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tasks == nil {
		b.tasks = make(map[*rttask.Task]bool)
	}
	var task *rttask.Task
	started := make(chan struct{})
	task = rttask.Start(context.Background(), "background", func(ctx context.Context) error {
		<-started
		f(ctx)
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.tasks, task)
		return nil
	})
	b.tasks[task] = true
	close(started)
}

// stop stops the remaining tasks at the end of the process.
func (b *background) stop() error {
	b.mu.Lock()
	tasks := b.tasks
	b.tasks = nil
	b.mu.Unlock()
	var err error
	for task := range tasks {
		if taskErr := task.Stop(); taskErr != nil {
			err = taskErr
		}
	}
	return err
}
