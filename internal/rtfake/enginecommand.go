package rtfake

import (
	"context"
	"net/http"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// runCommand handles POST /order. A command with a model loads it: the engine
// starts no stream meanwhile and is cold afterwards. Other commands are only
// recorded.
func (e *Engine) runCommand(r *http.Request) reply {
	var command rttarget.Command
	if err := readJSON(r, &command); err != nil {
		return bodyErrorReply(err)
	}
	startID, refusal := e.beginCommand(command)
	if refusal != nil {
		return *refusal
	}
	var err error
	if command.Model != "" {
		err = e.loadModel(r.Context(), command.Model)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.startID != startID {
		return errorReply(http.StatusServiceUnavailable, "engine restarted during the command")
	}
	e.loading = false
	if err != nil {
		return errorReply(http.StatusServiceUnavailable, "load model: %v", err)
	}
	if command.Model != "" {
		e.model = command.Model
		e.cold = true
		e.completedWhileCold = 0
	}
	e.commands = append(e.commands, command)
	return emptyReply
}

// beginCommand returns the start ID of the engine, or a refusal. From then on the
// engine is loading if the command has a model.
func (e *Engine) beginCommand(command rttarget.Command) (int64, *reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if conflict := e.fence.check(command.Fence); conflict != nil {
		return 0, conflict
	}
	if e.loading {
		refusal := errorReply(http.StatusServiceUnavailable, "a model is loading")
		return 0, &refusal
	}
	e.loading = command.Model != ""
	return e.startID, nil
}

func (e *Engine) loadModel(ctx context.Context, model rtid.Model) error {
	if e.config.ReadWeights != nil {
		if err := e.config.ReadWeights(ctx, model); err != nil {
			return err
		}
	}
	return sleep(ctx, e.config.ModelLoadTime)
}
