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

// refreshInterval is the maximum age of the pool that a decision uses. Targets
// report once a second, so a tenth of that adds little to the reports' age.
const refreshInterval = 100 * time.Millisecond

// entryCountInterval is the time between counts of the entries in the own zone.
// A count scans the whole list of VMs, of which a few hundred of over ten
// thousand change in a day.
const entryCountInterval = 10 * time.Second

// balancer selects the targets of one service.
type balancer struct {
	entry   *Entry
	service rtid.Service

	mu            sync.Mutex
	random        *rand.Rand
	pool          *rtroute.Pool
	reports       []rtroute.Report // from which pool was built
	views         map[rtid.Target]rtnode.AgentView
	builtAt       time.Time    // when pool was built; zero to force a rebuild
	version       rtid.Version // of the document from which pool was built
	inFlight      rtroute.InFlight
	spill         rtroute.Spill
	localRequests rtlimit.Meter // requests of this entry to its own zone
	zoneEntries   int           // live entries in the own zone
	countedAt     time.Time     // when zoneEntries was counted
}

// placement is a selected target with the in-flight record of the work sent to
// it.
type placement struct {
	view        rtnode.AgentView
	balancer    *balancer
	offerNumber uint64      // in balancer.inFlight
	tokens      rtid.Tokens // estimate of the prompt
}

// balancer returns the balancer of a service, which must be in the document.
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

// choose selects the target for the next offer of a draft and records the
// placement. It reports false if no eligible target is left that has not been
// tried.
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
		b.localRequests.Add(now)
	}
	return b.recordPlacement(target, d.tokens), true
}

// feasible reports whether any target could answer a draft in time.
func (b *balancer) feasible(d *draft) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refresh(now)
	return b.pool.Feasible(d.request(now))
}

// request returns the properties of a draft that a placement depends on.
func (d *draft) request(now time.Time) rtroute.Request {
	return rtroute.Request{
		Tokens:    d.tokens,
		MaxOutput: d.output,
		Class:     d.class,
		Prefix:    rtroute.PrefixHash(d.prompt),
		Remaining: d.deadline.Sub(now),
	}
}

// chooseHome selects the home of a new order: the least loaded target.
func (b *balancer) chooseHome() (rtnode.AgentView, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refresh(now)
	target, ok := b.pool.LeastLoaded(b.random)
	if !ok {
		return rtnode.AgentView{}, false
	}
	// Count the order as sent until the next report, because it is likely to
	// follow. Otherwise IDs obtained in a row would all name the same home.
	p := b.recordPlacement(target, 1)
	b.inFlight.MarkAccepted(target, p.offerNumber, now)
	return p.view, true
}

// recordPlacement records work that is about to be sent to a target.
func (b *balancer) recordPlacement(target rtid.Target, tokens rtid.Tokens) placement {
	b.pool.AddPending(target, rtroute.Pending{Tokens: tokens, Requests: 1})
	return placement{view: b.views[target], balancer: b, offerNumber: b.inFlight.Add(target, tokens), tokens: tokens}
}

// refresh rebuilds the pool if it is older than refreshInterval or another
// document is in force. It uses the current document, which may be newer than
// the one that the request was checked against.
func (b *balancer) refresh(now time.Time) {
	version, document := b.entry.node.Document()
	if b.pool != nil && b.version == version && now.Sub(b.builtAt) < refreshInterval {
		return
	}
	b.builtAt, b.version = now, version
	zoneIn := func(zone rtid.Zone) bool { return document.ZoneState(zone) == rtdocument.ZoneInService }
	views := b.entry.node.AgentsOf(b.service)
	b.views = make(map[rtid.Target]rtnode.AgentView, len(views))
	reports := make([]rtroute.Report, 0, len(views))
	for _, view := range views {
		report := reportOf(view)
		if !report.Eligible(zoneIn) {
			continue
		}
		report.Pending = b.inFlight.Pending(view.Target, view.StatusReceivedAt)
		reports = append(reports, report)
		b.views[view.Target] = view
	}
	b.reports = reports
	b.pool = rtroute.NewPool(reports, string(b.entry.settings.VM))
	b.setRate(now, document)
}

// setRate sets the planned and measured rate of the own zone. The load balancer
// distributes callers evenly, so the zone's rate is estimated as this entry's
// rate times the number of entries in the zone.
func (b *balancer) setRate(now time.Time, document *rtdocument.Document) {
	own := b.entry.settings.Zone
	if now.Sub(b.countedAt) >= entryCountInterval {
		b.countedAt = now
		b.zoneEntries = max(1, b.entry.node.LiveEntries(own))
	}
	measured := b.localRequests.Rate(now) * float64(b.zoneEntries)
	for i := range document.Zones {
		if document.Zones[i].Name == own {
			b.pool.SetRate(own, document.Zones[i].Capacity[b.service], measured)
		}
	}
}

// dumpState returns the balancer's part of the dump.
func (b *balancer) dumpState() serviceState {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := serviceState{Spilling: b.spill.Active(), LocalRate: b.localRequests.Rate(time.Now())}
	if b.pool != nil {
		state.Targets = b.pool.Len()
	}
	return state
}

// markAccepted records that the target has accepted the work.
func (p placement) markAccepted() {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	p.balancer.inFlight.MarkAccepted(p.view.Target, p.offerNumber, time.Now())
}

// markEnded removes the record of work that has ended.
func (p placement) markEnded() {
	p.notifyChooser()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	p.balancer.inFlight.Remove(p.view.Target, p.offerNumber)
}

// markRefused removes the record of refused work and forces a rebuild of the
// pool, so that the next decision uses the status that came with the refusal.
func (p placement) markRefused() {
	p.notifyChooser()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	p.balancer.inFlight.Remove(p.view.Target, p.offerNumber)
	p.balancer.builtAt = time.Time{}
}

// reportOf converts an agent's view to the report that placement uses.
func reportOf(view rtnode.AgentView) rtroute.Report {
	load := view.Status.GetLoad()
	return rtroute.Report{
		Target:        view.Target,
		Zone:          view.Zone,
		Alive:         view.Alive,
		Draining:      view.Draining,
		Ready:         view.Status.GetReady(),
		QueuedTokens:  rtid.Tokens(load.GetQueued()),
		PrefillTokens: rtid.Tokens(load.GetPrefill()),
		Running:       int(load.GetRunning()),
		Limit:         int(load.GetLimit()),
		Slots:         int(load.GetSlots()),
		PrefillRate:   load.GetRate(),
		UsedMemory:    rtid.Tokens(load.GetUsed()),
		TotalMemory:   rtid.Tokens(load.GetTotal()),
	}
}
