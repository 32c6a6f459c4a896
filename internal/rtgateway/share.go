package rtgateway

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rtshare"
)

const (
	// plainTime is what a request of a plain service counts as. Only relations within a
	// service matter.
	plainTime = time.Millisecond
	// missedRounds is after how many intervals a waiting request is tried without its
	// turn.
	missedRounds = 2
	// maxShareTags is how many organisations metrics name; the others are counted
	// together.
	maxShareTags  = rtshare.MaxReported
	otherShareTag = "others"
)

// sharing is the state of fair sharing among organisations. Gateway.mu guards it.
type sharing struct {
	ledger rtshare.Ledger
	queues map[rtid.Service]*rtshare.Queue
	tags   map[rtid.Organisation]bool // organisations that metrics name
}

// queueOf returns the queue of a service.
func (s *sharing) queueOf(service rtid.Service) *rtshare.Queue {
	queue := s.queues[service]
	if queue == nil {
		queue = &rtshare.Queue{}
		if s.queues == nil {
			s.queues = make(map[rtid.Service]*rtshare.Queue)
		}
		s.queues[service] = queue
	}
	return queue
}

// sharesName returns the organisation of a request for its share.
func (q *request) sharesName() rtid.Organisation {
	if q.organisation == nil {
		return rtshare.Public
	}
	return q.organisation.Name
}

// engineTime returns the engine time that a request takes.
func (q *request) engineTime() time.Duration {
	if q.service.Engine == nil {
		return plainTime
	}
	return rtplacement.EngineTime(q.service.Engine, q.work.Prompt)
}

// sharesOn reports whether organisations share what a request asks for.
func (g *Gateway) sharesOn(q *request) bool {
	return q.service != nil && g.features(q.view).Shares.Enabled
}

// usageOn reports whether the usage of organisations is recorded: shares and the times at
// which refused callers return follow from it.
func (g *Gateway) usageOn(q *request) bool {
	if q.service == nil {
		return false
	}
	features := g.features(q.view)
	return features.Shares.Enabled || features.Returns.Enabled
}

// standing returns how the organisation of a request stands. The caller holds mu.
func (g *Gateway) standing(service rtid.Service, organisation rtid.Organisation, configuration *rtcatalog.Configuration, now time.Time) rtshare.Standing {
	snapshot := g.sharing.ledger.Snapshot(service, configuration.Weight, now)
	return snapshot.Of(organisation, configuration.Weight(organisation))
}

// holds reports whether a request that could be sent now leaves the room to others. The
// caller holds mu.
func (g *Gateway) holds(q *request, work rtplacement.Work, placed scheduled, first bool, now time.Time) bool {
	if !g.sharesOn(q) || work.Begun || !first || !g.sharing.ledger.Scarce(q.service.Name, now) {
		return false
	}
	organisation := q.sharesName()
	standing := g.standing(q.service.Name, organisation, q.view.Configuration, now)
	if !standing.Over() {
		return false
	}
	offer := rtshare.Offer{
		Waited:    work.Waited,
		LatestSLO: min(work.LatencySLO, work.AbandonTimeout) / 2,
		Full:      placed.Target.Slots > 0 && placed.Requests >= float64(placed.Target.Slots),
	}
	if q.service.Engine != nil && work.Interactive() {
		// Long prompts wait for the engines of another pool, so their wait and their
		// backlog are no reason to hold a short prompt.
		return rtshare.Hold(offer, false)
	}
	if q.service.Engine != nil {
		offer.Backlog = max(placed.PrefillBacklog, placed.LongPool.PrefillBacklog)
		offer.Allowed = placed.AllowedBacklog()
		// Half of the time that is left is kept for predictions that are too low.
		offer.LatestSLO = (placed.LatestInTime(work) - admitInterval) / 2
	}
	waiter := &rtshare.Waiter{Rank: q.priority(), Organisation: organisation}
	return rtshare.Hold(offer, g.sharing.queueOf(q.service.Name).OthersWait(waiter))
}

// recordUse records that a request is sent. The caller holds mu.
func (g *Gateway) recordUse(q *request, now time.Time) {
	if !g.usageOn(q) {
		return
	}
	organisation, engineTime := q.sharesName(), q.engineTime()
	g.sharing.ledger.Add(q.service.Name, organisation, engineTime, now)
	g.metrics.Scope.Tagged(g.shareTags(q, now)).Counter("organisation_engine_ms").Inc(max(1, engineTime.Milliseconds()))
}

// shareTags returns the metric tags of a request's organisation. At most maxShareTags
// organisations are named, those that were among the largest first. The caller holds mu.
func (g *Gateway) shareTags(q *request, now time.Time) map[string]string {
	organisation := q.sharesName()
	if !g.sharing.tags[organisation] && len(g.sharing.tags) < maxShareTags {
		for _, largest := range g.sharing.ledger.Snapshot(q.service.Name, q.view.Configuration.Weight, now).Largest() {
			if largest == organisation {
				if g.sharing.tags == nil {
					g.sharing.tags = make(map[rtid.Organisation]bool)
				}
				g.sharing.tags[organisation] = true
			}
		}
	}
	if !g.sharing.tags[organisation] {
		return map[string]string{"organisation": otherShareTag}
	}
	return map[string]string{"organisation": string(organisation)}
}

// turn is the place of a delivery in the queue of requests that wait.
type turn struct {
	waiter *rtshare.Waiter // nil before the request waits
	wake   chan struct{}   // capacity 1; signalled when it is the request's turn
	tried  time.Time       // when the request was last tried
}

// placeInTurn is Gateway.place for a new request, in the order in which the organisations'
// requests are tried. A request behind others that lack room is not tried before them.
func (d *delivery) placeInTurn(work rtplacement.Work) (scheduled, bool) {
	g, q := d.gateway, d.request
	if work.Begun || len(d.tried) > 0 || !g.sharesOn(q) {
		return g.place(q, work, d.tried)
	}
	if d.turn.waiter == nil && !work.Interactive() && d.joinBehind() {
		return scheduled{ScheduleResult: rtplacement.ScheduleResult{Decision: rtplacement.Wait}}, true
	}
	placed, ok := g.place(q, work, d.tried)
	if ok && placed.Decision != rtplacement.Wait {
		d.leaveTurns()
		return placed, ok
	}
	// A request for which there is no target at all, as after a start, lacks no capacity.
	d.waitTurn(ok && !placed.held || len(placed.places) > 0)
	return placed, ok
}

// joinBehind adds the request to the queue if others are to be tried before it, and
// reports whether it did.
func (d *delivery) joinBehind() bool {
	g, q, now := d.gateway, d.request, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	queue := g.sharing.queueOf(q.service.Name)
	if queue.Len() == 0 {
		return false
	}
	waiter := d.newWaiter(now)
	if !queue.Ahead(waiter) {
		return false
	}
	d.turn = turn{waiter: waiter, wake: d.turn.wake, tried: now}
	queue.Join(waiter)
	return true
}

// newWaiter returns the request as one that waits. The caller holds mu.
func (d *delivery) newWaiter(now time.Time) *rtshare.Waiter {
	q := d.request
	wake := make(chan struct{}, 1)
	d.turn.wake = wake
	return &rtshare.Waiter{
		Rank: q.priority(), Organisation: q.sharesName(), Arrived: q.arrived,
		Standing: d.gateway.standing(q.service.Name, q.sharesName(), q.view.Configuration, now),
		Wake: func() {
			select {
			case wake <- struct{}{}:
			default:
			}
		},
	}
}

// waitTurn records that the request was tried and waits, for lack of room or for another
// reason, and passes its turn on.
func (d *delivery) waitTurn(lacking bool) {
	g, q, now := d.gateway, d.request, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.turn.waiter == nil {
		d.turn.waiter = d.newWaiter(now)
		g.metrics.Scope.Tagged(g.shareTags(q, now)).Counter("organisation_waits").Inc(1)
	}
	d.turn.tried = now
	d.turn.waiter.Lacking = lacking
	if lacking {
		g.sharing.ledger.Lack(q.service.Name, q.sharesName(), now)
	}
	queue := g.sharing.queueOf(q.service.Name)
	queue.Join(d.turn.waiter)
	wake(queue.Tried(d.turn.waiter, now))
}

// leaveTurns removes the request from the queue, if it is there, and passes its turn on.
func (d *delivery) leaveTurns() {
	if d.turn.waiter == nil {
		return
	}
	g := d.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	wake(g.sharing.queueOf(d.request.service.Name).Leave(d.turn.waiter, time.Now()))
	d.turn.waiter = nil
}

// ownTurn begins a round of turns if it is time for one, and reports whether the request
// is to be tried now: it has the first turn, or has got none for too long.
func (d *delivery) ownTurn() bool {
	if d.turn.waiter == nil {
		return true
	}
	g, now := d.gateway, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	service, configuration := d.request.service.Name, d.request.view.Configuration
	next := g.sharing.queueOf(service).Begin(now, func(organisation rtid.Organisation) rtshare.Standing {
		return g.standing(service, organisation, configuration, now)
	})
	if next == d.turn.waiter || now.Sub(d.turn.tried) >= missedRounds*admitInterval {
		return true
	}
	wake(next)
	return false
}

// wake tells a request that it is its turn, if there is one.
func wake(waiter *rtshare.Waiter) {
	if waiter != nil {
		waiter.Wake()
	}
}

// noteRefusal records a refusal for lack of capacity. It adds no usage, so that a caller
// that returns at once gains and loses nothing.
func (g *Gateway) noteRefusal(q *request, r *refusal) {
	if !lackReasons[r.reason] || !g.usageOn(q) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sharing.ledger.Lack(q.service.Name, q.sharesName(), now)
	g.metrics.Scope.Tagged(g.shareTags(q, now)).Counter("organisation_refusals").Inc(1)
}

// lackReasons are the reasons of refusals for lack of capacity.
var lackReasons = map[string]bool{
	"overloaded": true, "no room in time": true, "target refused": true, "no memory for the prompt": true, reasonRateLimit: true,
}

// organisationFields returns log fields about who sent a request: the organisation, and
// how it stands where fair shares decide because capacity is scarce.
func (g *Gateway) organisationFields(q *request) []any {
	var name rtid.Organisation // empty before it is known, and on public routes
	if q.organisation != nil {
		name = q.organisation.Name
	}
	fields := []any{"organisation", name}
	if !g.sharesOn(q) {
		return fields
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.sharing.ledger.Scarce(q.service.Name, now) {
		return fields
	}
	standing := g.standing(q.service.Name, q.sharesName(), q.view.Configuration, now)
	return append(fields, "use", standing.Use.String(), "share", standing.Share.String())
}

// Uses returns what organisations have used through this process of services with scarce
// capacity, for its peers.
func (g *Gateway) Uses(most int) []rtshare.Use {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sharing.ledger.Report(most, time.Now())
}

// ScarceServices returns the services whose capacity is scarce in this process.
func (g *Gateway) ScarceServices() []rtid.Service {
	g.mu.Lock()
	defer g.mu.Unlock()
	scarce := g.sharing.ledger.ScarceHere(time.Now())
	if features := g.settings.Features; features.Shares.Enabled || features.Returns.Enabled {
		g.metrics.Scope.Gauge("scarce_services").Update(float64(len(scarce)))
	}
	return scarce
}

// SetPeerUses records what a peer reports.
func (g *Gateway) SetPeerUses(peer rtid.VM, uses []rtshare.Use, scarce []rtid.Service) {
	if features := g.settings.Features; !features.Shares.Enabled && !features.Returns.Enabled {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sharing.ledger.SetPeer(peer, uses, scarce, time.Now())
}
