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
	// zoneDelay is what a target in another availability zone costs, there and
	// back (brief: a few milliseconds one way).
	zoneDelay = 10 * time.Millisecond
	// coldMargin is the part of the bound on a cold target that processes use
	// together.
	coldMargin = 0.8
	// tellPart is a read that other processes should know of before their next
	// placement: longer than the pause of one pass.
	tellPart = 60 * time.Millisecond
)

// chosen is where a request goes, and whether now.
type chosen struct {
	rtplacement.ScheduleResult
	flight *rtplacement.InFlightRequest // must be ended; nil unless the request is sent
}

// choose decides where to send a request, and whether now. It reports false if
// no target may take it.
func (g *Gateway) choose(q *request, tried []rtid.Target) (chosen, bool) {
	view := g.views.View()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := g.candidates(view, g.ownEngines(view, q.service), q.service, tried, now)
	if len(candidates) == 0 {
		// The cell has no target left, as when it lost its availability zone.
		candidates = g.candidates(view, view.Instances(q.service.Name), q.service, tried, now)
	}
	work := q.work
	work.Waited = now.Sub(q.arrived)
	var found chosen
	var ok bool
	if q.service.Engine != nil {
		found.ScheduleResult, ok = g.schedulerOf(q.service.Name).Decide(q.service.Engine, work, candidates, g.peers.LiveInCell(), now)
	} else {
		found.Placement, ok = rtplacement.PlaceOnService(candidates)
	}
	if !ok || found.Decision != rtplacement.Send {
		return found, ok
	}
	g.startsOf(found.Target.ID).Add(now)
	if found.PartPrefill >= tellPart {
		g.placed()
	}
	found.flight = g.book.Start(found.Placement, q.work, now)
	return found, true
}

// candidates returns the targets that may take a request. Targets under
// suspicion are used only where there is no other. The caller holds mu.
func (g *Gateway) candidates(view *rtcatalog.View, instances []*rtcatalog.Instance, service *rtcatalog.Service,
	tried []rtid.Target, now time.Time) []rtplacement.Candidate {
	var trusted, doubted []rtplacement.Candidate
	for _, instance := range instances {
		if !view.Usable(instance) || slices.Contains(tried, instance.ID) || !g.withinRate(service, instance, now) {
			continue
		}
		candidate := rtplacement.Candidate{
			Instance: instance,
			Load:     g.book.Load(instance.ID, now),
			Hash:     hash(instance.ID),
			TieBreak: rand.Uint32(),
		}
		if instance.Zone != g.settings.Zone {
			candidate.RoundTrip = zoneDelay
		}
		s := g.suspects[instance.ID]
		switch {
		case now.Before(s.until) && s.gone:
		case now.Before(s.until):
			doubted = append(doubted, candidate)
		default:
			trusted = append(trusted, candidate)
		}
	}
	if len(trusted) == 0 {
		return doubted
	}
	return trusted
}

// ownEngines are the instances of a service that belong to the cell of this
// process, by the view and the cell that they were taken from.
type ownEngines struct {
	view      *rtcatalog.View
	cell      rtplacement.Cell
	instances []*rtcatalog.Instance
}

// ownEngines returns the targets of a service that this process chooses from:
// its cell's share of engines, and all of a service without prompts. The caller
// holds mu.
func (g *Gateway) ownEngines(view *rtcatalog.View, service *rtcatalog.Service) []*rtcatalog.Instance {
	cell := g.peers.Cell()
	if service.Engine == nil || cell.Count <= 1 {
		return view.Instances(service.Name)
	}
	own := g.own[service.Name]
	if own.view != view || own.cell != cell {
		own = ownEngines{view: view, cell: cell, instances: cell.Engines(view.Instances(service.Name), hash)}
		g.own[service.Name] = own
	}
	return own.instances
}

// withinRate reports whether one more request is within this process's part
// of what a cold target bears. It holds for every target, because a warm one
// may turn cold at any moment. The caller holds mu.
func (g *Gateway) withinRate(service *rtcatalog.Service, instance *rtcatalog.Instance, now time.Time) bool {
	if service.ColdRate <= 0 {
		return true
	}
	whole := coldMargin * (service.ColdRate*g.bounds.ColdFactor + g.bounds.ColdSlack)
	part := max(1, int(whole/float64(max(1, g.peers.BudgetProcesses()))))
	return g.startsOf(instance.ID).Count(now) < part
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

// startsOf returns the recent sends to a target. The caller holds mu.
func (g *Gateway) startsOf(target rtid.Target) *rtlimit.Window {
	window := g.starts[target]
	if window == nil {
		window = &rtlimit.Window{Span: time.Second}
		g.starts[target] = window
	}
	return window
}
