package rtentry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtroute"
)

// refreshInterval is how old the view of a decision may be. Reports come once
// a second, so that a tenth of that adds little to their age.
const refreshInterval = 100 * time.Millisecond

// countInterval is how often the entries of the own zone are counted. Counting
// goes through the whole list of VMs, and a few hundred of over ten thousand VMs
// change in a day.
const countInterval = 10 * time.Second

// balancer chooses the targets of one service.
type balancer struct {
	entry   *Entry
	service rtid.Service

	mu      sync.Mutex
	random  *rand.Rand
	pool    *rtroute.Pool
	reports []rtroute.Report // that pool was built from
	views   map[rtid.Target]rtnode.AgentView
	built   time.Time    // of pool; zero if it must be built again
	version rtid.Version // of the document that pool was built from
	flights rtroute.InFlight
	spill   rtroute.Spill
	local   rtlimit.Meter // requests of this entry to its own zone
	entries int           // live entries of the own zone
	counted time.Time     // when entries was counted
}

// placement is a chosen target and the record of the work sent to it.
type placement struct {
	view     rtnode.AgentView
	balancer *balancer
	number   uint64      // of the flight
	tokens   rtid.Tokens // of the work
}

// balancer returns the balancer of a service, which is in the document.
func (e *Entry) balancer(service rtid.Service) *balancer {
	e.balancersMu.Lock()
	defer e.balancersMu.Unlock()
	b := e.balancers[service]
	if b == nil {
		b = &balancer{entry: e, service: service, random: rand.New(rand.NewPCG(e.random.Uint64(), e.random.Uint64()))}
		e.balancers[service] = b
	}
	return b
}

// choose returns the target to offer a draft to. It reports false if none is
// eligible that has not been tried.
func (b *balancer) choose(d *draft, tried []rtid.Target) (placement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refresh(now)
	request := d.request(now)
	request.Exclude = tried
	target, ok := b.chooseTarget(&request)
	if !ok {
		return placement{}, false
	}
	if b.views[target].Zone == b.entry.settings.Zone {
		b.local.Add(now)
	}
	return b.place(target, d.tokens), true
}

// possible reports whether any target could answer a draft in time.
func (b *balancer) possible(d *draft) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refresh(now)
	return b.pool.Feasible(d.request(now))
}

// request returns what a decision needs of a draft.
func (d *draft) request(now time.Time) rtroute.Request {
	return rtroute.Request{
		Tokens:    d.tokens,
		MaxOutput: d.output,
		Class:     d.class,
		Prefix:    rtroute.PrefixHash(d.prompt),
		Remaining: d.deadline.Sub(now),
	}
}

// chooseHome returns the home of a new order: the least loaded target.
func (b *balancer) chooseHome() (rtnode.AgentView, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refresh(now)
	target, ok := b.pool.LeastLoaded(b.random)
	if !ok {
		return rtnode.AgentView{}, false
	}
	// The order is likely to follow. Until the next report it counts, so that
	// ids do not all name the same home.
	p := b.place(target, 1)
	b.flights.MarkAccepted(target, p.number, now)
	return p.view, true
}

// place records work that is about to be sent to a target.
func (b *balancer) place(target rtid.Target, tokens rtid.Tokens) placement {
	b.pool.AddPending(target, rtroute.Pending{Tokens: tokens, Requests: 1})
	return placement{view: b.views[target], balancer: b, number: b.flights.Add(target, tokens), tokens: tokens}
}

// refresh builds the pool again when it is too old or another document is in
// force. It takes the document in force now, which may be newer than the one
// that the request passed its filters with.
func (b *balancer) refresh(now time.Time) {
	version, document := b.entry.node.Document()
	if b.pool != nil && b.version == version && now.Sub(b.built) < refreshInterval {
		return
	}
	b.built, b.version = now, version
	zoneIn := func(zone rtid.Zone) bool { return document.ZoneState(zone) == rtdocument.ZoneInService }
	views := b.entry.node.AgentsOf(b.service)
	b.views = make(map[rtid.Target]rtnode.AgentView, len(views))
	reports := make([]rtroute.Report, 0, len(views))
	for _, view := range views {
		report := reportOf(view)
		if !report.Eligible(zoneIn) {
			continue
		}
		report.Pending = b.flights.Pending(view.Target, view.StatusReceivedAt)
		reports = append(reports, report)
		b.views[view.Target] = view
	}
	b.reports = reports
	b.pool = rtroute.NewPool(reports, string(b.entry.settings.VM))
	b.setRate(now, document)
}

// setRate sets the planned and measured rate of the own zone. The load
// balancer spreads callers evenly, so the zone gets about as many times this
// entry's requests as it has entries.
func (b *balancer) setRate(now time.Time, document *rtdocument.Document) {
	own := b.entry.settings.Zone
	if now.Sub(b.counted) >= countInterval {
		b.counted = now
		b.entries = max(1, b.entry.node.LiveEntries(own))
	}
	measured := b.local.Rate(now) * float64(b.entries)
	for i := range document.Zones {
		if document.Zones[i].Name == own {
			b.pool.SetRate(own, document.Zones[i].Capacity[b.service], measured)
		}
	}
}

// state returns the balancer's part of the dump.
func (b *balancer) state() serviceState {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := serviceState{Spilling: b.spill.Active(), Local: b.local.Rate(time.Now())}
	if b.pool != nil {
		state.Targets = b.pool.Len()
	}
	return state
}

// accepted records that the target has the work.
func (p placement) accepted() {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	p.balancer.flights.MarkAccepted(p.view.Target, p.number, time.Now())
}

// ended removes the record of the work.
func (p placement) ended() {
	p.release()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	p.balancer.flights.Remove(p.view.Target, p.number)
}

// refused removes the record of the work and lets the next decision use the
// status that came with the refusal.
func (p placement) refused() {
	p.release()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	p.balancer.flights.Remove(p.view.Target, p.number)
	p.balancer.built = time.Time{}
}

// reportOf returns what a decision needs of a view.
func reportOf(view rtnode.AgentView) rtroute.Report {
	load := view.Status.GetLoad()
	return rtroute.Report{
		Target:   view.Target,
		Zone:     view.Zone,
		Alive:    view.Alive,
		Draining: view.Draining,
		Ready:    view.Status.GetReady(),
		Queued:   rtid.Tokens(load.GetQueued()),
		Prefill:  rtid.Tokens(load.GetPrefill()),
		Running:  int(load.GetRunning()),
		Limit:    int(load.GetLimit()),
		Slots:    int(load.GetSlots()),
		Rate:     load.GetRate(),
		Used:     rtid.Tokens(load.GetUsed()),
		Total:    rtid.Tokens(load.GetTotal()),
	}
}
