package rtfleet

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// maxLateness is the bound of the design page on the end of a request after its
// time limit. The links of the caller add two delays, and a caller whose entry
// was killed adds those of its retry.
const maxLateness = 250*time.Millisecond + 4*linkDelay

// checkInvariants checks, at the end of a test, what must hold after any fault.
func (e *env) checkInvariants() {
	e.t.Helper()
	for _, run := range e.drafts {
		e.checkDraft(run)
	}
	for _, run := range e.orders {
		e.checkOrder(run)
	}
	e.checkEngines()
	e.checkConfiguration()
}

// checkDraft checks that a draft ended in time, that its text is the answer to
// its prompt, complete if done, and that a draft refused as not run has not run.
func (e *env) checkDraft(run *draftRun) {
	e.t.Helper()
	received := run.received
	if received.Ended && !run.resumed && !e.entryLate && run.ended.Sub(run.sent) > run.limit+maxLateness {
		e.t.Errorf("draft %s: ended after %v, time limit %v", received.ID, run.ended.Sub(run.sent), run.limit)
	}
	if !received.Ended && !e.entryLost.Load() {
		e.t.Errorf("draft %s: no end within its time limit, error %v", received.ID, run.err)
	}
	want := []byte(rtfake.Answer(run.prompt, rtid.Tokens(run.output)))
	if !bytes.HasPrefix(want, received.Text) {
		e.t.Errorf("draft %s: text is not a prefix of the answer to its prompt", received.ID)
	}
	if received.Outcome == rtapi.Done && !bytes.Equal(received.Text, want) {
		e.t.Errorf("draft %s: done with a text of %d bytes, want the answer of %d bytes", received.ID, len(received.Text), len(want))
	}
	if received.Ended && received.Outcome == rtapi.NotRun {
		for target, engine := range e.fleet.Engines {
			if engine.PromptExecutions(run.prompt) > 0 {
				e.t.Errorf("draft %s: refused as not run, but ran at %s", received.ID, target)
			}
		}
	}
}

// checkOrder checks that an order ran at most once, and that all responses
// about it agree with the number of runs.
func (e *env) checkOrder(run *orderRun) {
	e.t.Helper()
	executions := 0
	for _, service := range e.fleet.Services {
		executions += service.Executions(run.id)
	}
	if executions > 1 {
		e.t.Errorf("order %s: ran %d times, want at most once", run.id, executions)
	}
	if run.longestPut > timeLimit+maxLateness && !e.entryLate {
		e.t.Errorf("order %s: answered after %v, time limit %v", run.id, run.longestPut, timeLimit)
	}
	replies := run.replies
	for zone := range e.fleet.Entries {
		ctx, cancel := context.WithTimeout(e.ctx, timeLimit)
		status, err := e.callOrder(ctx, run, zone, http.MethodGet)
		cancel()
		if err != nil {
			e.t.Errorf("order %s: status through entry %d: %v", run.id, zone, err)
			continue
		}
		replies = append(replies, status)
	}
	for _, status := range replies {
		if status.Outcome == rtapi.NotRun && executions != 0 && !status.Running {
			e.t.Errorf("order %s: outcome not run (reason %s), but it ran", run.id, status.Reason)
		}
		if status.Outcome == rtapi.Done && executions != 1 {
			e.t.Errorf("order %s: outcome done, but it ran %d times, want once", run.id, executions)
		}
	}
}

// checkEngines checks that all KV memory is free again and that no cold engine
// got more streams than it sustains.
func (e *env) checkEngines() {
	e.t.Helper()
	for target, engine := range e.fleet.Engines {
		stats := engine.Stats()
		if stats.UsedMemory != 0 {
			e.t.Errorf("%s: %d tokens of memory in use after all requests, want 0", target, stats.UsedMemory)
		}
		if stats.LoadFailures != 0 {
			e.t.Errorf("%s: failed under load %d times while cold, want 0", target, stats.LoadFailures)
		}
	}
}

// processStatus is the part of GET /status that the tests read.
type processStatus struct {
	Version  rtid.Version  `json:"version"`
	Revision rtid.Revision `json:"revision"`
	Ready    bool          `json:"ready"`
}

// checkConfiguration checks that the last published document is in force on
// every process.
func (e *env) checkConfiguration() {
	e.t.Helper()
	for _, process := range e.processes() {
		status, err := e.status(process)
		if err != nil {
			e.t.Errorf("%s: read status: %v", process.VM, err)
			continue
		}
		if status.Version != e.version {
			e.t.Errorf("%s: configuration version %d, want %d", process.VM, status.Version, e.version)
		}
	}
}
