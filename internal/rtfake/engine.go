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

// Engine is a fake model engine with continuous batching. It generates tokens
// only while Run runs.
type Engine struct {
	config EngineConfig
	mux    http.ServeMux

	mu                 sync.Mutex
	batch              batch
	reservations       map[rtid.Request]rtid.Tokens
	exports            map[rtid.Request]rtid.Tokens
	cache              *prefixCache
	events             eventLog
	loads              loadHistory
	fence              fence
	model              rtid.Model
	loading            bool
	startID            int64 // increases with each restart
	lastArrival        uint64
	cold               bool
	completedWhileCold int       // requests completed since the engine became cold
	coldGraceEnd       time.Time // end of ColdGrace
	downUntil          time.Time // end of the downtime after a crash or a failure under load
	frozen             bool
	stopped            bool
	stats              EngineStats
	// executions counts the generations that were started, by request ID.
	executions       map[rtid.Request]int
	promptExecutions map[uint64]int     // counts the same by the hash of the prompt
	commands         []rttarget.Command // that took effect
	changed          chan struct{}      // closed and replaced at each change that Run or a handler may wait for
}

// EngineStats are the counters of an engine since NewEngine, over all restarts,
// and its current state.
type EngineStats struct {
	PeakColdStreams    int         // most live streams while cold, without those during ColdGrace
	LoadFailures       int         // failures under load: a cold engine had more than ColdLimit streams
	Passes             int         // iterations of the batch
	GenerationsStarted int         // whether or not they completed
	UsedMemory         rtid.Tokens // KV memory in use now
	Streams            int         // live now
	StartID            int64       // start ID, increases with each restart
	Cold               bool
}

// NewEngine returns an engine that generates nothing until Run is called.
func NewEngine(config EngineConfig) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config:           config,
		model:            config.Model,
		executions:       map[rtid.Request]int{},
		promptExecutions: map[uint64]int{},
		changed:          make(chan struct{}),
	}
	e.events = eventLog{delay: config.EventDelay, lossInterval: uint64(config.EventLossInterval)}
	e.fence.enabled = config.Fencing
	e.restartLocked()
	e.cold = !config.Warm
	e.routes()
	return e
}

// Run runs passes until the context ends. Then it cuts the connections of all
// streams.
func (e *Engine) Run(ctx context.Context) error {
	timer := time.NewTimer(e.config.PassTime)
	defer timer.Stop()
	for {
		e.mu.Lock()
		busy := len(e.batch.live) > 0 && !e.frozen
		duration := e.passTimeLocked()
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
			e.runPass()
		}
	}
}

// passTimeLocked returns the duration of one pass.
func (e *Engine) passTimeLocked() time.Duration {
	if e.cold {
		return e.config.PassTime * time.Duration(e.config.ColdSlowdown)
	}
	return e.config.PassTime
}

func (e *Engine) runPass() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen {
		return
	}
	now := time.Now()
	e.stats.Passes++
	prefilled, ended := e.batch.runPass(e.config.Slots, e.config.PrefillPerPass)
	for _, g := range prefilled {
		e.cache.store(g.request.Prompt, now)
	}
	if len(ended) == 0 {
		return
	}
	e.completedWhileCold += len(ended)
	if e.completedWhileCold >= e.config.WarmAfter {
		e.cold = false
	}
	e.recordLoadLocked(now)
}

// restartLocked discards the state that a process loses when it restarts, and
// starts cold.
func (e *Engine) restartLocked() {
	now := time.Now()
	e.startID = max(e.startID+1, now.UnixMilli())
	e.batch = batch{}
	e.reservations = map[rtid.Request]rtid.Tokens{}
	e.exports = map[rtid.Request]rtid.Tokens{}
	e.cache = newPrefixCache(e.config.CacheSize, &e.events)
	e.fence.highest = 0
	e.loading = false
	e.cold = true
	e.completedWhileCold = 0
	e.coldGraceEnd = now
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
	e.abortStreamsLocked()
}

// abortStreamsLocked makes the handlers cut the connections of all streams.
func (e *Engine) abortStreamsLocked() {
	for _, g := range e.batch.live {
		g.abort()
	}
	e.batch = batch{}
	e.wakeLocked()
}

// Crash restarts the engine, also while frozen: streams, reservations, exports
// and the cache are lost, the connections of streams are cut, and the engine
// serves again after its downtime and is cold.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = false
	e.abortStreamsLocked()
	e.downUntil = time.Now().Add(e.config.Downtime)
	e.restartLocked()
}

// Freeze suspends the engine, with its connections left open, until Thaw.
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

// TurnCold makes a warm engine cold without a restart. Live streams continue
// slowly. After ColdGrace, a new stream over ColdLimit makes the engine fail
// under load.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.completedWhileCold = 0
	e.coldGraceEnd = time.Now().Add(e.config.ColdGrace)
}

// checkColdLimitLocked makes a cold engine fail under load if it has more than
// ColdLimit streams: all streams end as failed, and the engine restarts after its
// downtime. It is called after a stream was added.
func (e *Engine) checkColdLimitLocked() {
	if !e.cold || time.Now().Before(e.coldGraceEnd) {
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
	e.stats.LoadFailures++
	e.downUntil = time.Now().Add(e.config.Downtime)
	e.restartLocked()
}

// Stats returns the counters and the current state.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.UsedMemory = e.usedMemoryLocked()
	stats.Streams = len(e.batch.live)
	stats.StartID = e.startID
	stats.Cold = e.cold
	return stats
}

// Executions returns how many generations were started with this ID.
func (e *Engine) Executions(id rtid.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions[id]
}

// PromptExecutions returns how many generations were started with this prompt,
// under any ID.
func (e *Engine) PromptExecutions(prompt []byte) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.promptExecutions[xxhash.Sum64(prompt)]
}

// Commands returns the commands of POST /order that took effect.
func (e *Engine) Commands() []rttarget.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.commands)
}
