package rtfleet

import (
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

var testAgent = rtsettings.Agent{KVMemory: 400_000, Slots: 4, ColdSlots: 2, PrefillRate: 400_000}

// testDocument returns a document with three availability zones.
func testDocument() rtdocument.Document {
	document := rtdocument.Document{
		Revision: 1,
		Organisations: []rtdocument.Organisation{
			{Name: "high-court", Services: []rtid.Service{"drafts", "filings"}, Share: 0.6},
			{Name: "parish", Services: []rtid.Service{"drafts", "filings"}, Share: 0.4},
		},
		Services: []rtdocument.Service{
			{Name: "drafts", Kind: rtdocument.KindDraft, Model: "court-1"},
			{Name: "filings", Kind: rtdocument.KindOrder},
		},
	}
	for _, name := range []rtid.Zone{"a", "b", "c"} {
		document.Zones = append(document.Zones, rtdocument.Zone{
			Name: name, State: rtdocument.ZoneInService, Capacity: map[rtid.Service]float64{"drafts": 100, "filings": 10},
		})
	}
	return document
}

// affected are the parts that a fault acts on: those that the draft and the
// order of the cell use.
type affected struct {
	entry  *Process
	agents []*Process // of the draft, of the order
}

// steps lists the moments at which a fault begins. reach sends what has to be
// sent and returns at that moment.
var steps = []struct {
	name     string
	accepted bool // the order was accepted before the fault
	reach    func(c *cell) (*draftRun, *orderRun)
}{
	{"before-offer", false, func(c *cell) (*draftRun, *orderRun) {
		return nil, c.issue()
	}},
	{"offer", false, func(c *cell) (*draftRun, *orderRun) {
		order := c.issue()
		draft := c.draft("affected")
		c.put(order, 0)
		c.wait(5 * linkDelay / 2) // the offers are on their way to the agents
		return draft, order
	}},
	{"queue", false, func(c *cell) (*draftRun, *orderRun) {
		for _, name := range []string{"first", "second", "third"} {
			c.draft(name)
		}
		order := c.issue()
		draft := c.draft("affected")
		c.put(order, 0)
		c.until("the draft was accepted", func() bool { return c.seen(draft).ID != "" || c.seen(draft).Ended })
		return draft, order
	}},
	{"prefill", false, func(c *cell) (*draftRun, *orderRun) {
		order := c.issue()
		draft := c.draft("affected")
		c.until("the engine has started", func() bool {
			id := c.seen(draft).ID
			return id != "" && c.engineOf(id).Executions(rtid.Request(id)) > 0
		})
		c.put(order, 0)
		return draft, order
	}},
	{"stream", true, func(c *cell) (*draftRun, *orderRun) {
		order := c.issue()
		draft := c.draft("affected")
		c.until("the first text has come", func() bool { return len(c.seen(draft).Text) > 0 })
		c.put(order, 0)
		c.until("the order runs", func() bool { return c.serviceOf(order).Executions(order.id) > 0 })
		return draft, order
	}},
	{"end", true, func(c *cell) (*draftRun, *orderRun) {
		order := c.issue()
		draft := c.draft("affected")
		c.put(order, 0)
		c.until("both ended", func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return draft.seen.Ended && len(order.replies) > 0
		})
		return draft, order
	}},
}

// faults lists what goes wrong. heal ends the fault after faultLength.
var faults = []struct {
	name   string
	strike func(*cell, affected)
	heal   func(*cell, affected)
	length time.Duration // until heal; 0 for faultLength
	mild   bool          // every request must still be done
	moves  bool          // the draft must still be done, by another target where needed
	// refusal is how a mild fault may refuse an order that was not accepted
	// before it; the order's home cannot change.
	refusal rtapi.Reason
}{
	{name: "none", mild: true},
	{name: "kill-entry", strike: killEntry, heal: restartEntry},
	{name: "kill-agent", moves: true, strike: killAgents, heal: restartAgents},
	{name: "kill-target", moves: true, strike: crashTargets},
	{name: "freeze-entry", strike: freezeEntry, heal: thawEntry},
	{name: "freeze-agent", moves: true, strike: freezeAgents, heal: thawAgents},
	{name: "freeze-target", strike: freezeTargets, heal: thawTargets},
	{name: "cut-entry-to-agent", moves: true, strike: func(c *cell, v affected) { v.each(func(a *Process) { c.fabric.Cut(v.entry.Host, a.Host) }) }, heal: healLinks},
	{name: "cut-agent-to-entry", moves: true, strike: func(c *cell, v affected) { v.each(func(a *Process) { c.fabric.Cut(a.Host, v.entry.Host) }) }, heal: healLinks},
	{name: "cut-both", moves: true, strike: cutBoth, heal: healLinks},
	{name: "cut-target", strike: func(c *cell, v affected) {
		v.each(func(a *Process) { c.fabric.CutBoth(a.Host, c.fleet.TargetHosts[a.Target]) })
	}, heal: func(c *cell, v affected) {
		v.each(func(a *Process) { c.fabric.Heal(a.Host, c.fleet.TargetHosts[a.Target]) })
	}},
	{name: "cut-target-to-agent-past-limit", strike: func(c *cell, v affected) {
		v.each(func(a *Process) { c.fabric.Cut(c.fleet.TargetHosts[a.Target], a.Host) })
	}, heal: func(c *cell, v affected) {
		v.each(func(a *Process) { c.fabric.Heal(a.Host, c.fleet.TargetHosts[a.Target]) })
	}, length: pastLimit},
	{name: "lose-answer", strike: loseAnswers, heal: healLinks},
	{name: "platform-down", strike: func(c *cell, _ affected) { c.fleet.Platform.SetDown(true) },
		heal: func(c *cell, _ affected) { c.fleet.Platform.SetDown(false) }, mild: true},
	{name: "platform-stale", strike: func(c *cell, _ affected) {
		c.publish(rtdocument.ZoneInService)
		c.wait(time.Second)
		c.fleet.Platform.SetStale(c.version - 1)
	}, heal: func(c *cell, _ affected) { c.fleet.Platform.SetStale(0) }, mild: true},
	{name: "cold-again", strike: turnCold, mild: true},
	{name: "zone-out", strike: func(c *cell, _ affected) { c.publish(rtdocument.ZoneOutOfService) },
		heal: func(c *cell, _ affected) { c.publish(rtdocument.ZoneInService) }, mild: true, refusal: rtapi.ReasonZone},
	{name: "operator-race", strike: func(c *cell, _ affected) {
		before := c.document
		c.publish(rtdocument.ZoneInService)
		c.document = before
		c.publish(rtdocument.ZoneInService)
	}, mild: true},
	{name: "stop-entry", strike: func(c *cell, v affected) { c.stop(v.entry) }, mild: true,
		heal: func(c *cell, v affected) { c.replace(v.entry) }},
	{name: "stop-agent", strike: func(c *cell, v affected) { v.each(c.stop) },
		heal: func(c *cell, v affected) { v.each(c.replace) }, mild: true, refusal: rtapi.ReasonLeaving},
	{name: "stop-entry+stop-agent", strike: func(c *cell, v affected) {
		c.stop(v.entry)
		v.each(c.stop)
	}, heal: func(c *cell, v affected) {
		c.replace(v.entry)
		v.each(c.replace)
	}, mild: true, refusal: rtapi.ReasonLeaving},
	{name: "kill-entry+kill-agent", strike: pair(killEntry, killAgents), heal: pair(restartEntry, restartAgents)},
	{name: "kill-agent+cold-again", strike: pair(killAgents, turnCold), heal: restartAgents},
	{name: "freeze-agent+zone-out", strike: pair(freezeAgents, func(c *cell, _ affected) { c.publish(rtdocument.ZoneOutOfService) }),
		heal: pair(thawAgents, func(c *cell, _ affected) { c.publish(rtdocument.ZoneInService) })},
	{name: "platform-down+kill-agent", strike: pair(killAgents, func(c *cell, _ affected) { c.fleet.Platform.SetDown(true) }),
		heal: pair(restartAgents, func(c *cell, _ affected) { c.fleet.Platform.SetDown(false) })},
	{name: "freeze-entry-past-limit", strike: pair(freezeEntry, func(c *cell, _ affected) { c.entryLate = true }), heal: thawEntry, length: pastLimit},
	{name: "freeze-agent-past-limit", strike: freezeAgents, heal: thawAgents, length: pastLimit},
	{name: "freeze-target-past-limit", strike: freezeTargets, heal: thawTargets, length: pastLimit},
	{name: "entry-off-platform", strike: func(c *cell, v affected) { c.fabric.CutBoth(v.entry.Host, platformHost) },
		heal: func(c *cell, v affected) { c.healAll(v.entry) }, mild: true},
	{name: "entry-off-agents", strike: cutEntryFromAgents, heal: func(c *cell, v affected) { c.healAll(v.entry) }},
	{name: "agent-off-platform+zone-out", strike: pair(cutAgentsFromPlatform, zoneOut),
		heal: pair(healAgents, zoneIn), mild: true, refusal: rtapi.ReasonZone},
	{name: "late-and-doubled-delivery", strike: worsenLinks, heal: restoreLinks},
	{name: "late-and-doubled-delivery+kill-agent", strike: pair(worsenLinks, killAgents), heal: pair(restoreLinks, restartAgents)},
	{name: "kill-agent-twice", strike: func(c *cell, v affected) {
		killAgents(c, v)
		restartAgents(c, v)
		c.wait(time.Second)
		killAgents(c, v)
	}, heal: restartAgents},
	{name: "zone-out+stop-entry", strike: pair(zoneOut, func(c *cell, v affected) { c.stop(v.entry) }),
		heal: pair(func(c *cell, v affected) { c.replace(v.entry) }, zoneIn), mild: true, refusal: rtapi.ReasonZone},
	{name: "cut-both+kill-target", strike: pair(cutBoth, crashTargets), heal: healLinks},
}

// TestFaultMatrix guards every invariant under every fault at every step of
// the path.
func TestFaultMatrix(t *testing.T) {
	for _, fault := range faults {
		for _, step := range steps {
			t.Run(fault.name+"/"+step.name, func(t *testing.T) {
				t.Parallel()
				runCell(t, nil, func(c *cell) {
					draft, order := step.reach(c)
					v := c.affected(draft, order)
					if fault.strike != nil {
						fault.strike(c, v)
					}
					if draft == nil {
						draft = c.draft("affected")
					}
					c.put(order, 1) // a second time through another entry
					c.wait(max(fault.length, faultLength))
					if fault.heal != nil {
						fault.heal(c, v)
					}
					c.finish()
					if fault.moves {
						c.checkDraftDone(draft)
					}
					if fault.mild {
						c.checkDone(draft, order, fault.refusal, step.accepted)
					}
				})
			})
		}
	}
}

// checkDone checks that a fault that must not harm requests did not.
func (c *cell) checkDone(draft *draftRun, order *orderRun, refusal rtapi.Reason, accepted bool) {
	c.t.Helper()
	c.checkDraftDone(draft)
	for _, reply := range order.replies {
		refused := reply.Outcome == rtapi.NotRun && reply.Reason == refusal
		if refused && !accepted {
			continue
		}
		if reply.Outcome != rtapi.Done {
			c.t.Errorf("order %s: outcome %s, reason %s, want done", order.id, reply.Outcome, reply.Reason)
		}
	}
}

// checkDraftDone checks that the caller of a draft has its whole answer.
func (c *cell) checkDraftDone(draft *draftRun) {
	c.t.Helper()
	if draft.seen.Outcome != rtapi.Done {
		c.t.Errorf("draft %s: outcome %s, reason %s, error %v, want done", draft.seen.ID, draft.seen.Outcome, draft.seen.Reason, draft.err)
	}
}
