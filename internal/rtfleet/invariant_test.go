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

// lateness is the bound of the design page on the end of a request after its
// time limit. The caller's own links add two delays, and a caller whose entry
// died adds its retry.
const lateness = 250*time.Millisecond + 4*linkDelay

// checkInvariants checks at the end of a cell what must always hold.
func (c *cell) checkInvariants() {
	c.t.Helper()
	for _, run := range c.drafts {
		c.checkDraft(run)
	}
	for _, run := range c.orders {
		c.checkOrder(run)
	}
	c.checkEngines()
	c.checkConfiguration()
}

// checkDraft checks that a draft ended in time, that its answer is whole and
// its own, and that a refusal is true.
func (c *cell) checkDraft(run *draftRun) {
	c.t.Helper()
	seen := run.seen
	if seen.Ended && !run.resumed && !c.entryLate && run.ended.Sub(run.sent) > run.limit+lateness {
		c.t.Errorf("draft %s ended after %v, limit %v", seen.ID, run.ended.Sub(run.sent), run.limit)
	}
	if !seen.Ended && !c.entryLost.Load() {
		c.t.Errorf("draft %s had no end within its time limit: %v", seen.ID, run.err)
	}
	want := []byte(rtfake.Answer(run.prompt, rtid.Tokens(run.output)))
	if !bytes.HasPrefix(want, seen.Text) {
		c.t.Errorf("draft %s: text is not a part of the answer to its prompt", seen.ID)
	}
	if seen.Outcome == rtapi.Done && !bytes.Equal(seen.Text, want) {
		c.t.Errorf("draft %s: done with %d bytes, want %d", seen.ID, len(seen.Text), len(want))
	}
	if seen.Ended && seen.Outcome == rtapi.NotRun {
		for target, engine := range c.fleet.Engines {
			if engine.PromptExecutions(run.prompt) > 0 {
				c.t.Errorf("draft %s: refused as not run, but ran at %s", seen.ID, target)
			}
		}
	}
}

// checkOrder checks that an order ran at most once, and that all answers
// about it are true and agree.
func (c *cell) checkOrder(run *orderRun) {
	c.t.Helper()
	executions := 0
	for _, service := range c.fleet.Services {
		executions += service.Executions(run.id)
	}
	if executions > 1 {
		c.t.Errorf("order %s ran %d times", run.id, executions)
	}
	if run.longest > cellLimit+lateness && !c.entryLate {
		c.t.Errorf("order %s was answered after %v, limit %v", run.id, run.longest, cellLimit)
	}
	replies := run.replies
	for zone := range c.fleet.Entries {
		ctx, cancel := context.WithTimeout(c.ctx, cellLimit)
		status, err := c.order(ctx, run, zone, http.MethodGet)
		cancel()
		if err != nil {
			c.t.Errorf("order %s: status through entry %d: %v", run.id, zone, err)
			continue
		}
		replies = append(replies, status)
	}
	for _, status := range replies {
		if status.Outcome == rtapi.NotRun && executions != 0 && !status.Running {
			c.t.Errorf("order %s: not run (%s), but ran", run.id, status.Reason)
		}
		if status.Outcome == rtapi.Done && executions != 1 {
			c.t.Errorf("order %s: done, but ran %d times", run.id, executions)
		}
	}
}

// checkEngines checks that all memory is free again and that no cold engine
// got more load than it can bear.
func (c *cell) checkEngines() {
	c.t.Helper()
	for target, engine := range c.fleet.Engines {
		stats := engine.Stats()
		if stats.UsedMemory != 0 {
			c.t.Errorf("%s still uses %d tokens of memory", target, stats.UsedMemory)
		}
		if stats.Failovers != 0 {
			c.t.Errorf("%s failed under too much load %d times while cold", target, stats.Failovers)
		}
	}
}

// processStatus is the part of GET /status that the checker reads.
type processStatus struct {
	Version  rtid.Version  `json:"version"`
	Revision rtid.Revision `json:"revision"`
	Ready    bool          `json:"ready"`
}

// checkConfiguration checks that the last published document is in force on
// every process.
func (c *cell) checkConfiguration() {
	c.t.Helper()
	for _, process := range c.processes() {
		status, err := c.status(process)
		if err != nil {
			c.t.Errorf("%s: %v", process.VM, err)
			continue
		}
		if status.Version != c.version {
			c.t.Errorf("%s: configuration version %d, want %d", process.VM, status.Version, c.version)
		}
	}
}
