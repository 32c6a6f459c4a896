package rtfake

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

// ServiceConfig configures a Service. A zero field takes the default value, a
// negative one means zero.
type ServiceConfig struct {
	RunDuration time.Duration // default 5 ms
	LoadLag     time.Duration // age of the load that GET /load reports; default 250 ms
	Fencing     bool          // reject runs with a lower fencing number than an earlier run
}

// Service is a fake plain service that does not deduplicate: each run has an
// effect, also a second run with the same ID. Tests count the effects to find
// requests that ran more than once.
type Service struct {
	config ServiceConfig
	mux    http.ServeMux

	mu              sync.Mutex
	running         map[rtid.Request]int
	effects         []Effect
	loads           loadHistory
	fence           fence // survives a crash, as in the database of a real service
	startID         int64 // increases with each restart
	frozen          bool
	repliesToLose   int           // set by LoseReplies
	concurrency     int           // runs in progress
	peakConcurrency int           // most runs in progress at once
	changed         chan struct{} // closed and replaced by Crash, Freeze and Thaw
}

// Effect is the recorded effect of one run.
type Effect struct {
	ID     rtid.Request
	Body   []byte
	Result string
}

// RunStatus is the response to GET /status/{id}.
type RunStatus struct {
	Runs    int    `json:"runs"` // completed runs
	Running bool   `json:"running"`
	Result  []byte `json:"result,omitempty"` // of the last completed run
}

// NewService returns a plain service that is ready to serve.
func NewService(config ServiceConfig) *Service {
	config.RunDuration = valueOr(config.RunDuration, 5*time.Millisecond)
	config.LoadLag = valueOr(config.LoadLag, 250*time.Millisecond)
	s := &Service{
		config:  config,
		running: map[rtid.Request]int{},
		fence:   fence{enabled: config.Fencing},
		startID: time.Now().UnixMilli(),
		changed: make(chan struct{}),
	}
	s.mux.HandleFunc("POST /run", s.serveRun)
	handle(&s.mux, "GET /status/{id}", s.status)
	handle(&s.mux, "GET /load", s.reportLoad)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.waitThawed(r.Context(), s.currentStartID()) {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Service) currentStartID() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startID
}

// waitThawed waits while the service is frozen. It returns false if the service
// has another start ID, because it crashed, or if the context ended.
func (s *Service) waitThawed(ctx context.Context, startID int64) bool {
	for {
		s.mu.Lock()
		alive, frozen, changed := s.startID == startID, s.frozen, s.changed
		s.mu.Unlock()
		if !alive || !frozen {
			return alive
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

func (s *Service) serveRun(w http.ResponseWriter, r *http.Request) {
	var request rttarget.RunRequest
	if err := readJSON(r, &request); err != nil {
		bodyErrorReply(err).write(w)
		return
	}
	startID, conflict := s.beginRun(request)
	if conflict != nil {
		conflict.write(w)
		return
	}
	// The run continues if the client disconnects.
	result, alive := s.run(context.WithoutCancel(r.Context()), request, startID)
	if !alive {
		panic(http.ErrAbortHandler)
	}
	okReply(rttarget.RunReply{Result: []byte(result)}).write(w)
}

// beginRun counts a run as running and returns the start ID of the service,
// or a refusal.
func (s *Service) beginRun(request rttarget.RunRequest) (int64, *reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conflict := s.fence.check(request.Fence); conflict != nil {
		return 0, conflict
	}
	s.running[request.ID]++
	s.concurrency++
	s.peakConcurrency = max(s.peakConcurrency, s.concurrency)
	s.recordLoadLocked()
	return s.startID, nil
}

// run waits for the duration of the run and then records its effect. It returns
// false if the caller must cut the connection instead of replying.
func (s *Service) run(ctx context.Context, request rttarget.RunRequest, startID int64) (string, bool) {
	if err := s.waitRunDuration(ctx, startID); err != nil {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startID != startID {
		return "", false
	}
	s.endRunLocked(request.ID)
	result := fmt.Sprintf("%s is number %d", request.ID, len(s.effects)+1)
	s.effects = append(s.effects, Effect{ID: request.ID, Body: request.Body, Result: result})
	if s.repliesToLose > 0 {
		s.repliesToLose--
		return "", false
	}
	return result, true
}

// waitRunDuration waits for the duration of a run, and then while the service is
// frozen.
func (s *Service) waitRunDuration(ctx context.Context, startID int64) error {
	if err := sleep(ctx, s.config.RunDuration); err != nil {
		return err
	}
	if !s.waitThawed(ctx, startID) {
		return http.ErrAbortHandler
	}
	return nil
}

func (s *Service) endRunLocked(id rtid.Request) {
	s.concurrency--
	s.running[id]--
	if s.running[id] == 0 {
		delete(s.running, id)
	}
	s.recordLoadLocked()
}

func (s *Service) recordLoadLocked() {
	s.loads.record(rttarget.LoadReport{Running: s.concurrency}, time.Now(), s.config.LoadLag)
}

func (s *Service) status(r *http.Request) reply {
	id := rtid.Request(r.PathValue("id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	status := RunStatus{Running: s.running[id] > 0}
	for _, effect := range s.effects {
		if effect.ID == id {
			status.Runs++
			status.Result = []byte(effect.Result)
		}
	}
	return okReply(status)
}

// reportLoad handles GET /load: the load as it was LoadLag ago, with the current
// start ID and highest fencing number.
func (s *Service) reportLoad(*http.Request) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.loads.at(time.Now().Add(-s.config.LoadLag))
	load.StartID = s.startID
	load.Fence = s.fence.highest
	return okReply(load)
}

// Effects returns the effects of all runs in the order of completion.
func (s *Service) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.effects)
}

// Executions returns how many runs with this ID completed.
func (s *Service) Executions(id rtid.Request) int {
	count := 0
	for _, effect := range s.Effects() {
		if effect.ID == id {
			count++
		}
	}
	return count
}

// PeakConcurrency returns the most runs in progress at once so far.
func (s *Service) PeakConcurrency() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakConcurrency
}

// LoseReplies makes the next count runs take effect without a reply: their
// connections are cut.
func (s *Service) LoseReplies(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliesToLose = count
}

// Crash discards the runs in progress, without effect, and cuts their
// connections. The service restarts at once.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startID = max(s.startID+1, time.Now().UnixMilli())
	s.running = map[rtid.Request]int{}
	s.concurrency = 0
	s.frozen = false
	s.recordLoadLocked()
	s.wakeLocked()
}

// Freeze suspends the service, with its connections left open, until Thaw. No
// run takes effect meanwhile.
func (s *Service) Freeze() {
	s.setFrozen(true)
}

// Thaw ends Freeze.
func (s *Service) Thaw() {
	s.setFrozen(false)
}

func (s *Service) setFrozen(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
	s.wakeLocked()
}

func (s *Service) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
