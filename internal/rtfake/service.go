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

// ServiceConfig configures a Service. A zero field takes the default; a
// negative one means none.
type ServiceConfig struct {
	RunDuration time.Duration // of one run; default 5 ms
	LoadLag     time.Duration // age of the figures of GET /load; default 250 ms
	Fencing     bool          // whether old fencing numbers are rejected
}

// Service is a plain service whose runs must not be repeated: each run has an
// effect, also the second one of the same id.
type Service struct {
	config ServiceConfig
	mux    http.ServeMux

	mu         sync.Mutex
	running    map[rtid.Request]int
	effects    []Effect
	loads      loadHistory
	fence      fence // kept over a crash, as in the database of a real service
	start      int64 // number of this start; rises
	frozen     bool
	loseReply  int           // replies still to lose
	concurrent int           // runs now
	peak       int           // most concurrent runs
	changed    chan struct{} // closed and replaced by Crash, Freeze and Thaw
}

// Effect is what one run did.
type Effect struct {
	ID     rtid.Request
	Body   []byte
	Result string
}

// RunStatus is the answer of GET /status/{id}.
type RunStatus struct {
	Runs    int    `json:"runs"` // that had their effect
	Running bool   `json:"running"`
	Result  []byte `json:"result,omitempty"` // of the last run
}

// NewService returns a plain service that is ready to serve.
func NewService(config ServiceConfig) *Service {
	config.RunDuration = valueOr(config.RunDuration, 5*time.Millisecond)
	config.LoadLag = valueOr(config.LoadLag, 250*time.Millisecond)
	s := &Service{
		config:  config,
		running: map[rtid.Request]int{},
		fence:   fence{enabled: config.Fencing},
		start:   time.Now().UnixMilli(),
		changed: make(chan struct{}),
	}
	s.mux.HandleFunc("POST /run", s.serveRun)
	handle(&s.mux, "GET /status/{id}", s.status)
	handle(&s.mux, "GET /load", s.reportLoad)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.waitThawed(r.Context(), s.currentStart()) {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Service) currentStart() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.start
}

// waitThawed waits while the service is frozen. It returns false if the
// service has crashed since the given start or the context ended.
func (s *Service) waitThawed(ctx context.Context, start int64) bool {
	for {
		s.mu.Lock()
		alive, frozen, changed := s.start == start, s.frozen, s.changed
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
		failedBody(err).write(w)
		return
	}
	start, conflict := s.begin(request)
	if conflict != nil {
		conflict.write(w)
		return
	}
	// A client that goes away does not stop the run.
	result, alive := s.run(context.WithoutCancel(r.Context()), request, start)
	if !alive {
		panic(http.ErrAbortHandler)
	}
	ok(rttarget.RunReply{Result: []byte(result)}).write(w)
}

// begin returns the number of the service's start, or a refusal.
func (s *Service) begin(request rttarget.RunRequest) (int64, *reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conflict := s.fence.check(request.Fence); conflict != nil {
		return 0, conflict
	}
	s.running[request.ID]++
	s.concurrent++
	s.peak = max(s.peak, s.concurrent)
	s.recordLoadLocked()
	return s.start, nil
}

// run has its effect at its end. It returns false if the reply is lost.
func (s *Service) run(ctx context.Context, request rttarget.RunRequest, start int64) (string, bool) {
	if err := s.work(ctx, start); err != nil {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.start != start {
		return "", false
	}
	s.endLocked(request.ID)
	result := fmt.Sprintf("%s is number %d", request.ID, len(s.effects)+1)
	s.effects = append(s.effects, Effect{ID: request.ID, Body: request.Body, Result: result})
	if s.loseReply > 0 {
		s.loseReply--
		return "", false
	}
	return result, true
}

// work waits for the duration of a run, and then for the end of a freeze.
func (s *Service) work(ctx context.Context, start int64) error {
	if err := sleep(ctx, s.config.RunDuration); err != nil {
		return err
	}
	if !s.waitThawed(ctx, start) {
		return http.ErrAbortHandler
	}
	return nil
}

func (s *Service) endLocked(id rtid.Request) {
	s.concurrent--
	s.running[id]--
	if s.running[id] == 0 {
		delete(s.running, id)
	}
	s.recordLoadLocked()
}

func (s *Service) recordLoadLocked() {
	s.loads.record(rttarget.LoadReport{Running: s.concurrent}, time.Now(), s.config.LoadLag)
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
	return ok(status)
}

// reportLoad reports figures that lag, with the current start and fencing
// number, which do not.
func (s *Service) reportLoad(*http.Request) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.loads.at(time.Now().Add(-s.config.LoadLag))
	load.StartID = s.start
	load.Fence = s.fence.highest
	return ok(load)
}

// Effects returns what all runs did, in the order of their ends.
func (s *Service) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.effects)
}

// Executions returns how many runs of this id had their effect.
func (s *Service) Executions(id rtid.Request) int {
	count := 0
	for _, effect := range s.Effects() {
		if effect.ID == id {
			count++
		}
	}
	return count
}

// Peak returns the most concurrent runs so far.
func (s *Service) PeakConcurrency() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// LoseReplies lets the next runs have their effect and then cuts their
// connections instead of a reply.
func (s *Service) LoseReplies(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseReply = count
}

// Crash ends the runs that have not had their effect, and cuts their
// connections. The service starts again at once.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start = max(s.start+1, time.Now().UnixMilli())
	s.running = map[rtid.Request]int{}
	s.concurrent = 0
	s.frozen = false
	s.recordLoadLocked()
	s.wakeLocked()
}

// Freeze stops the service without closing connections, until Thaw. Runs have
// no effect meanwhile.
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
