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
	platformHost    = "10.0.0.1"
	longDraftOutput = 1000 // tokens: 20 s of generation at the pass time of the fake engine
	burstSize       = 50   // drafts at once
	// reconcileBound is the bound of the design page on the time until an agent
	// frees engine memory that it does not own, plus the start of an agent.
	reconcileBound = 4*time.Second + 500*time.Millisecond
)

// scenarios lists sequences of faults and requests that TestFaultMatrix does not
// cover.
var scenarios = []struct {
	name   string
	change func(*Options)
	run    func(*env)
}{
	{"fifty drafts at one fresh engine", nil, func(e *env) {
		e.publishZones(rtdocument.ZoneOutOfService, 1, 2)
		e.wait(2 * time.Second)
		e.sendBurst(burstSize)
	}},
	{"fifty drafts at one engine that turned cold", nil, func(e *env) {
		e.publishZones(rtdocument.ZoneOutOfService, 1, 2)
		e.warmEngines()
		e.fleet.Engines["a-engine-1"].TurnCold()
		e.sendBurst(burstSize)
	}},
	{"zone returns with cold engines", nil, func(e *env) {
		e.warmEngines()
		e.publishFirstZone(rtdocument.ZoneOutOfService)
		e.wait(10 * time.Second)
		e.fleet.Engines["a-engine-1"].Crash()
		e.publishFirstZone(rtdocument.ZoneInService)
		e.wait(2 * time.Second)
		e.publishZones(rtdocument.ZoneOutOfService, 1, 2)
		e.sendBurst(burstSize)
	}},
	{"zone out for long under load", nil, func(e *env) {
		e.publishFirstZone(rtdocument.ZoneOutOfService)
		e.sendInTurn(10, 500*time.Millisecond)
		agent := e.fleet.Agent("a-engine-1")
		offers := e.ledgerRecords(agent)
		e.sendInTurn(20, 500*time.Millisecond)
		// The agent records each offer that it refuses. Entries that have the new
		// configuration make none, so that they spend no retries on them.
		if later := e.ledgerRecords(agent); later != offers {
			e.t.Errorf("%s: got %d offers later than 5 s after its zone was out, want 0", agent.VM, later-offers)
		}
	}},
	{"zone out, entries of other zones cut off from the news", nil, func(e *env) {
		e.cutConfiguration(1)
		e.publishFirstZone(rtdocument.ZoneOutOfService)
		e.sendInTurn(20, 500*time.Millisecond)
		e.healConfiguration(1)
	}},
	{"agents leave for long under load", nil, func(e *env) {
		long := e.sendLongDraft(60, timeLimit)
		e.waitUntil("the long draft streams", func() bool { return len(e.progress(long).Text) > 0 })
		agent := e.fleet.Agent(e.targetOfDraft(long))
		e.beginStop(agent)
		e.wait(time.Second)
		offers := e.ledgerRecords(agent)
		for range 5 {
			e.sendSizedDraft("short", 4<<10)
			e.wait(300 * time.Millisecond)
		}
		if later := e.ledgerRecords(agent); later != offers {
			e.t.Errorf("%s: got %d offers later than 1 s after its shutdown began, want 0", agent.VM, later-offers)
		}
		e.sendInTurn(10, 500*time.Millisecond)
		e.replace(agent)
		e.wantDone(long)
	}},
	{"answer longer than its time limit", nil, func(e *env) {
		long := e.sendLongDraft(longDraftOutput, 3*time.Second)
		e.waitForRequests()
		e.wait(maxLateness)
		if streams := e.fleet.Engines[e.targetOfDraft(long)].Stats().Streams; streams != 0 {
			e.t.Errorf("engine has %d live streams after the time limit, want 0", streams)
		}
		if long.received.Reason != rtapi.ReasonDeadline {
			e.t.Errorf("outcome %s, reason %q, want reason deadline", long.received.Outcome, long.received.Reason)
		}
	}},
	{"agent silent until the time limit", nil, func(e *env) {
		long := e.sendLongDraft(longDraftOutput, 3*time.Second)
		e.waitUntil("the long draft streams", func() bool { return len(e.progress(long).Text) > 0 })
		agent := e.fleet.Agent(e.targetOfDraft(long))
		e.fabric.CutBoth(agent.Host, e.fleet.Entries[0].Host)
		e.waitForRequests()
		e.fabric.Heal(agent.Host, e.fleet.Entries[0].Host)
	}},
	{"reply of the only engine is lost", nil, func(e *env) {
		e.publishZones(rtdocument.ZoneOutOfService, 1, 2)
		e.wait(2 * time.Second)
		agent, entry := e.fleet.Agent("a-engine-1"), e.fleet.Entries[0]
		e.sendDraft("lost")
		e.wait(5 * linkDelay / 2) // the offer is in transit
		e.fabric.Cut(agent.Host, entry.Host)
		e.waitForRequests()
		e.fabric.Heal(agent.Host, entry.Host)
	}},
	{"only engine crashes as it starts a draft", nil, func(e *env) {
		e.publishZones(rtdocument.ZoneOutOfService, 1, 2)
		e.wait(2 * time.Second)
		engine := e.fleet.Engines["a-engine-1"]
		draft := e.sendDraft("crash")
		e.waitUntil("the engine has started the draft", func() bool { return engine.PromptExecutions(draft.prompt) > 0 })
		engine.Crash()
		e.waitForRequests()
	}},
	{"agent restarts beside a busy engine", nil, func(e *env) {
		long := e.sendLongDraft(longDraftOutput, timeLimit)
		e.waitUntil("the long draft streams", func() bool { return len(e.progress(long).Text) > 0 })
		target := e.targetOfDraft(long)
		e.reserveUnowned(target)
		e.fleet.Agent(target).Kill()
		e.restart(e.fleet.Agent(target))
		e.wait(reconcileBound)
		if used := e.fleet.Engines[target].Stats().UsedMemory; used != 0 {
			e.t.Errorf("%s: %d tokens of memory in use %v after the restart of its agent, want 0", target, used, reconcileBound)
		}
	}},
	{"unowned hold at an engine", nil, func(e *env) {
		e.reserveUnowned("a-engine-1")
		e.wait(reconcileBound)
		if used := e.fleet.Engines["a-engine-1"].Stats().UsedMemory; used != 0 {
			e.t.Errorf("unowned reservation: %d tokens of memory in use after %v, want 0", used, reconcileBound)
		}
	}},
	{"resume at another entry", nil, func(e *env) {
		long := e.sendLongDraft(60, timeLimit)
		e.waitUntil("the long draft streams", func() bool { return len(e.progress(long).Text) > 0 })
		e.killEntry(e.fleet.Entries[0])
		e.waitForRequests()
		e.restart(e.fleet.Entries[0])
		e.wantDone(long)
	}},
	{"two planned stops of entry and agent", nil, func(e *env) {
		long := e.sendLongDraft(60, timeLimit)
		order := e.issueOrder()
		e.waitUntil("the long draft streams", func() bool { return len(e.progress(long).Text) > 0 })
		e.putOrder(order, 1)
		e.wait(100 * time.Millisecond)
		stopped := []*Process{
			e.fleet.Entries[0], e.fleet.Agent(e.targetOfDraft(long)), e.fleet.Agent(targetOf(order.id)),
		}
		for range 2 {
			for _, process := range stopped {
				e.beginStop(process)
			}
			e.wait(time.Second)
		}
		e.waitForRequests()
		for _, process := range stopped {
			e.replace(process)
		}
		e.wantDone(long)
		if order.replies[0].Outcome != rtapi.Done {
			e.t.Errorf("order: outcome %s, reason %q, want done", order.replies[0].Outcome, order.replies[0].Reason)
		}
	}},
	{"platform goes back to an older version", nil, func(e *env) {
		before := e.document
		e.publishFirstZone(rtdocument.ZoneInService)
		e.wait(2 * time.Second)
		body, err := rtdocument.Encode(&before)
		if err != nil {
			e.t.Fatal(err)
		}
		e.fleet.Platform.PublishVersion(e.version-1, body)
		e.wait(5 * time.Second)
		e.replace(e.fleet.Entries[0])
		e.replace(e.fleet.Agents[0])
	}},
	{"refused document between two good ones", nil, func(e *env) {
		e.publishFirstZone(rtdocument.ZoneOutOfService)
		e.wait(time.Second)
		e.fleet.Platform.Publish([]byte(`{"revision": "none"}`))
		e.wait(10 * time.Second)
		e.checkConfiguration()
		e.publishFirstZone(rtdocument.ZoneInService)
	}},
	{"document of 1 MiB", nil, func(e *env) {
		e.publishPadded(1 << 20)
		e.version++
		e.wait(5 * time.Second)
		e.checkConfiguration()
		e.publishPadded(1<<20 + 1)
		e.wait(5 * time.Second)
	}},
	{"start while the platform is down and one peer is behind", nil, func(e *env) {
		behind, started := e.fleet.Agents[1], e.fleet.Entries[2]
		e.fabric.Freeze(behind.Host)
		e.publishFirstZone(rtdocument.ZoneOutOfService)
		e.wait(2 * time.Second)
		e.fleet.Platform.SetDown(true)
		started.Kill()
		e.cutFromAllBut(started, behind)
		e.fabric.Thaw(behind.Host)
		e.restart(started)
		e.wait(faultDuration)
		e.healAll(started)
		e.publishFirstZone(rtdocument.ZoneInService)
		e.fleet.Platform.SetDown(false)
	}},
	{"prompts of over twice an engine's memory race", smallEngines, func(e *env) {
		first := e.sendSizedDraft("first", groupPromptSize)
		second := e.sendSizedDraft("second", groupPromptSize)
		e.waitForRequests()
		for _, run := range []*draftRun{first, second} {
			if run.received.Outcome != rtapi.Done && run.received.Outcome != rtapi.NotRun {
				e.t.Errorf("outcome %s, reason %q, error %v, want done or not run", run.received.Outcome, run.received.Reason, run.err)
			}
		}
		if first.received.Outcome != rtapi.Done && second.received.Outcome != rtapi.Done {
			e.t.Error("neither of two concurrent large prompts is done, want at least one")
		}
	}},
	{"member of a group dies", smallEngines, func(e *env) {
		run := e.sendSizedDraft("large", groupPromptSize)
		e.waitUntil("the draft is accepted and engine 1 has memory in use, or the draft has ended", func() bool {
			return e.progress(run).ID != "" && e.fleet.Engines["a-engine-1"].Stats().UsedMemory > 0 || e.progress(run).Ended
		})
		leader := e.targetOfDraft(run)
		for _, agent := range e.fleet.Agents[:3] {
			if agent.Target != leader {
				agent.Kill()
				defer e.restart(agent)
				break
			}
		}
		e.waitForRequests()
	}},
}

// TestScenarios guards against the same failures as TestFaultMatrix, in sequences
// of faults and requests that the matrix does not cover.
func TestScenarios(t *testing.T) {
	for _, scenario := range scenarios {
		t.Run(strings.ReplaceAll(scenario.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			runFleetTest(t, scenario.change, scenario.run)
		})
	}
}

// groupPromptSize is more than twice the memory of an engine of smallEngines.
const groupPromptSize = 400 << 10 // bytes, 100k tokens

// smallEngines configures engines so small that a prompt of groupPromptSize
// needs three of them.
func smallEngines(options *Options) {
	const memory rtid.Tokens = 40_000
	options.Engines = 3
	options.Engine.Memory = memory
	options.Agent.KVMemory = memory
}

// sendBurst sends count drafts at once, through all entries, and waits until
// they have ended.
func (e *env) sendBurst(count int) {
	for range count {
		e.sendSizedDraft("burst", 4<<10)
	}
	e.waitForRequests()
}

// sendInTurn sends count drafts through all entries, one per interval, and waits
// until they have ended.
func (e *env) sendInTurn(count int, interval time.Duration) {
	for range count {
		e.sendSizedDraft("trickle", 4<<10)
		e.wait(interval)
	}
	e.waitForRequests()
}

// warmEngines sends enough drafts for all engines to become warm.
func (e *env) warmEngines() {
	e.sendInTurn(60, 100*time.Millisecond)
}

// wantDone waits for all requests and checks that a draft ended as done.
func (e *env) wantDone(run *draftRun) {
	e.t.Helper()
	e.waitForRequests()
	if run.received.Outcome != rtapi.Done {
		e.t.Errorf("draft %s: outcome %s, reason %q, error %v, want done", run.received.ID, run.received.Outcome, run.received.Reason, run.err)
	}
}

// targetOfDraft returns the target that an accepted draft was sent to.
func (e *env) targetOfDraft(run *draftRun) rtid.Target {
	e.t.Helper()
	received := e.progress(run)
	if received.ID == "" {
		e.t.Fatalf("draft was not accepted: outcome %s, reason %q, error %v", received.Outcome, received.Reason, run.err)
	}
	return targetOf(rtid.Request(received.ID))
}

// ledgerRecords returns the number of records in the ledger of an agent.
func (e *env) ledgerRecords(agent *Process) int {
	e.t.Helper()
	var dump struct {
		Agent struct {
			Records int `json:"records"`
		} `json:"agent"`
	}
	operator := Caller{Client: e.client, Address: agent.OperatorAddress}
	if err := operator.Call(e.ctx, http.MethodGet, "/dump", nil, &dump); err != nil || dump.Agent.Records == 0 {
		e.t.Errorf("%s: got %d ledger records, error %v, want more than 0", agent.VM, dump.Agent.Records, err)
	}
	return dump.Agent.Records
}

// reserveUnowned reserves memory at an engine that its agent does not know of.
func (e *env) reserveUnowned(target rtid.Target) {
	e.t.Helper()
	address := e.fleet.targetAddresses[target]
	response, err := e.client.Post("http://"+string(address)+"/holds", "application/json", strings.NewReader(`{"id":"stranger","tokens":1000}`))
	if err != nil {
		e.t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil || response.StatusCode >= http.StatusBadRequest {
		e.t.Fatalf("reserve memory: status %d, error %v", response.StatusCode, err)
	}
}

// publishPadded publishes the last document as a new revision, padded with
// spaces to size bytes.
func (e *env) publishPadded(size int) {
	document := e.document
	document.Base, document.Revision = document.Revision, document.Revision+1
	body, err := rtdocument.Encode(&document)
	if err != nil {
		e.t.Fatal(err)
	}
	e.document = document
	e.fleet.Platform.Publish(append(body, bytes.Repeat([]byte(" "), size-len(body))...))
}

// cutConfiguration cuts the entries with the index first and above off from the
// platform and the other entries, so that they can receive a new configuration
// only from agents.
func (e *env) cutConfiguration(first int) {
	for _, entry := range e.fleet.Entries[first:] {
		e.fabric.CutBoth(entry.Host, platformHost)
		for _, other := range e.fleet.Entries {
			if other != entry {
				e.fabric.CutBoth(entry.Host, other.Host)
			}
		}
	}
}

// healConfiguration ends cutConfiguration.
func (e *env) healConfiguration(first int) {
	for _, entry := range e.fleet.Entries[first:] {
		e.healAll(entry)
	}
}

// cutFromAllBut cuts the links between a process and all others but one.
func (e *env) cutFromAllBut(process, except *Process) {
	for _, other := range e.processes() {
		if other != process && other != except {
			e.fabric.CutBoth(process.Host, other.Host)
		}
	}
}

// healAll ends all cuts between a process, the platform and other processes.
func (e *env) healAll(process *Process) {
	e.fabric.Heal(process.Host, platformHost)
	for _, other := range e.processes() {
		if other != process {
			e.fabric.Heal(process.Host, other.Host)
		}
	}
}
