package rtfake

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// Engine is a model engine with continuous batching. It serves requests while
// Run runs.
type Engine struct {
	config EngineConfig
	mux    http.ServeMux

	mu       sync.Mutex
	batch    batch
	holds    map[rtid.Request]rtid.Tokens
	exports  map[rtid.Request]rtid.Tokens
	cache    *prefixCache
	events   eventLog
	loads    loadHistory
	fence    fence
	model    rtid.Model
	loading  bool
	start    int64 // number of this start; rises
	arrivals uint64
	cold     bool
	warming  int       // completed requests since the engine turned cold
	graceEnd time.Time // of ColdGrace
	upAt     time.Time // end of the downtime after a crash
	frozen   bool
	stopped  bool
	stats    EngineStats
	// executions counts the generations that were started, by id.
	executions map[rtid.Request]int
	prompts    map[uint64]int     // the same, by the hash of the prompt
	commands   []rttarget.Command // that had an effect
	changed    chan struct{}      // closed and replaced when Run or a handler may go on
}

// EngineStats are the counters of an engine since it was made.
type EngineStats struct {
	PeakColdStreams    int         // most streams after one was added while cold, out of the grace
	Failovers          int         // of a cold engine under too many streams
	Passes             int         // of continuous batching
	GenerationsStarted int         // generations, whatever became of them
	UsedMemory         rtid.Tokens // KV memory used now
	Streams            int         // live now
	Start              int64       // number of this start
	Cold               bool
}

// NewEngine returns an engine that does nothing until Run is called.
func NewEngine(config EngineConfig) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config:     config,
		model:      config.Model,
		executions: map[rtid.Request]int{},
		prompts:    map[uint64]int{},
		changed:    make(chan struct{}),
	}
	e.events = eventLog{delay: config.EventDelay, gap: uint64(config.EventLossInterval)}
	e.fence.enabled = config.Fencing
	e.restartLocked()
	e.cold = !config.Warm
	e.routes()
	return e
}

// Run steps the engine until the context ends. Then all connections are cut.
func (e *Engine) Run(ctx context.Context) error {
	timer := time.NewTimer(e.config.PassTime)
	defer timer.Stop()
	for {
		e.mu.Lock()
		busy := len(e.batch.live) > 0 && !e.frozen
		duration := e.durationLocked()
		changed := e.changed
		e.mu.Unlock()
		if !busy {
			select {
			case <-ctx.Done():
				e.stop()
				return nil
			case <-changed:
			}
			continue
		}
		timer.Reset(duration)
		select {
		case <-ctx.Done():
			e.stop()
			return nil
		case <-timer.C:
			e.step()
		}
	}
}

// durationLocked returns the duration of a step.
func (e *Engine) durationLocked() time.Duration {
	if e.cold {
		return e.config.PassTime * time.Duration(e.config.ColdSlowdown)
	}
	return e.config.PassTime
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen {
		return
	}
	now := time.Now()
	e.stats.Passes++
	computed, ended := e.batch.step(e.config.Slots, e.config.PrefillPerPass)
	for _, g := range computed {
		e.cache.store(g.request.Prompt, now)
	}
	if len(ended) == 0 {
		return
	}
	e.warming += len(ended)
	if e.warming >= e.config.WarmAfter {
		e.cold = false
	}
	e.recordLoadLocked(now)
}

// restartLocked forgets everything that the memory of the process held.
func (e *Engine) restartLocked() {
	now := time.Now()
	e.start = max(e.start+1, now.UnixMilli())
	e.batch = batch{}
	e.holds = map[rtid.Request]rtid.Tokens{}
	e.exports = map[rtid.Request]rtid.Tokens{}
	e.cache = newPrefixCache(e.config.CacheSize, &e.events)
	e.fence.highest = 0
	e.loading = false
	e.cold = true
	e.warming = 0
	e.graceEnd = now
	e.recordLoadLocked(now)
}

func (e *Engine) wakeLocked() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	e.cutLocked()
}

// cutLocked cuts the connections of all streams.
func (e *Engine) cutLocked() {
	for _, g := range e.batch.live {
		g.cut()
	}
	e.batch = batch{}
	e.wakeLocked()
}

// Crash ends the process, also a frozen one: streams, holds, exports and cache
// are gone, connections of requests are cut, and the engine starts again cold,
// after its downtime.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = false
	e.cutLocked()
	e.upAt = time.Now().Add(e.config.Downtime)
	e.restartLocked()
}

// Freeze stops the engine without closing connections, until Thaw.
func (e *Engine) Freeze() {
	e.setFrozen(true)
}

// Thaw ends Freeze.
func (e *Engine) Thaw() {
	e.setFrozen(false)
}

func (e *Engine) setFrozen(frozen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = frozen
	e.wakeLocked()
}

// TurnCold makes a warm engine cold without a restart. Streams that run go on
// slowly. New ones over the limit make it fail over after the grace.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.warming = 0
	e.graceEnd = time.Now().Add(e.config.ColdGrace)
}

// checkColdLocked lets a cold engine with too many streams fail over after
// one was added.
func (e *Engine) checkColdLocked() {
	if !e.cold || time.Now().Before(e.graceEnd) {
		return
	}
	streams := len(e.batch.live)
	e.stats.PeakColdStreams = max(e.stats.PeakColdStreams, streams)
	if streams <= e.config.ColdLimit {
		return
	}
	for _, g := range e.batch.live {
		g.finish(rttarget.EndFailed, "cold engine failed under load")
	}
	e.stats.Failovers++
	e.upAt = time.Now().Add(e.config.Downtime)
	e.restartLocked()
}

// Stats returns the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.UsedMemory = e.usedLocked()
	stats.Streams = len(e.batch.live)
	stats.Start = e.start
	stats.Cold = e.cold
	return stats
}

// Executions returns how many generations were started with this id.
func (e *Engine) Executions(id rtid.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions[id]
}

// PromptExecutions returns how many generations were started with this prompt,
// under whichever id.
func (e *Engine) PromptExecutions(prompt []byte) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prompts[xxhash.Sum64(prompt)]
}

// Commands returns the commands of POST /order that had an effect.
func (e *Engine) Commands() []rttarget.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.commands)
}
