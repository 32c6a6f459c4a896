package rtfleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// Parameters of a fleet test. A fault lasts longer than three heartbeat
// intervals, and longer than the time after which an agent drops requests that
// it has not dispatched.
const (
	timeLimit     = 8 * time.Second // of the requests
	faultDuration = 4 * time.Second
	pastTimeLimit = timeLimit + 2*time.Second // the fault ends after the time limit of all requests
	settleTime    = 10 * time.Second          // until leases and records have expired and agents have reconciled
	linkDelay     = 2 * time.Millisecond
	// heartbeatWait is a heartbeat interval with its jitter. Until then an entry
	// may know only the agents that were ready at its first heartbeat, and then
	// refuses requests for lack of targets.
	heartbeatWait = 1200 * time.Millisecond
	draftOutput   = 20
	orderBody     = "file with the registry"
	promptSize    = 128 << 10 // bytes; 32k tokens, 4 passes of prefill
)

// env is a fleet under test with its requests and what their callers received.
type env struct {
	t      *testing.T
	ctx    context.Context
	fleet  *Fleet
	fabric *rtfake.Network
	client *http.Client

	document rtdocument.Document // last published
	version  rtid.Version        // of document

	mu     sync.Mutex
	drafts []*draftRun
	orders []*orderRun
	tasks  []*rttask.Task

	monitor   *monitor
	entryLost atomic.Bool // an entry was killed or frozen, so that its callers may receive no end event
	entryLate bool        // an entry was frozen past the time limit, so that answers may be late
}

// draftRun is one draft and what its caller received.
type draftRun struct {
	prompt   []byte
	output   int
	limit    time.Duration
	zone     int   // index of the zone of the first entry
	received Draft // received so far
	err      error // of the last stream
	sent     time.Time
	ended    time.Time
	resumed  bool
}

// orderRun is one order and the responses about it.
type orderRun struct {
	id         rtid.Request
	owner      rtid.Organisation // empty: high-court
	replies    []rtapi.Status
	longestPut time.Duration // longest time to the response to one PUT
}

// newTestFleet starts a fleet on an in-memory network with one entry, one
// engine and one plain service in each availability zone.
func newTestFleet(t *testing.T, change func(*Options)) (*Fleet, *rtfake.Network) {
	t.Helper()
	fabric := &rtfake.Network{Seed: 1, DefaultLatency: func(string, string) rtfake.Latency {
		return rtfake.Latency{Base: linkDelay, Jitter: linkDelay / 2}
	}}
	options := Options{
		Networks: &InMemory{Fabric: fabric},
		Document: testDocument(),
		Entries:  1, Engines: 1, Services: 1,
		Engine:       rtfake.EngineConfig{PassTime: 20 * time.Millisecond, PrefillPerPass: 8192},
		Service:      rtfake.ServiceConfig{RunDuration: 300 * time.Millisecond},
		Agent:        testAgent,
		DrainTimeout: 2 * timeLimit,
		MaxTimeLimit: timeLimit,
	}
	if change != nil {
		change(&options)
	}
	fleet, err := New(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	return fleet, fabric
}

// runFleetTest runs body in virtual time with a fleet that is ready, and checks
// all invariants at the end.
func runFleetTest(t *testing.T, change func(*Options), body func(*env)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet, fabric := newTestFleet(t, change)
		e := &env{
			t: t, ctx: t.Context(), fleet: fleet, fabric: fabric, client: rtnet.Client(fabric),
			document: testDocument(), version: 1,
		}
		defer e.close()
		for deadline := time.Now().Add(timeLimit); !e.allReady() && time.Now().Before(deadline); {
			e.wait(heartbeatWait / 10)
		}
		e.wait(heartbeatWait)
		e.waitUntil("all entries serve", e.allServe)
		e.monitor = newMonitor(e)
		monitoring := rttask.Start(e.ctx, "monitor", e.monitor.run)
		defer func() { _ = monitoring.Stop() }()
		body(e)
		e.waitForRequests()
		e.wait(settleTime)
		e.checkInvariants()
	})
}

// close stops the fleet. It also runs after a failed check, because a synctest
// bubble waits for all goroutines.
func (e *env) close() {
	e.waitForRequests()
	e.client.CloseIdleConnections()
	if err := e.fleet.Close(); err != nil {
		e.t.Logf("close fleet: %v", err)
	}
	e.fabric.Close()
}

// wait sleeps in virtual time.
func (e *env) wait(duration time.Duration) {
	<-time.After(duration)
}

// waitUntil polls a condition and fails the test if it is not met in time.
func (e *env) waitUntil(name string, condition func() bool) {
	e.t.Helper()
	for deadline := time.Now().Add(timeLimit); !condition(); e.wait(time.Millisecond) {
		if time.Now().After(deadline) {
			e.t.Fatalf("condition not met within %v: %s", timeLimit, name)
		}
	}
}

// callerAt returns a caller of the entry of an availability zone.
func (e *env) callerAt(zone int) Caller {
	return Caller{Client: e.client, Address: e.fleet.Entries[zone].CallerAddress, Organisation: "high-court"}
}

// processes returns all entries and agents.
func (e *env) processes() []*Process {
	return slices.Concat(e.fleet.Entries, e.fleet.Agents)
}

// allReady reports whether every process reports that it is ready.
func (e *env) allReady() bool {
	for _, process := range e.processes() {
		status, err := e.status(process)
		if err != nil || !status.Ready {
			return false
		}
	}
	return true
}

// status requests the status of a process through the operators' API.
func (e *env) status(process *Process) (processStatus, error) {
	operator := Caller{Client: e.client, Address: process.OperatorAddress}
	ctx, cancel := context.WithTimeout(e.ctx, timeLimit)
	defer cancel()
	var status processStatus
	err := operator.Call(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// allServe reports whether every entry completes a short draft and issues an
// order ID.
func (e *env) allServe() bool {
	for zone := range e.fleet.Entries {
		if _, err := e.requestOrderID(zone); err != nil {
			return false
		}
		ctx, cancel := context.WithTimeout(e.ctx, timeLimit)
		request := rtapi.DraftRequest{Service: "drafts", Prompt: "warm up", Output: 1, Limit: "5s"}
		draft, err := e.callerAt(zone).Draft(ctx, request, nil)
		cancel()
		if err != nil || draft.Outcome != rtapi.Done {
			return false
		}
	}
	return true
}

// startTask runs f in a task that waitForRequests waits for.
func (e *env) startTask(name string, f func(context.Context) error) {
	e.tasks = append(e.tasks, rttask.Start(e.ctx, name, f))
}

// sendDraft sends a draft through the entry of the first availability zone.
func (e *env) sendDraft(name string) *draftRun {
	return e.sendAndResume(name, draftRun{prompt: promptOf(name, promptSize), output: draftOutput, limit: timeLimit})
}

// sendLongDraft sends a draft with an answer of output tokens through the entry
// of the first availability zone.
func (e *env) sendLongDraft(output int, limit time.Duration) *draftRun {
	return e.sendAndResume("long", draftRun{prompt: promptOf("long", 4<<10), output: output, limit: limit})
}

// sendSizedDraft sends a draft with a prompt of size bytes. Successive drafts go
// to the entries in turn.
func (e *env) sendSizedDraft(name string, size int) *draftRun {
	number := len(e.drafts)
	name = fmt.Sprintf("%s-%d", name, number)
	return e.sendAndResume(name, draftRun{
		prompt: promptOf(name, size), output: draftOutput, limit: timeLimit, zone: number % len(e.fleet.Entries),
	})
}

// promptOf returns a prompt that begins with name, so that each draft has a
// different answer.
func promptOf(name string, size int) []byte {
	prompt := bytes.Repeat([]byte("x"), size)
	copy(prompt, name)
	return prompt
}

// sendAndResume sends a draft. If the stream breaks, the caller resumes it
// through the next entries until its time limit.
func (e *env) sendAndResume(name string, draft draftRun) *draftRun {
	run := &draft
	run.sent = time.Now()
	e.drafts = append(e.drafts, run)
	e.startTask(name, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, run.limit+time.Second)
		defer cancel()
		store := func(draft Draft) {
			e.mu.Lock()
			defer e.mu.Unlock()
			run.received = draft
		}
		request := rtapi.DraftRequest{Service: "drafts", Prompt: string(run.prompt), Output: int64(run.output), Limit: run.limit.String()}
		draft, err := e.callerAt(run.zone).Draft(ctx, request, store)
		for zone := run.zone + 1; !draft.Ended && draft.ID != "" && ctx.Err() == nil; zone++ {
			run.resumed = true
			e.wait(100 * time.Millisecond)
			draft, err = e.callerAt(zone%len(e.fleet.Entries)).Resume(ctx, draft, store)
		}
		store(draft)
		run.err = err
		run.ended = time.Now()
		return nil
	})
	return run
}

// issueOrder requests an order ID from the entry of the first availability zone.
func (e *env) issueOrder() *orderRun {
	e.t.Helper()
	id, err := e.requestOrderID(0)
	if err != nil {
		e.t.Fatal(err)
	}
	run := &orderRun{id: id}
	e.orders = append(e.orders, run)
	return run
}

// requestOrderID requests an order ID from the entry of an availability zone.
func (e *env) requestOrderID(zone int) (rtid.Request, error) {
	var created rtapi.OrderID
	err := e.callerAt(zone).Call(e.ctx, http.MethodPost, "/v1/orders", []byte(`{"service":"filings"}`), &created)
	if err == nil && created.ID == "" {
		err = errors.New("response without an order id")
	}
	return rtid.Request(created.ID), err
}

// putOrder sends the order through the entry of an availability zone, and
// repeats it through the next entries until one answers.
func (e *env) putOrder(run *orderRun, zone int) {
	e.startTask("order", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, timeLimit+time.Second)
		defer cancel()
		for ; ctx.Err() == nil; zone++ {
			sent := time.Now()
			status, err := e.callOrder(ctx, run, zone, http.MethodPut)
			if err == nil {
				e.mu.Lock()
				defer e.mu.Unlock()
				run.replies = append(run.replies, status)
				run.longestPut = max(run.longestPut, time.Since(sent))
				return nil
			}
			e.wait(100 * time.Millisecond)
		}
		if !e.entryLost.Load() {
			e.t.Errorf("order %s: no response within its time limit", run.id)
		}
		return nil
	})
}

// callOrder sends a request about an order through the entry of an availability
// zone.
func (e *env) callOrder(ctx context.Context, run *orderRun, zone int, method string) (rtapi.Status, error) {
	var status rtapi.Status
	path := fmt.Sprintf("/v1/orders/%s?limit=%v", run.id, timeLimit)
	caller := e.callerAt(zone % len(e.fleet.Entries))
	if run.owner != "" {
		caller.Organisation = run.owner
	}
	err := caller.Call(ctx, method, path, []byte(orderBody), &status)
	if err == nil && status.ID == "" && status.Reason == "" {
		err = errors.New("response without id and reason")
	}
	return status, err
}

// progress returns what the caller has received so far.
func (e *env) progress(run *draftRun) Draft {
	e.mu.Lock()
	defer e.mu.Unlock()
	return run.received
}

// publishFirstZone publishes the document with a state of the first
// availability zone.
func (e *env) publishFirstZone(state rtdocument.ZoneState) {
	e.publishZones(state, 0)
}

// publishZones publishes the document with a state of some availability zones.
// It tells the monitor which targets must get no new work.
func (e *env) publishZones(state rtdocument.ZoneState, zones ...int) {
	document := e.document
	document.Zones = append([]rtdocument.Zone(nil), document.Zones...)
	for _, zone := range zones {
		document.Zones[zone].State = state
	}
	document.Base = e.document.Revision
	document.Revision = document.Base + 1
	version, err := e.fleet.Publish(document)
	if err != nil {
		e.t.Error(err)
	}
	e.document, e.version = document, version
	for _, agent := range e.fleet.Agents {
		if document.ZoneState(agent.Zone) == rtdocument.ZoneOutOfService {
			e.monitor.close(agent.Target)
		} else {
			e.monitor.open(agent.Target)
		}
	}
}
