package rtfake

import (
	"context"
	"net/http"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// order loads a model, or accepts another command without an effect on the
// streams. While a model loads the engine starts no stream; afterwards it is
// cold.
func (e *Engine) order(r *http.Request) reply {
	var command rttarget.Command
	if err := readJSON(r, &command); err != nil {
		return failedBody(err)
	}
	start, refusal := e.beginCommand(command)
	if refusal != nil {
		return *refusal
	}
	var err error
	if command.Model != "" {
		err = e.load(r.Context(), command.Model)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.start != start {
		return failed(http.StatusServiceUnavailable, "the engine restarted")
	}
	e.loading = false
	if err != nil {
		return failed(http.StatusServiceUnavailable, "load: %v", err)
	}
	if command.Model != "" {
		e.model = command.Model
		e.cold = true
		e.warming = 0
	}
	e.commands = append(e.commands, command)
	return done
}

// beginCommand returns the number of the engine's start, or a refusal.
func (e *Engine) beginCommand(command rttarget.Command) (int64, *reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if conflict := e.fence.check(command.Fence); conflict != nil {
		return 0, conflict
	}
	if e.loading {
		refusal := failed(http.StatusServiceUnavailable, "a model is loading")
		return 0, &refusal
	}
	e.loading = command.Model != ""
	return e.start, nil
}

func (e *Engine) load(ctx context.Context, model rtid.Model) error {
	if e.config.ReadWeights != nil {
		if err := e.config.ReadWeights(ctx, model); err != nil {
			return err
		}
	}
	return sleep(ctx, e.config.ModelLoadTime)
}
