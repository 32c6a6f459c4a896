package rtfleet

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

const (
	platformHost = "10.0.0.1"
	longOutput   = 1000 // tokens: 20 s at the pace of the stand-in
	burstSize    = 50   // drafts at once
	// reconcileBound is the bound of the design page on memory that no agent
	// owns, with the start of an agent before it.
	reconcileBound = 4*time.Second + 500*time.Millisecond
)

// scenarios lists courses of events that need more than one fault at one step.
var scenarios = []struct {
	name   string
	change func(*Options)
	run    func(*cell)
}{
	{"fifty drafts at one fresh engine", nil, func(c *cell) {
		c.publishZones(rtdocument.ZoneOutOfService, 1, 2)
		c.wait(2 * time.Second)
		c.burst(burstSize)
	}},
	{"fifty drafts at one engine that turned cold", nil, func(c *cell) {
		c.publishZones(rtdocument.ZoneOutOfService, 1, 2)
		c.warm()
		c.fleet.Engines["a-engine-1"].TurnCold()
		c.burst(burstSize)
	}},
	{"zone returns with cold engines", nil, func(c *cell) {
		c.warm()
		c.publish(rtdocument.ZoneOutOfService)
		c.wait(10 * time.Second)
		c.fleet.Engines["a-engine-1"].Crash()
		c.publish(rtdocument.ZoneInService)
		c.wait(2 * time.Second)
		c.publishZones(rtdocument.ZoneOutOfService, 1, 2)
		c.burst(burstSize)
	}},
	{"zone out for long under load", nil, func(c *cell) {
		c.publish(rtdocument.ZoneOutOfService)
		c.trickle(10, 500*time.Millisecond)
		agent := c.fleet.Agent("a-engine-1")
		offers := c.records(agent)
		c.trickle(20, 500*time.Millisecond)
		// The agent records each refusal. Entries that know the news make no
		// offers, so that they spend no retries on them.
		if later := c.records(agent); later != offers {
			c.t.Errorf("%s got %d offers after 5 s of the news", agent.VM, later-offers)
		}
	}},
	{"zone out, entries of other zones cut off from the news", nil, func(c *cell) {
		c.cutNews(1)
		c.publish(rtdocument.ZoneOutOfService)
		c.trickle(20, 500*time.Millisecond)
		c.healNews(1)
	}},
	{"agents leave for long under load", nil, func(c *cell) {
		long := c.long(60, cellLimit)
		c.until("it streams", func() bool { return len(c.seen(long).Text) > 0 })
		agent := c.fleet.Agent(c.home(long))
		c.stop(agent)
		c.wait(time.Second)
		offers := c.records(agent)
		for range 5 {
			c.sized("short", 4<<10)
			c.wait(300 * time.Millisecond)
		}
		if later := c.records(agent); later != offers {
			c.t.Errorf("%s got %d offers a second after it began to leave", agent.VM, later-offers)
		}
		c.trickle(10, 500*time.Millisecond)
		c.replace(agent)
		c.wantDone(long)
	}},
	{"answer longer than its time limit", nil, func(c *cell) {
		long := c.long(longOutput, 3*time.Second)
		c.finish()
		c.wait(lateness)
		if streams := c.fleet.Engines[c.home(long)].Stats().Streams; streams != 0 {
			c.t.Errorf("engine runs %d streams after the time limit", streams)
		}
		if long.seen.Reason != rtapi.ReasonDeadline {
			c.t.Errorf("ended as %s, reason %q, want reason deadline", long.seen.Outcome, long.seen.Reason)
		}
	}},
	{"agent silent until the time limit", nil, func(c *cell) {
		long := c.long(longOutput, 3*time.Second)
		c.until("it streams", func() bool { return len(c.seen(long).Text) > 0 })
		agent := c.fleet.Agent(c.home(long))
		c.fabric.CutBoth(agent.Host, c.fleet.Entries[0].Host)
		c.finish()
		c.fabric.Heal(agent.Host, c.fleet.Entries[0].Host)
	}},
	{"reply of the only engine is lost", nil, func(c *cell) {
		c.publishZones(rtdocument.ZoneOutOfService, 1, 2)
		c.wait(2 * time.Second)
		agent, entry := c.fleet.Agent("a-engine-1"), c.fleet.Entries[0]
		c.draft("lost")
		c.wait(5 * linkDelay / 2) // the offer is on its way
		c.fabric.Cut(agent.Host, entry.Host)
		c.finish()
		c.fabric.Heal(agent.Host, entry.Host)
	}},
	{"only engine crashes as it starts a draft", nil, func(c *cell) {
		c.publishZones(rtdocument.ZoneOutOfService, 1, 2)
		c.wait(2 * time.Second)
		engine := c.fleet.Engines["a-engine-1"]
		draft := c.draft("crash")
		c.until("the engine has started", func() bool { return engine.PromptExecutions(draft.prompt) > 0 })
		engine.Crash()
		c.finish()
	}},
	{"agent restarts beside a busy engine", nil, func(c *cell) {
		long := c.long(longOutput, cellLimit)
		c.until("it streams", func() bool { return len(c.seen(long).Text) > 0 })
		target := c.home(long)
		c.hold(target)
		c.fleet.Agent(target).Kill()
		c.restart(c.fleet.Agent(target))
		c.wait(reconcileBound)
		if used := c.fleet.Engines[target].Stats().UsedMemory; used != 0 {
			c.t.Errorf("%s still uses %d tokens %v after the restart of its agent", target, used, reconcileBound)
		}
	}},
	{"unowned hold at an engine", nil, func(c *cell) {
		c.hold("a-engine-1")
		c.wait(reconcileBound)
		if used := c.fleet.Engines["a-engine-1"].Stats().UsedMemory; used != 0 {
			c.t.Errorf("hold of %d tokens remains after %v", used, reconcileBound)
		}
	}},
	{"resume at another entry", nil, func(c *cell) {
		long := c.long(60, cellLimit)
		c.until("it streams", func() bool { return len(c.seen(long).Text) > 0 })
		c.killEntry(c.fleet.Entries[0])
		c.finish()
		c.restart(c.fleet.Entries[0])
		c.wantDone(long)
	}},
	{"two planned stops of entry and agent", nil, func(c *cell) {
		long := c.long(60, cellLimit)
		order := c.issue()
		c.until("it streams", func() bool { return len(c.seen(long).Text) > 0 })
		c.put(order, 1)
		c.wait(100 * time.Millisecond)
		stopped := []*Process{
			c.fleet.Entries[0], c.fleet.Agent(c.home(long)), c.fleet.Agent(targetOf(order.id)),
		}
		for range 2 {
			for _, process := range stopped {
				c.stop(process)
			}
			c.wait(time.Second)
		}
		c.finish()
		for _, process := range stopped {
			c.replace(process)
		}
		c.wantDone(long)
		if order.replies[0].Outcome != rtapi.Done {
			c.t.Errorf("order ended as %s, reason %q", order.replies[0].Outcome, order.replies[0].Reason)
		}
	}},
	{"platform goes back to an older version", nil, func(c *cell) {
		before := c.document
		c.publish(rtdocument.ZoneInService)
		c.wait(2 * time.Second)
		body, err := rtdocument.Encode(&before)
		if err != nil {
			c.t.Fatal(err)
		}
		c.fleet.Platform.PublishVersion(c.version-1, body)
		c.wait(5 * time.Second)
		c.replace(c.fleet.Entries[0])
		c.replace(c.fleet.Agents[0])
	}},
	{"refused document between two good ones", nil, func(c *cell) {
		c.publish(rtdocument.ZoneOutOfService)
		c.wait(time.Second)
		c.fleet.Platform.Publish([]byte(`{"revision": "none"}`))
		c.wait(10 * time.Second)
		c.checkConfiguration()
		c.publish(rtdocument.ZoneInService)
	}},
	{"document of 1 MiB", nil, func(c *cell) {
		c.publishPadded(1 << 20)
		c.version++
		c.wait(5 * time.Second)
		c.checkConfiguration()
		c.publishPadded(1<<20 + 1)
		c.wait(5 * time.Second)
	}},
	{"start while the platform is down and one peer is behind", nil, func(c *cell) {
		behind, started := c.fleet.Agents[1], c.fleet.Entries[2]
		c.fabric.Freeze(behind.Host)
		c.publish(rtdocument.ZoneOutOfService)
		c.wait(2 * time.Second)
		c.fleet.Platform.SetDown(true)
		started.Kill()
		c.cutFrom(started, behind)
		c.fabric.Thaw(behind.Host)
		c.restart(started)
		c.wait(faultLength)
		c.healAll(started)
		c.publish(rtdocument.ZoneInService)
		c.fleet.Platform.SetDown(false)
	}},
	{"prompts of over twice an engine's memory race", smallEngines, func(c *cell) {
		first := c.sized("first", groupPrompt)
		second := c.sized("second", groupPrompt)
		c.finish()
		for _, run := range []*draftRun{first, second} {
			if run.seen.Outcome != rtapi.Done && run.seen.Outcome != rtapi.NotRun {
				c.t.Errorf("ended as %s, reason %q, error %v", run.seen.Outcome, run.seen.Reason, run.err)
			}
		}
		if first.seen.Outcome != rtapi.Done && second.seen.Outcome != rtapi.Done {
			c.t.Error("neither of two racing prompts was served")
		}
	}},
	{"member of a group dies", smallEngines, func(c *cell) {
		run := c.sized("large", groupPrompt)
		c.until("a group holds memory", func() bool {
			return c.seen(run).ID != "" && c.fleet.Engines["a-engine-1"].Stats().UsedMemory > 0 || c.seen(run).Ended
		})
		leader := c.home(run)
		for _, agent := range c.fleet.Agents[:3] {
			if agent.Target != leader {
				agent.Kill()
				defer c.restart(agent)
				break
			}
		}
		c.finish()
	}},
}

// TestScenarios guards every invariant over courses of several events.
func TestScenarios(t *testing.T) {
	for _, scenario := range scenarios {
		t.Run(strings.ReplaceAll(scenario.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			runCell(t, scenario.change, scenario.run)
		})
	}
}

// groupPrompt is over twice the memory of an engine of smallEngines.
const groupPrompt = 400 << 10 // bytes, 100k tokens

// smallEngines lets prompts of a moderate size need three engines.
func smallEngines(options *Options) {
	const memory rtid.Tokens = 40_000
	options.Engines = 3
	options.Engine.Memory = memory
	options.Agent.KVMemory = memory
}

// burst sends drafts through all entries at once and waits for their ends.
func (c *cell) burst(count int) {
	for range count {
		c.sized("burst", 4<<10)
	}
	c.finish()
}

// trickle sends drafts one after the other through all entries.
func (c *cell) trickle(count int, interval time.Duration) {
	for range count {
		c.sized("trickle", 4<<10)
		c.wait(interval)
	}
	c.finish()
}

// warm lets the engines of the fleet become warm.
func (c *cell) warm() {
	c.trickle(60, 100*time.Millisecond)
}

// wantDone checks that a draft was served in spite of everything.
func (c *cell) wantDone(run *draftRun) {
	c.t.Helper()
	c.finish()
	if run.seen.Outcome != rtapi.Done {
		c.t.Errorf("draft %s ended as %s, reason %q, error %v, want done", run.seen.ID, run.seen.Outcome, run.seen.Reason, run.err)
	}
}

// home returns the target that an accepted draft runs at.
func (c *cell) home(run *draftRun) rtid.Target {
	c.t.Helper()
	seen := c.seen(run)
	if seen.ID == "" {
		c.t.Fatalf("draft was not accepted: %s, reason %q, error %v", seen.Outcome, seen.Reason, run.err)
	}
	return targetOf(rtid.Request(seen.ID))
}

// records returns the number of records in the ledger of an agent.
func (c *cell) records(agent *Process) int {
	c.t.Helper()
	var dump struct {
		Agent struct {
			Records int `json:"records"`
		} `json:"agent"`
	}
	operator := Caller{Client: c.client, Address: agent.OperatorAddress}
	if err := operator.Call(c.ctx, http.MethodGet, "/dump", nil, &dump); err != nil || dump.Agent.Records == 0 {
		c.t.Errorf("%s: %d records, %v", agent.VM, dump.Agent.Records, err)
	}
	return dump.Agent.Records
}

// hold reserves memory at an engine without its agent.
func (c *cell) hold(target rtid.Target) {
	c.t.Helper()
	address := c.fleet.targets[target]
	response, err := c.client.Post("http://"+string(address)+"/holds", "application/json", strings.NewReader(`{"id":"stranger","tokens":1000}`))
	if err != nil {
		c.t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil || response.StatusCode >= http.StatusBadRequest {
		c.t.Fatalf("hold: status %d, error %v", response.StatusCode, err)
	}
}

// publishPadded publishes the last document padded to a size.
func (c *cell) publishPadded(size int) {
	document := c.document
	document.Base, document.Revision = document.Revision, document.Revision+1
	body, err := rtdocument.Encode(&document)
	if err != nil {
		c.t.Fatal(err)
	}
	c.document = document
	c.fleet.Platform.Publish(append(body, bytes.Repeat([]byte(" "), size-len(body))...))
}

// cutNews cuts the entries from a zone on from the platform and from the other
// entries, so that only agents can tell them the news.
func (c *cell) cutNews(from int) {
	for _, entry := range c.fleet.Entries[from:] {
		c.fabric.CutBoth(entry.Host, platformHost)
		for _, other := range c.fleet.Entries {
			if other != entry {
				c.fabric.CutBoth(entry.Host, other.Host)
			}
		}
	}
}

func (c *cell) healNews(from int) {
	for _, entry := range c.fleet.Entries[from:] {
		c.healAll(entry)
	}
}

// cutFrom cuts a process from all others but one.
func (c *cell) cutFrom(process, but *Process) {
	for _, other := range c.processes() {
		if other != process && other != but {
			c.fabric.CutBoth(process.Host, other.Host)
		}
	}
}

// healAll ends all cuts of a process.
func (c *cell) healAll(process *Process) {
	c.fabric.Heal(process.Host, platformHost)
	for _, other := range c.processes() {
		if other != process {
			c.fabric.Heal(process.Host, other.Host)
		}
	}
}
