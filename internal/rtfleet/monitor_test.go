package rtfleet

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

const (
	monitorInterval = time.Second
	// newsBound is the bound of the design page on new work at a target whose
	// availability zone is out or that is leaving. What was accepted before
	// may start last in it, and a plain service shows a run at its end.
	newsBound = 5*time.Second + time.Second
)

// monitor watches a cell while it runs. It guards against a configuration that
// goes back, and against new work at closed targets.
type monitor struct {
	c *cell

	mu       sync.Mutex
	starts   map[*Process]int          // incarnations, so that a late sample of an earlier one is dropped
	versions map[*Process]rtid.Version // highest seen of the incarnation
	closed   map[rtid.Target]time.Time // when the news was published
	counted  map[rtid.Target]int       // work started when newsBound was over
}

func newMonitor(c *cell) *monitor {
	return &monitor{
		c:        c,
		starts:   make(map[*Process]int),
		versions: make(map[*Process]rtid.Version),
		closed:   make(map[rtid.Target]time.Time),
		counted:  make(map[rtid.Target]int),
	}
}

// run samples until the context ends. Each process has a task of its own,
// because one that is frozen or cut off does not answer.
func (m *monitor) run(ctx context.Context) error {
	var waiting sync.WaitGroup
	for _, process := range m.c.processes() {
		waiting.Go(func() {
			m.repeat(ctx, func() { m.sample(process) })
		})
	}
	m.repeat(ctx, m.checkClosed)
	waiting.Wait()
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

// sample compares the version of a process with the ones before.
func (m *monitor) sample(process *Process) {
	m.mu.Lock()
	start := m.starts[process]
	m.mu.Unlock()
	status, err := m.c.status(process)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil || m.starts[process] != start {
		return
	}
	if status.Version < m.versions[process] {
		m.c.t.Errorf("%s: configuration version went back from %d to %d", process.VM, m.versions[process], status.Version)
	}
	m.versions[process] = status.Version
}

// restarted takes in that a process has a new incarnation.
func (m *monitor) restarted(process *Process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts[process]++
	delete(m.versions, process)
	m.openLocked(process.Target)
}

// close takes in the news that a target must get no new work.
func (m *monitor) close(target rtid.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.closed[target]; !known && target != "" {
		m.closed[target] = time.Now()
	}
}

// open takes in that a target may get work again.
func (m *monitor) open(target rtid.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.openLocked(target)
}

func (m *monitor) openLocked(target rtid.Target) {
	delete(m.closed, target)
	delete(m.counted, target)
}

// checkClosed compares the work started at closed targets with that at the
// end of newsBound.
func (m *monitor) checkClosed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for target, since := range m.closed {
		if time.Since(since) <= newsBound {
			continue
		}
		started := m.c.startedAt(target)
		if before, known := m.counted[target]; known && started > before {
			m.c.t.Errorf("%s started work %v after it was closed", target, time.Since(since))
		}
		m.counted[target] = started
	}
}

// startedAt returns the number of requests that a target has started.
func (c *cell) startedAt(target rtid.Target) int {
	if engine := c.fleet.Engines[target]; engine != nil {
		return engine.Stats().GenerationsStarted
	}
	return len(c.fleet.Services[target].Effects())
}
