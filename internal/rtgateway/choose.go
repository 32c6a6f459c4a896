package rtgateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// suspicion is a target that failed, and until when it is avoided.
type suspicion struct {
	until    time.Time
	failures int
	firm     bool // answers do not end it
	gone     bool // it is not used even where there is no other
}

const (
	// firstSuspicion and lastSuspicion bound how long a target is avoided after
	// failures in a row; it doubles in between.
	firstSuspicion = 300 * time.Millisecond
	lastSuspicion  = 4 * time.Second
	// leavingTime is how long a target is avoided that refuses to help others:
	// it leaves and is served out, which the store shows a little later.
	leavingTime = 3 * time.Second
	// goneTime is how long it is kept in mind that a target is gone; its entry
	// lapses after three heartbeats (some seconds).
	goneTime = 30 * time.Second
	// hearsayTime bounds how long the word of a peer makes a target avoided, and
	// knownTime is the age of an own answer that goes before it.
	hearsayTime = 500 * time.Millisecond
	knownTime   = 300 * time.Millisecond
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
	rtplacement.Verdict
	flight *rtplacement.Flight // must be ended; nil unless the request is sent
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
		found.Verdict, ok = g.schedulerOf(q.service.Name).Decide(q.service.Engine, work, candidates, g.peers.Alive(), now)
	} else {
		found.Choice, ok = rtplacement.Plain(candidates)
	}
	if !ok || found.Decision != rtplacement.Send {
		return found, ok
	}
	g.startsOf(found.Target.ID).Add(now)
	if found.Part >= tellPart {
		g.placed()
	}
	found.flight = g.book.Begin(found.Choice, q.work, now)
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
			Order:    hash(instance.ID),
			Rank:     rand.Uint32(),
		}
		if instance.Zone != g.settings.Zone {
			candidate.Away = zoneDelay
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
	part := max(1, int(whole/float64(max(1, g.peers.Processes()))))
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

// suspect avoids a target for a while.
func (g *Gateway) suspect(target rtid.Target, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := g.suspects[target]
	s.failures++
	pause := firstSuspicion << min(s.failures-1, 4)
	s.until = now.Add(min(pause, lastSuspicion))
	g.suspects[target] = s
	g.log.Info("Target avoided.", "target", target, "reason", reason, "failures", s.failures, "for", s.until.Sub(now).String())
}

// blame avoids the helper that a target has named as the reason of its refusal,
// by id or address. It reports false if no helper is named.
func (g *Gateway) blame(fault string, choice rtplacement.Choice) bool {
	for _, helper := range choice.Helpers {
		if fault != "" && (fault == string(helper.ID) || fault == string(helper.Address)) {
			g.avoid(helper.ID, suspicion{until: time.Now().Add(leavingTime), failures: 1, firm: true}, "refuses to help")
			return true
		}
	}
	return false
}

// avoid sets a suspicion.
func (g *Gateway) avoid(target rtid.Target, s suspicion, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects[target] = s
	g.log.Info("Target avoided.", "target", target, "reason", reason, "for", time.Until(s.until).String())
}

// leave avoids a target for good whose address another one has: a start of a
// target never comes back.
func (g *Gateway) leave(target rtid.Target) {
	g.avoid(target, suspicion{until: time.Now().Add(goneTime), failures: 1, firm: true, gone: true}, "another target has the address")
}

// Suspects returns the targets that this process has found to fail itself, and
// for how long it avoids them.
func (g *Gateway) Suspects() map[rtid.Target]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.forget(now)
	suspects := make(map[rtid.Target]time.Duration)
	for target, s := range g.suspects {
		if s.failures > 0 && s.until.After(now) {
			suspects[target] = s.until.Sub(now)
		}
	}
	return suspects
}

// forget drops what is known of targets that have not been used for a while, so
// that replaced ones take no memory. The caller holds mu.
func (g *Gateway) forget(now time.Time) {
	maps.DeleteFunc(g.suspects, func(_ rtid.Target, s suspicion) bool { return now.Sub(s.until) > goneTime })
	maps.DeleteFunc(g.heard, func(_ rtid.Target, heard time.Time) bool { return now.Sub(heard) > goneTime })
	maps.DeleteFunc(g.starts, func(_ rtid.Target, starts *rtlimit.Window) bool { return starts.Count(now) == 0 })
}

// Avoid avoids targets that a peer has found to fail, unless this process knows
// better: it has found so itself, or has just been answered by the target.
func (g *Gateway) Avoid(targets map[rtid.Target]time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for target, left := range targets {
		if g.suspects[target].until.After(now) || now.Sub(g.heard[target]) < knownTime {
			continue
		}
		g.suspects[target] = suspicion{until: now.Add(min(left, hearsayTime))}
	}
}

// hear records that a target has answered.
func (g *Gateway) hear(target rtid.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.heard[target] = now
	if s := g.suspects[target]; !s.firm || now.After(s.until) {
		delete(g.suspects, target)
	}
}

// heardSince reports whether a target has sent anything since t.
func (g *Gateway) heardSince(target rtid.Target, t time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heard[target].After(t)
}

// countRequest counts a request for the retry budget of its service.
func (g *Gateway) countRequest(service rtid.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryShare(service).Request(time.Now())
}

// takeRetry reports whether one more send of a request is within the budget.
func (g *Gateway) takeRetry(service rtid.Service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	share := g.retryShare(service)
	share.Processes = g.peers.Processes()
	return share.Take(time.Now())
}

// retryShare returns the retry budget of a service. The caller holds mu.
func (g *Gateway) retryShare(service rtid.Service) *rtlimit.RetryShare {
	share := g.retries[service]
	if share == nil {
		share = &rtlimit.RetryShare{Ratio: g.bounds.RetryRatio, Allowance: g.bounds.RetryAllowance}
		share.Start(g.bounds.RetryWindow, g.started)
		g.retries[service] = share
	}
	return share
}
