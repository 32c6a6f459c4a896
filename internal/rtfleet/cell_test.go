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

// Figures of a cell. The fault lasts longer than three heartbeat intervals and
// longer than the pause after which an agent drops what it had not dispatched.
const (
	cellLimit   = 8 * time.Second // time limit of the requests
	faultLength = 4 * time.Second
	pastLimit   = cellLimit + 2*time.Second // wakes up after the time limit of all requests
	settleTime  = 10 * time.Second          // until leases, expiries and reconciliation are over
	linkDelay   = 2 * time.Millisecond
	// viewTime is a heartbeat interval with its jitter: until then an entry
	// may know only the agents that were ready at its first heartbeat, and
	// refuses for lack of targets.
	viewTime    = 1200 * time.Millisecond
	outputLimit = 20
	orderBody   = "file with the registry"
	promptSize  = 128 << 10 // bytes, 32k tokens: 4 steps of prefill
)

// cell is one fault at one step of the path.
type cell struct {
	t      *testing.T
	ctx    context.Context
	fleet  *Fleet
	fabric *rtfake.Network
	client *http.Client

	document rtdocument.Document // last published
	version  rtid.Version        // last published

	mu     sync.Mutex
	drafts []*draftRun
	orders []*orderRun
	tasks  []*rttask.Task

	monitor   *monitor
	entryLost atomic.Bool // an entry was killed or frozen, so that its callers may see no end
	entryLate bool        // an entry was frozen past the time limit
}

// draftRun is one draft and what its caller saw.
type draftRun struct {
	prompt  []byte
	output  int
	limit   time.Duration
	zone    int // of the entry that gets it first
	seen    Draft
	err     error // of the last stream
	sent    time.Time
	ended   time.Time
	resumed bool
}

// orderRun is one order and what its caller saw.
type orderRun struct {
	id      rtid.Request
	owner   rtid.Organisation // high-court if empty
	replies []rtapi.Status
	longest time.Duration // of the puts that one entry answered
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
		DrainTimeout: 2 * cellLimit,
		MaxTimeLimit: cellLimit,
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

// runCell runs body in a bubble of virtual time with a fleet that serves, and
// checks all invariants at the end.
func runCell(t *testing.T, change func(*Options), body func(*cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet, fabric := newTestFleet(t, change)
		c := &cell{
			t: t, ctx: t.Context(), fleet: fleet, fabric: fabric, client: rtnet.Client(fabric),
			document: testDocument(), version: 1,
		}
		defer c.close()
		for deadline := time.Now().Add(cellLimit); !c.ready() && time.Now().Before(deadline); {
			c.wait(viewTime / 10)
		}
		c.wait(viewTime)
		c.until("the fleet serves", c.serves)
		c.monitor = newMonitor(c)
		watching := rttask.Start(c.ctx, "monitor", c.monitor.run)
		defer func() { _ = watching.Stop() }()
		body(c)
		c.finish()
		c.wait(settleTime)
		c.checkInvariants()
	})
}

// close ends the fleet. A failed check must not leave goroutines behind,
// because the bubble waits for all of them.
func (c *cell) close() {
	c.finish()
	c.client.CloseIdleConnections()
	if err := c.fleet.Close(); err != nil {
		c.t.Logf("close: %v", err)
	}
	c.fabric.Close()
}

// wait lets virtual time pass.
func (c *cell) wait(duration time.Duration) {
	<-time.After(duration)
}

// until waits for a condition.
func (c *cell) until(name string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(cellLimit); !condition(); c.wait(time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("did not happen within %v: %s", cellLimit, name)
		}
	}
}

// caller returns the caller of the entry of an availability zone.
func (c *cell) caller(zone int) Caller {
	return Caller{Client: c.client, Address: c.fleet.Entries[zone].CallerAddress, Organisation: "high-court"}
}

// processes returns all entries and agents.
func (c *cell) processes() []*Process {
	return slices.Concat(c.fleet.Entries, c.fleet.Agents)
}

// ready reports whether every process says that it is ready.
func (c *cell) ready() bool {
	for _, process := range c.processes() {
		status, err := c.status(process)
		if err != nil || !status.Ready {
			return false
		}
	}
	return true
}

// status reads the status of a process as an operator does.
func (c *cell) status(process *Process) (processStatus, error) {
	operator := Caller{Client: c.client, Address: process.OperatorAddress}
	ctx, cancel := context.WithTimeout(c.ctx, cellLimit)
	defer cancel()
	var status processStatus
	err := operator.Call(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// serves reports whether every entry accepts a short draft and issues order
// ids.
func (c *cell) serves() bool {
	for zone := range c.fleet.Entries {
		if _, err := c.create(zone); err != nil {
			return false
		}
		ctx, cancel := context.WithTimeout(c.ctx, cellLimit)
		request := rtapi.DraftRequest{Service: "drafts", Prompt: "warm up", Output: 1, Limit: "5s"}
		draft, err := c.caller(zone).Draft(ctx, request, nil)
		cancel()
		if err != nil || draft.Outcome != rtapi.Done {
			return false
		}
	}
	return true
}

// start runs f until the end of the cell.
func (c *cell) start(name string, f func(context.Context) error) {
	c.tasks = append(c.tasks, rttask.Start(c.ctx, name, f))
}

// draft sends a draft through the entry of the first availability zone. When
// the stream breaks, the caller resumes through the other entries.
func (c *cell) draft(name string) *draftRun {
	return c.send(name, draftRun{prompt: promptOf(name, promptSize), output: outputLimit, limit: cellLimit})
}

// long sends a draft with a long answer.
func (c *cell) long(output int, limit time.Duration) *draftRun {
	return c.send("long", draftRun{prompt: promptOf("long", 4<<10), output: output, limit: limit})
}

// sized sends a draft with a prompt of a size through the next entry.
func (c *cell) sized(name string, size int) *draftRun {
	number := len(c.drafts)
	name = fmt.Sprintf("%s-%d", name, number)
	return c.send(name, draftRun{
		prompt: promptOf(name, size), output: outputLimit, limit: cellLimit, zone: number % len(c.fleet.Entries),
	})
}

// promptOf returns a prompt that begins with name, so that its answer is its
// own.
func promptOf(name string, size int) []byte {
	prompt := bytes.Repeat([]byte("x"), size)
	copy(prompt, name)
	return prompt
}

// send sends a draft. When the stream breaks, the caller resumes through the
// other entries.
func (c *cell) send(name string, draft draftRun) *draftRun {
	run := &draft
	run.sent = time.Now()
	c.drafts = append(c.drafts, run)
	c.start(name, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, run.limit+time.Second)
		defer cancel()
		see := func(draft Draft) {
			c.mu.Lock()
			defer c.mu.Unlock()
			run.seen = draft
		}
		request := rtapi.DraftRequest{Service: "drafts", Prompt: string(run.prompt), Output: int64(run.output), Limit: run.limit.String()}
		draft, err := c.caller(run.zone).Draft(ctx, request, see)
		for zone := run.zone + 1; !draft.Ended && draft.ID != "" && ctx.Err() == nil; zone++ {
			run.resumed = true
			c.wait(100 * time.Millisecond)
			draft, err = c.caller(zone%len(c.fleet.Entries)).Resume(ctx, draft, see)
		}
		see(draft)
		run.err = err
		run.ended = time.Now()
		return nil
	})
	return run
}

// issue obtains an order id.
func (c *cell) issue() *orderRun {
	c.t.Helper()
	id, err := c.create(0)
	if err != nil {
		c.t.Fatal(err)
	}
	run := &orderRun{id: id}
	c.orders = append(c.orders, run)
	return run
}

// create asks the entry of an availability zone for an order id.
func (c *cell) create(zone int) (rtid.Request, error) {
	var created rtapi.OrderID
	err := c.caller(zone).Call(c.ctx, http.MethodPost, "/v1/orders", []byte(`{"service":"filings"}`), &created)
	if err == nil && created.ID == "" {
		err = errors.New("no order id was issued")
	}
	return rtid.Request(created.ID), err
}

// put sends the order through the entry of an availability zone, and again
// through the next ones until one answers.
func (c *cell) put(run *orderRun, zone int) {
	c.start("order", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, cellLimit+time.Second)
		defer cancel()
		for ; ctx.Err() == nil; zone++ {
			sent := time.Now()
			status, err := c.order(ctx, run, zone, http.MethodPut)
			if err == nil {
				c.mu.Lock()
				defer c.mu.Unlock()
				run.replies = append(run.replies, status)
				run.longest = max(run.longest, time.Since(sent))
				return nil
			}
			c.wait(100 * time.Millisecond)
		}
		if !c.entryLost.Load() {
			c.t.Errorf("order %s got no answer within its time limit", run.id)
		}
		return nil
	})
}

// order calls the route of an order.
func (c *cell) order(ctx context.Context, run *orderRun, zone int, method string) (rtapi.Status, error) {
	var status rtapi.Status
	path := fmt.Sprintf("/v1/orders/%s?limit=%v", run.id, cellLimit)
	caller := c.caller(zone % len(c.fleet.Entries))
	if run.owner != "" {
		caller.Organisation = run.owner
	}
	err := caller.Call(ctx, method, path, []byte(orderBody), &status)
	if err == nil && status.ID == "" && status.Reason == "" {
		err = errors.New("empty answer")
	}
	return status, err
}

// seen returns what the caller has seen so far.
func (c *cell) seen(run *draftRun) Draft {
	c.mu.Lock()
	defer c.mu.Unlock()
	return run.seen
}

// publish publishes the document with the state of the first availability
// zone.
func (c *cell) publish(state rtdocument.ZoneState) {
	c.publishZones(state, 0)
}

// publishZones publishes the document with the state of some availability
// zones. The monitor gets to know what that means for their targets.
func (c *cell) publishZones(state rtdocument.ZoneState, zones ...int) {
	document := c.document
	document.Zones = append([]rtdocument.Zone(nil), document.Zones...)
	for _, zone := range zones {
		document.Zones[zone].State = state
	}
	document.Base = c.document.Revision
	document.Revision = document.Base + 1
	version, err := c.fleet.Publish(document)
	if err != nil {
		c.t.Error(err)
	}
	c.document, c.version = document, version
	for _, agent := range c.fleet.Agents {
		if document.ZoneState(agent.Zone) == rtdocument.ZoneOutOfService {
			c.monitor.close(agent.Target)
		} else {
			c.monitor.open(agent.Target)
		}
	}
}
