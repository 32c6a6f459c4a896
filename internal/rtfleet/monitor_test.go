package rtfleet

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	monitorInterval = time.Second
	// newWorkBound is the bound of the design page on new work at a target that
	// drains or whose availability zone is out of service. The added second is
	// for requests accepted before that start last, and for plain services,
	// which count a run only when it ends.
	newWorkBound = 5*time.Second + time.Second
)

// monitor watches a fleet during a test. It guards against a configuration
// version that decreases, and against new work at closed targets: those that
// drain or whose availability zone is out of service.
type monitor struct {
	e *env

	mu             sync.Mutex
	incarnations   map[*Process]int          // number of incarnations, so that a late sample of an earlier one is dropped
	versions       map[*Process]rtid.Version // last sampled of the incarnation
	closedSince    map[rtid.Target]time.Time // when the target was closed
	startedAtCheck map[rtid.Target]int       // requests started until the last check later than newWorkBound
}

func newMonitor(e *env) *monitor {
	return &monitor{
		e:              e,
		incarnations:   make(map[*Process]int),
		versions:       make(map[*Process]rtid.Version),
		closedSince:    make(map[rtid.Target]time.Time),
		startedAtCheck: make(map[rtid.Target]int),
	}
}

// run samples all processes until the context ends. Each process has a goroutine
// of its own, because a frozen or cut-off process does not answer.
func (m *monitor) run(ctx context.Context) error {
	var samplers sync.WaitGroup
	for _, process := range m.e.processes() {
		samplers.Go(func() {
			m.repeat(ctx, func() { m.sample(process) })
		})
	}
	m.repeat(ctx, m.checkClosed)
	samplers.Wait()
	return nil
}

func (m *monitor) repeat(ctx context.Context, f func()) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// sample compares the configuration version of a process with the last one.
func (m *monitor) sample(process *Process) {
	m.mu.Lock()
	incarnation := m.incarnations[process]
	m.mu.Unlock()
	status, err := m.e.status(process)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil || m.incarnations[process] != incarnation {
		return
	}
	if status.Version < m.versions[process] {
		m.e.t.Errorf("%s: configuration version decreased from %d to %d", process.VM, m.versions[process], status.Version)
	}
	m.versions[process] = status.Version
}

// processRestarted records a new incarnation of a process.
func (m *monitor) processRestarted(process *Process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnations[process]++
	delete(m.versions, process)
	m.openLocked(process.Target)
}

// close records that a target must get no new work from now on.
func (m *monitor) close(target rtid.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.closedSince[target]; !known && target != "" {
		m.closedSince[target] = time.Now()
	}
}

// open records that a target may get new work again.
func (m *monitor) open(target rtid.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.openLocked(target)
}

func (m *monitor) openLocked(target rtid.Target) {
	delete(m.closedSince, target)
	delete(m.startedAtCheck, target)
}

// checkClosed checks that targets that were closed longer than newWorkBound ago
// have started no requests since its last call.
func (m *monitor) checkClosed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for target, since := range m.closedSince {
		if time.Since(since) <= newWorkBound {
			continue
		}
		started := m.e.startedAt(target)
		if before, known := m.startedAtCheck[target]; known && started > before {
			m.e.t.Errorf("%s: started a request %v after it was closed", target, time.Since(since))
		}
		m.startedAtCheck[target] = started
	}
}

// startedAt returns the number of requests that a target has started, or
// completed in case of a plain service.
func (e *env) startedAt(target rtid.Target) int {
	if engine := e.fleet.Engines[target]; engine != nil {
		return engine.Stats().GenerationsStarted
	}
	return len(e.fleet.Services[target].Effects())
}
