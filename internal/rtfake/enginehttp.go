package rtfake

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /generate", e.serveGenerate)
	handle(&e.mux, "POST /cancel/{id}", e.cancel)
	handle(&e.mux, "GET /streams", e.listStreams)
	handle(&e.mux, "GET /load", e.reportLoad)
	handle(&e.mux, "GET /events", e.reportEvents)
	handle(&e.mux, "POST /holds", e.reserve)
	handle(&e.mux, "DELETE /holds/{id}", e.releaseReservation)
	handle(&e.mux, "POST /export/{id}", e.export)
	handle(&e.mux, "POST /import", e.importPrompt)
	handle(&e.mux, "DELETE /exports/{id}", e.deleteExport)
	handle(&e.mux, "POST /order", e.runCommand)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.waitThawed(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// waitThawed waits while the engine is frozen. It returns false if the caller
// must cut the connection: the engine is down or stopped, it restarted during the
// wait, or the context ended.
func (e *Engine) waitThawed(ctx context.Context) bool {
	e.mu.Lock()
	startID := e.startID
	for {
		serving := !e.stopped && e.startID == startID && !time.Now().Before(e.downUntil)
		if !serving || !e.frozen {
			e.mu.Unlock()
			return serving
		}
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
		e.mu.Lock()
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request rttarget.GenerateRequest
	if err := readJSON(r, &request); err != nil {
		bodyErrorReply(err).write(w)
		return
	}
	g, refusal := e.startGeneration(request)
	if refusal != nil {
		refusal.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	// The flushed status tells the client at once that the generation has
	// started. An error means that the client has disconnected; the generation
	// continues.
	_ = http.NewResponseController(w).Flush()
	e.relay(w, r, g)
}

// relay writes the generated text as chunks until the generation ends or the
// client disconnects.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, g *generation) {
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case <-g.ready:
		}
		// A frozen engine writes nothing. After a crash g.aborted is set.
		_ = e.waitThawed(r.Context())
		e.mu.Lock()
		chunk, aborted := g.takeChunk(), g.aborted
		e.mu.Unlock()
		if aborted {
			panic(http.ErrAbortHandler)
		}
		if err := encoder.Encode(chunk); err != nil {
			return
		}
		if chunk.End != "" {
			return
		}
		_ = controller.Flush()
	}
}

// startGeneration adds a generation to the batch, or returns the refusal.
func (e *Engine) startGeneration(request rttarget.GenerateRequest) (*generation, *reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if conflict := e.fence.check(request.Fence); conflict != nil {
		return nil, conflict
	}
	if refusal := e.refusalLocked(request); refusal != nil {
		return nil, refusal
	}
	e.lastArrival++
	g, valid := newGeneration(request, e.lastArrival)
	if !valid {
		refusal := errorReply(http.StatusUnprocessableEntity, "the answer does not begin with the prefix")
		return nil, &refusal
	}
	if refusal := e.memoryRefusalLocked(g.reserved); refusal != nil {
		return nil, refusal
	}
	g.prefillLeft = max(0, g.prefillLeft-e.cache.lookup(request.Prompt))
	e.executions[request.ID]++
	e.promptExecutions[xxhash.Sum64(request.Prompt)]++
	e.stats.GenerationsStarted++
	e.batch.add(g)
	e.checkColdLimitLocked()
	e.recordLoadLocked(time.Now())
	e.wakeLocked()
	return g, nil
}

// refusalLocked returns why the engine cannot start the generation now, or nil.
func (e *Engine) refusalLocked(request rttarget.GenerateRequest) *reply {
	var refusal reply
	switch {
	case e.batch.find(request.ID) != nil:
		refusal = errorReply(http.StatusConflict, "a stream with this id is live")
	case e.loading:
		refusal = errorReply(http.StatusServiceUnavailable, "a model is loading")
	case e.model != "" && request.Model != e.model:
		refusal = errorReply(http.StatusNotFound, "model %q is not loaded", request.Model)
	case len(request.Prefix) > 0 && e.config.NoResume:
		refusal = errorReply(http.StatusNotImplemented, "the engine cannot continue an answer after a prefix")
	case request.Output < 0 || request.Remote < 0:
		refusal = errorReply(http.StatusBadRequest, "output and remote must not be negative")
	default:
		return nil
	}
	return &refusal
}

func (e *Engine) cancel(r *http.Request) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.batch.find(rtid.Request(r.PathValue("id"))); g != nil {
		g.finish(rttarget.EndCancelled, "")
		e.batch.remove(g)
		e.recordLoadLocked(time.Now())
		e.wakeLocked()
	}
	return emptyReply
}

// reportLoad handles GET /load: the load as it was LoadLag ago, with the
// current start ID and highest fencing number.
func (e *Engine) reportLoad(*http.Request) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.loads.at(time.Now().Add(-e.config.LoadLag))
	load.StartID = e.startID
	load.Fence = e.fence.highest
	return okReply(load)
}

// recordLoadLocked adds the current load to the history, after a change.
func (e *Engine) recordLoadLocked(now time.Time) {
	streams := len(e.batch.live)
	running := min(streams, e.config.Slots)
	e.loads.record(rttarget.LoadReport{
		Running: running,
		Queued:  streams - running,
		Used:    e.usedMemoryLocked(),
		Total:   e.config.Memory,
	}, now, e.config.LoadLag)
}

func (e *Engine) reportEvents(r *http.Request) reply {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return errorReply(http.StatusBadRequest, "after is not a number")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return okReply(e.events.after(after, time.Now()))
}
