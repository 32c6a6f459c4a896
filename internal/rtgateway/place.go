package rtgateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

const (
	// zoneRoundTrip is the round trip time to a target in another availability
	// zone (specified as a few milliseconds one way).
	zoneRoundTrip = 10 * time.Millisecond
	// coldRateShare is the part of the rate limit of a cold target that all
	// processes together use.
	coldRateShare = 0.8
	// coldWindow is the span in which the requests to a cold target count.
	coldWindow = time.Second
	// restartsInWindow is how often a process may start within coldWindow while all
	// processes together keep the limit.
	restartsInWindow = 2
	// announcedPart is the prefill time from which peers should know of a part
	// before their next placement: longer than one pass without prefill.
	announcedPart = 60 * time.Millisecond
)

// scheduled is where a request goes and whether to send it now.
type scheduled struct {
	rtplacement.ScheduleResult
	inFlight *rtplacement.InFlightRequest // must be finished; nil unless the request is sent
	places   limitPlaces                  // of usable targets that limit their rate
	// backoff is the time until the first target takes requests again, if there are
	// only targets that want none; 0 if one of the others may become usable.
	backoff time.Duration
	// shareWait is the time until this process may send to the first of the targets
	// to which its share of the cold rate allows less than one request a second; 0 for
	// no such target.
	shareWait time.Duration
	held      bool // it could be sent, but leaves the room to other organisations
}

// place decides where the work of a request goes and whether to send it now. It
// reports false if no target may receive it.
func (g *Gateway) place(q *request, work rtplacement.Work, tried []rtid.Target) (scheduled, bool) {
	view := g.views.View()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var placed scheduled
	short := q.service.Engine != nil && work.Interactive()
	candidates, kept := g.candidates(view, g.cellInstances(view, q.service), q.service, tried, short, now)
	if len(candidates) == 0 {
		// The cell has no usable target, for example after the loss of its
		// availability zone.
		candidates, kept = g.candidates(view, view.Instances(q.service.Name), q.service, tried, short, now)
	}
	placed.places, placed.shareWait = kept.places, kept.share
	if len(candidates) == 0 && !kept.other {
		placed.backoff = kept.backoff
	}
	var ok bool
	if q.service.Engine != nil {
		placed.ScheduleResult, ok = g.forecastingScheduler(view, q.service.Name).Decide(q.service.Engine, work, candidates, g.peers.LiveInCell(), now)
	} else {
		placed.Placement, ok = rtplacement.PlaceOnService(candidates)
	}
	if !ok || placed.Decision != rtplacement.Send {
		return placed, ok
	}
	if g.holds(q, work, placed, len(tried) == 0, now) {
		placed.Decision, placed.held = rtplacement.Wait, true
		return placed, true
	}
	g.recordUse(q, now)
	g.recentSendsOf(placed.Target.ID).Add(now)
	g.rateLimits.Take(placed.Target.Incarnation(), g.peers.Share(limitKey(placed.Target.ID)), now)
	if placed.PartPrefill >= announcedPart {
		g.onNews()
	}
	placed.inFlight = g.loads.Start(placed.Placement, q.work, now)
	return placed, true
}

// keptOut says what keeps usable targets of a service from a request for now.
type keptOut struct {
	places  limitPlaces   // waits for the targets that only their rate limit keeps out
	backoff time.Duration // until the first target takes requests that wants none; 0 for no such target
	other   bool          // some are kept out by something else that passes soon
	share   time.Duration // until the first target may get a request from this process, of those that only the cold rate keeps out; 0 for no such target
}

// candidates returns the targets that may receive a request now, and the engines that
// may help with it. Targets in cooldown are returned only if no other may receive it. It
// also returns what keeps the others out. The caller holds mu.
func (g *Gateway) candidates(view *rtcatalog.View, instances []*rtcatalog.Instance, service *rtcatalog.Service,
	tried []rtid.Target, short bool, now time.Time) ([]rtplacement.Candidate, keptOut) {
	healthy, coolingDown, kept := g.usable(view, instances, service, tried, short, now)
	if !slices.ContainsFunc(healthy, rtplacement.Candidate.MayBeTarget) {
		return slices.DeleteFunc(coolingDown, func(c rtplacement.Candidate) bool { return c.HelperOnly }), kept
	}
	return healthy, kept
}

// usable returns the targets that may receive a request or a part of one now, those in
// cooldown apart. Targets that have been replaced, that are leaving or that want no
// requests are in neither. It also returns what keeps the others out. The caller holds
// mu.
func (g *Gateway) usable(view *rtcatalog.View, instances []*rtcatalog.Instance, service *rtcatalog.Service,
	tried []rtid.Target, short bool, now time.Time) (healthy, coolingDown []rtplacement.Candidate, kept keptOut) {
	outliers := g.outlyingTargets(view, service, now)
	for _, instance := range instances {
		g.forgetPredecessor(instance)
		instance = g.atAddress(view, instance, now)
		if !view.Usable(instance) || g.leaves.Leaving(instance.Incarnation()) {
			continue
		}
		if backoff := g.backoffs.Remaining(instance.Incarnation(), now); backoff > 0 {
			if kept.backoff == 0 || backoff < kept.backoff {
				kept.backoff = backoff
			}
			continue
		}
		if slices.Contains(tried, instance.ID) {
			continue
		}
		// Parts of prompts are no requests, so a cold target takes them from everybody.
		helperOnly := !g.withinColdRate(service, instance, now)
		if helperOnly {
			kept.other = true
			kept.addShareWait(g.coldShareWait(service, instance, now))
			if service.Engine == nil {
				continue
			}
		}
		wait, limited := g.limitWait(instance, short, now)
		if wait > 0 {
			kept.other = true
			if !helperOnly && !now.Before(g.cooldowns[instance.ID].until) {
				kept.places = append(kept.places, wait)
			}
			continue
		}
		candidate := rtplacement.Candidate{
			Instance:   instance,
			Load:       g.loads.Load(instance.ID, now),
			Hash:       targetHash(instance.ID),
			TieBreak:   rand.Uint32(),
			Limited:    limited,
			HelperOnly: helperOnly,
			Refuses:    g.helperRefusals.Refused(instance.Incarnation(), now),
		}
		if instance.Zone != g.settings.Zone {
			candidate.RoundTrip = zoneRoundTrip
		}
		c := g.cooldowns[instance.ID]
		switch {
		case now.Before(c.until) && c.replaced:
		case now.Before(c.until) || isOutlier(outliers, instance):
			coolingDown = append(coolingDown, candidate)
		default:
			healthy = append(healthy, candidate)
		}
	}
	return healthy, coolingDown, kept
}

// atAddress returns the instance that has the address of a listed one: the listed one,
// unless the target at the address has said that it is another one. The caller holds
// mu.
func (g *Gateway) atAddress(view *rtcatalog.View, listed *rtcatalog.Instance, now time.Time) *rtcatalog.Instance {
	for instance := listed; instance != nil; instance = view.Earlier(instance) {
		if c := g.cooldowns[instance.ID]; !c.replaced || !now.Before(c.until) {
			return instance
		}
	}
	return listed
}

// cellEngines caches the instances of a service that belong to the cell of
// this process. It is valid for one view and one cell.
type cellEngines struct {
	view      *rtcatalog.View
	cell      rtplacement.Cell
	instances []*rtcatalog.Instance
}

// cellInstances returns the instances of a service that this process selects
// from: the engines of its cell, or all instances of a plain service. The
// caller holds mu.
func (g *Gateway) cellInstances(view *rtcatalog.View, service *rtcatalog.Service) []*rtcatalog.Instance {
	cell := g.peers.Cell()
	if service.Engine == nil || cell.Count <= 1 {
		return view.Instances(service.Name)
	}
	cached := g.cellEngines[service.Name]
	if cached.view != view || cached.cell != cell {
		cached = cellEngines{view: view, cell: cell, instances: cell.Engines(view.Instances(service.Name), targetHash)}
		g.cellEngines[service.Name] = cached
	}
	return cached.instances
}

// withinColdRate reports whether one more request is within this process's
// part of the rate limit of a cold target. The limit applies to every target,
// because a warm one may become cold at any moment. A process that has just started
// limits itself further at targets that say that they are cold; doing so at all
// targets would leave callers without service after a loss of all processes. The
// caller holds mu.
func (g *Gateway) withinColdRate(service *rtcatalog.Service, instance *rtcatalog.Instance, now time.Time) bool {
	if service.ColdRate <= 0 {
		return true
	}
	bound := g.coldBound(service)
	limit := coldLimit(bound, g.coldAtStart(instance, now))
	sent := g.recentSendsOf(instance.ID).CountWithin(coldWindow, now)
	processes := max(1, g.peers.BudgetProcesses())
	if limit%processes == 0 || sent != limit/processes {
		// The rank, which is costly, does not matter.
		return sent < limit/processes
	}
	return sent < g.coldPart(instance, limit, bound, now)
}

// coldLimit returns how many requests all processes together may send, within
// coldWindow, to a target that may be cold and bears the allowed number. Processes that
// run use coldRateShare of it. The predecessor of one that has just started may have
// used its part within the same window, so those use a part of the rest.
func coldLimit(allowed float64, justStarted bool) int {
	limit := max(int(coldRateShare*allowed), min(1, int(allowed)))
	if justStarted {
		return (int(allowed) - limit) / restartsInWindow
	}
	return limit
}

// schedulerOf returns the scheduler of a service. The caller holds mu.
func (g *Gateway) schedulerOf(service rtid.Service) *rtplacement.Scheduler {
	scheduler := g.schedulers[service]
	if scheduler == nil {
		scheduler = &rtplacement.Scheduler{}
		g.schedulers[service] = scheduler
	}
	return scheduler
}

// recentSendsOf returns the window of requests sent to a target in the last
// rtlimit.TargetWindow. The caller holds mu.
func (g *Gateway) recentSendsOf(target rtid.Target) *rtlimit.Window {
	window := g.recentSends[target]
	if window == nil {
		window = &rtlimit.Window{Span: rtlimit.TargetWindow}
		g.recentSends[target] = window
	}
	return window
}
