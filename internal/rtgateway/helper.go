package rtgateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdelivery"
	"github.com/rhubarbtally/rhubarbtally/internal/rthelper"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// noReplacement is logged for a helper whose part goes to the others.
const noReplacement = "none"

// heldMemory is the memory that is reserved for an attempt and for those that follow it
// with another helper.
type heldMemory struct {
	reserved []*reservation
	renewal  *rttask.Task // nil without reservations
}

// holdMemory reserves memory for a prompt and renews it, unless the previous attempt has
// left its memory to this one.
func (d *delivery) holdMemory(ctx context.Context, placement rtplacement.Placement, inFlight *rtplacement.InFlightRequest) ([]*reservation, error) {
	if d.held != nil {
		return d.held.reserved, nil
	}
	reserved, err := d.reserve(ctx, placement, inFlight)
	if err != nil {
		return nil, err
	}
	d.held = &heldMemory{reserved: reserved, renewal: d.renew(reserved)}
	return reserved, nil
}

// releaseUnlessReplaced releases the memory of an attempt, unless the next one uses it.
func (d *delivery) releaseUnlessReplaced() {
	if d.replaced != nil || d.held == nil {
		return
	}
	held := d.held
	d.held = nil
	held.stopRenewal()
	d.release(held.reserved)
}

// stopRenewal stops renewing, and returns when no renewal is under way.
func (h *heldMemory) stopRenewal() {
	if h.renewal != nil {
		_ = h.renewal.Stop() // it logs its errors itself
	}
}

// takeNext returns the next attempt, if the last one has prepared it.
func (d *delivery) takeNext() (scheduled, bool) {
	if next, ok := d.takeSuccessor(); ok {
		return next, true
	}
	return d.takeReplaced()
}

// takeReplaced returns the last attempt with another helper, if any. The caller makes the
// attempt.
func (d *delivery) takeReplaced() (scheduled, bool) {
	if d.replaced == nil {
		return scheduled{}, false
	}
	next := *d.replaced
	d.replaced = nil
	return next, true
}

// dropReplaced ends the last attempt if no other one may follow it.
func (d *delivery) dropReplaced() {
	if next, ok := d.takeReplaced(); ok {
		d.gateway.finish(next.inFlight)
		d.releaseUnlessReplaced()
	}
}

// helperAtFault returns the helper that a target has named, by ID or address, as the
// reason of its refusal; nil if it has named none.
func (d *delivery) helperAtFault(fault string, placement rtplacement.Placement) *rtcatalog.Instance {
	if fault == "" {
		return nil
	}
	for _, helper := range d.hosts(placement) {
		if fault == string(helper.ID) || fault == string(helper.Address) {
			return helper
		}
	}
	return nil
}

// hosts returns the helpers of an attempt and the engines that hold memory for it.
func (d *delivery) hosts(placement rtplacement.Placement) []*rtcatalog.Instance {
	hosts := slices.Clone(placement.Helpers)
	if d.held != nil {
		for _, r := range d.held.reserved {
			if !slices.ContainsFunc(hosts, func(h *rtcatalog.Instance) bool { return h.ID == r.memory.Target.ID }) {
				hosts = append(hosts, r.memory.Target)
			}
		}
	}
	return hosts
}

// helperRefused records that a helper has refused and prepares the next attempt: the same
// one with another helper. If that is not possible, the request is placed anew.
func (d *delivery) helperRefused(ctx context.Context, helper *rtcatalog.Instance, placement rtplacement.Placement,
	inFlight *rtplacement.InFlightRequest, guard *watchdog, sent time.Time) result {
	held := slices.IndexFunc(d.held.reserved, func(r *reservation) bool { return r.memory.Target.ID == helper.ID })
	d.gateway.recordHelperRefusal(d.request, helper, held >= 0, sent)
	refused := result{outcome: rtdelivery.HelperRefused, detail: "refused because of helper " + string(helper.ID)}
	guard.stop() // it may reserve another target, which is then the next one
	if d.successor != nil || ctx.Err() != nil || !d.gateway.retryAvailable(d.request.service.Name) {
		return refused
	}
	memory := rtid.Tokens(0)
	if held >= 0 {
		memory = d.held.reserved[held].memory.Tokens
	}
	taken := []rtid.Target{placement.Target.ID}
	for _, host := range d.hosts(placement) {
		taken = append(taken, host.ID)
	}
	if held >= 0 {
		taken = append(taken, d.withoutMemory...)
	}
	next, substitute, ok := d.gateway.replaceHelper(d.request, placement, helper, taken, memory, inFlight)
	if !ok || held >= 0 && !d.moveMemory(ctx, held, substitute, inFlight) {
		return refused
	}
	replaced := d.scheduled
	replaced.Placement = next
	d.replaced = &replaced
	refused.replaced = noReplacement
	if substitute != nil {
		refused.replaced = string(substitute.ID)
	}
	d.gateway.countReplacement(substitute != nil)
	return refused
}

// countReplacement counts an attempt that is repeated without a helper.
func (g *Gateway) countReplacement(substituted bool) {
	by := noReplacement
	if substituted {
		by = "helper"
	}
	g.metrics.Scope.Tagged(map[string]string{"by": by}).Counter("helper_replacements").Inc(1)
}

// moveMemory reserves the memory of one reservation at another engine. It reports false
// if that engine has too little.
func (d *delivery) moveMemory(ctx context.Context, held int, to *rtcatalog.Instance, inFlight *rtplacement.InFlightRequest) bool {
	planned := []rtplacement.Reservation{{Target: to, Tokens: d.held.reserved[held].memory.Tokens}}
	d.moves++
	moved, err := d.reserveAt(ctx, planned, fmt.Sprintf("%s-%d-m%d", d.request.info.ID, len(d.tried), d.moves))
	if err != nil {
		return false
	}
	d.held.stopRenewal()
	d.release(d.held.reserved[held : held+1])
	reserved := slices.Clone(d.held.reserved)
	reserved[held] = moved[0]
	d.held = &heldMemory{reserved: reserved, renewal: d.renew(reserved)}
	memory := make([]rtplacement.Reservation, 0, len(reserved))
	for _, r := range reserved {
		memory = append(memory, r.memory)
	}
	d.gateway.mu.Lock()
	defer d.gateway.mu.Unlock()
	d.gateway.loads.Reserve(inFlight, memory)
	return true
}

// replaceHelper returns a placement with another helper in place of one that has refused,
// and that helper, which is none of those that take part or are taken otherwise. Without one, the part goes to the other helpers and the target. It
// reports false if the target may not get the request again now, or if a part of the
// prompt needs memory that no engine has.
func (g *Gateway) replaceHelper(q *request, placement rtplacement.Placement, refused *rtcatalog.Instance,
	taken []rtid.Target, memory rtid.Tokens, inFlight *rtplacement.InFlightRequest) (rtplacement.Placement, *rtcatalog.Instance, bool) {
	view := g.views.View()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates, _, _ := g.usable(view, g.cellInstances(view, q.service), q.service, nil, false, now)
	again := slices.IndexFunc(candidates, func(c rtplacement.Candidate) bool { return c.Instance.ID == placement.Target.ID })
	if again < 0 || !candidates[again].MayBeTarget() || candidates[again].Instance.Incarnation() != placement.Target.Incarnation() {
		return rtplacement.Placement{}, nil, false
	}
	substitute := g.schedulerOf(q.service.Name).ReplacementHelper(q.service.Engine, q.work, taken, memory, candidates)
	if substitute == nil && memory > 0 {
		return rtplacement.Placement{}, nil, false
	}
	helpers := slices.Clone(placement.Helpers)
	if at := slices.IndexFunc(helpers, func(h *rtcatalog.Instance) bool { return h.ID == refused.ID }); at >= 0 {
		helpers = slices.Delete(helpers, at, at+1)
		if substitute != nil {
			helpers = slices.Insert(helpers, at, substitute)
		}
	}
	next := placement.WithHelpers(q.service.Engine, q.work, helpers)
	g.loads.ReplaceHelpers(inFlight, next)
	g.recentSendsOf(next.Target.ID).Add(now)
	g.rateLimits.Take(next.Target.Incarnation(), g.peers.Share(limitKey(next.Target.ID)), now)
	return next, substitute, true
}

// recordHelperRefusal records that an engine has refused to help with a request that was
// sent at sent.
func (g *Gateway) recordHelperRefusal(q *request, helper *rtcatalog.Instance, ticket bool, sent time.Time) {
	now := time.Now()
	g.setCooldown(helper.ID, cooldown{until: now.Add(helperCooldown), failures: 1, fixed: true}, "refuses to help")
	view := g.views.View()
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := "unknown"
	instance := view.Instance(helper.ID)
	switch {
	case instance == nil || instance.Incarnation() != helper.Incarnation() || !view.Usable(instance) || g.leaves.Leaving(helper.Incarnation()):
		reason = "leaving"
	case ticket:
		reason = "ticket"
	case g.loads.Load(helper.ID, now).Requests >= helper.Slots:
		reason = "busy"
	}
	if !g.helperRefusals.Refused(helper.Incarnation(), now) {
		g.onNews()
	}
	pause := g.helperRefusals.Record(helper.Incarnation(), sent, now)
	g.metrics.Scope.Tagged(map[string]string{"reason": reason}).Counter("helper_refusals").Inc(1)
	g.log.Info("Engine refuses to help.", "request", q.info.ID, "target", helper.ID, "born", helper.Born, "reason", reason, "for", pause.String())
}

// recordHelp records that the prompt of the current attempt, which was sent at sent, has
// been prefilled with the help of its helpers.
func (d *delivery) recordHelp(sent, now time.Time) {
	g := d.gateway
	hosts := d.hosts(d.scheduled.Placement)
	if len(hosts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, helper := range hosts {
		g.helperRefusals.RecordHelp(helper.Incarnation(), sent, now)
	}
}

// HelperRefusals returns the engines that have refused to help with requests of this
// process, the newest first, for its peers.
func (g *Gateway) HelperRefusals() []rthelper.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.helperRefusals.Heard(time.Now())
}

// MergeHelperRefusals adds what a peer has heard. Engines that are not published here are
// passed over, so that the view limits their number; a peer reports them again.
func (g *Gateway) MergeHelperRefusals(refusals []rthelper.Refusal) {
	view := g.views.View()
	if view == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, refusal := range refusals {
		instance := view.Instance(refusal.Target.ID)
		if instance == nil || instance.Incarnation() != refusal.Target {
			continue
		}
		if g.helperRefusals.Merge(refusal, now) {
			g.metrics.Scope.Counter("helper_refusals_learned").Inc(1)
		}
	}
}
