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
	handle(&e.mux, "GET /streams", e.streams)
	handle(&e.mux, "GET /load", e.reportLoad)
	handle(&e.mux, "GET /events", e.reportEvents)
	handle(&e.mux, "POST /holds", e.hold)
	handle(&e.mux, "DELETE /holds/{id}", e.unhold)
	handle(&e.mux, "POST /export/{id}", e.export)
	handle(&e.mux, "POST /import", e.importPrompt)
	handle(&e.mux, "DELETE /exports/{id}", e.deleteExport)
	handle(&e.mux, "POST /order", e.order)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.waitThawed(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// waitThawed waits while the engine is frozen. It returns false if the
// connection has to be cut, because the engine is down or crashed meanwhile.
func (e *Engine) waitThawed(ctx context.Context) bool {
	e.mu.Lock()
	start := e.start
	for {
		serving := !e.stopped && e.start == start && !time.Now().Before(e.upAt)
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
		failedBody(err).write(w)
		return
	}
	g, refusal := e.admit(request)
	if refusal != nil {
		refusal.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	// The status tells the client at once that the generation has started.
	// Errors of Flush mean that the client has gone; the generation goes on.
	_ = http.NewResponseController(w).Flush()
	e.relay(w, r, g)
}

// relay writes what is generated until the end or until the client has gone.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, g *generation) {
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case <-g.ready:
		}
		// A frozen engine writes nothing. After a crash the chunk tells.
		_ = e.waitThawed(r.Context())
		e.mu.Lock()
		chunk, broken := g.takeChunk(), g.broken
		e.mu.Unlock()
		if broken {
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

// admit starts a generation or returns the refusal.
func (e *Engine) admit(request rttarget.GenerateRequest) (*generation, *reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if conflict := e.fence.check(request.Fence); conflict != nil {
		return nil, conflict
	}
	if refusal := e.refusalLocked(request); refusal != nil {
		return nil, refusal
	}
	e.arrivals++
	g, valid := newGeneration(request, e.arrivals)
	if !valid {
		refusal := failed(http.StatusUnprocessableEntity, "prefix is no beginning of the answer")
		return nil, &refusal
	}
	if full := e.fullLocked(g.reserved); full != nil {
		return nil, full
	}
	g.prefill = max(0, g.prefill-e.cache.lookup(request.Prompt))
	e.executions[request.ID]++
	e.prompts[xxhash.Sum64(request.Prompt)]++
	e.stats.GenerationsStarted++
	e.batch.add(g)
	e.checkColdLocked()
	e.recordLoadLocked(time.Now())
	e.wakeLocked()
	return g, nil
}

// refusalLocked returns why the engine cannot start the generation now, or nil.
func (e *Engine) refusalLocked(request rttarget.GenerateRequest) *reply {
	var refusal reply
	switch {
	case e.batch.find(request.ID) != nil:
		refusal = failed(http.StatusConflict, "id is live")
	case e.loading:
		refusal = failed(http.StatusServiceUnavailable, "a model is loading")
	case e.model != "" && request.Model != e.model:
		refusal = failed(http.StatusNotFound, "model %q is not loaded", request.Model)
	case len(request.Prefix) > 0 && e.config.NoResume:
		refusal = failed(http.StatusNotImplemented, "cannot continue after a prefix")
	case request.Output < 0 || request.Remote < 0:
		refusal = failed(http.StatusBadRequest, "negative number of tokens")
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
	return done
}

// reportLoad reports figures that lag, with the current start and fencing
// number, which do not.
func (e *Engine) reportLoad(*http.Request) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.loads.at(time.Now().Add(-e.config.LoadLag))
	load.StartID = e.start
	load.Fence = e.fence.highest
	return ok(load)
}

// recordLoadLocked remembers the load after a change.
func (e *Engine) recordLoadLocked(now time.Time) {
	streams := len(e.batch.live)
	running := min(streams, e.config.Slots)
	e.loads.record(rttarget.LoadReport{
		Running: running,
		Queued:  streams - running,
		Used:    e.usedLocked(),
		Total:   e.config.Memory,
	}, now, e.config.LoadLag)
}

func (e *Engine) reportEvents(r *http.Request) reply {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return failed(http.StatusBadRequest, "after is not a number")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return ok(e.events.after(after, time.Now()))
}
