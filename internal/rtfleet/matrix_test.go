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

// affected holds the processes that a fault acts on: those that serve the draft
// and the order of the test.
type affected struct {
	entry  *Process
	agents []*Process // of the draft and of the order
}

// steps lists the steps of the request path at which a fault begins. reach sends
// the requests and returns when they have reached the step.
var steps = []struct {
	name     string
	accepted bool // the order was accepted before the fault
	reach    func(e *env) (*draftRun, *orderRun)
}{
	{"before-offer", false, func(e *env) (*draftRun, *orderRun) {
		return nil, e.issueOrder()
	}},
	{"offer", false, func(e *env) (*draftRun, *orderRun) {
		order := e.issueOrder()
		draft := e.sendDraft("affected")
		e.putOrder(order, 0)
		e.wait(5 * linkDelay / 2) // the offers are in transit to the agents
		return draft, order
	}},
	{"queue", false, func(e *env) (*draftRun, *orderRun) {
		for _, name := range []string{"first", "second", "third"} {
			e.sendDraft(name)
		}
		order := e.issueOrder()
		draft := e.sendDraft("affected")
		e.putOrder(order, 0)
		e.waitUntil("the draft was accepted or has ended", func() bool { return e.progress(draft).ID != "" || e.progress(draft).Ended })
		return draft, order
	}},
	{"prefill", false, func(e *env) (*draftRun, *orderRun) {
		order := e.issueOrder()
		draft := e.sendDraft("affected")
		e.waitUntil("the engine has started the draft", func() bool {
			id := e.progress(draft).ID
			return id != "" && e.engineOf(id).Executions(rtid.Request(id)) > 0
		})
		e.putOrder(order, 0)
		return draft, order
	}},
	{"stream", true, func(e *env) (*draftRun, *orderRun) {
		order := e.issueOrder()
		draft := e.sendDraft("affected")
		e.waitUntil("the caller has received the first text", func() bool { return len(e.progress(draft).Text) > 0 })
		e.putOrder(order, 0)
		e.waitUntil("the order has run", func() bool { return e.serviceOf(order).Executions(order.id) > 0 })
		return draft, order
	}},
	{"end", true, func(e *env) (*draftRun, *orderRun) {
		order := e.issueOrder()
		draft := e.sendDraft("affected")
		e.putOrder(order, 0)
		e.waitUntil("the draft and the order have ended", func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return draft.received.Ended && len(order.replies) > 0
		})
		return draft, order
	}},
}

// faults lists the injected faults. heal ends the fault after length.
var faults = []struct {
	name      string
	inject    func(*env, affected)
	heal      func(*env, affected)
	length    time.Duration // until heal; 0: faultDuration
	allDone   bool          // all requests must end as done
	draftDone bool          // the draft must end as done, at another target if needed
	// refusal is the reason with which an order that was not accepted before the
	// fault may be refused in spite of allDone, because an order cannot move to
	// another agent.
	refusal rtapi.Reason
}{
	{name: "none", allDone: true},
	{name: "kill-entry", inject: killEntry, heal: restartEntry},
	{name: "kill-agent", draftDone: true, inject: killAgents, heal: restartAgents},
	{name: "kill-target", draftDone: true, inject: crashTargets},
	{name: "freeze-entry", inject: freezeEntry, heal: thawEntry},
	{name: "freeze-agent", draftDone: true, inject: freezeAgents, heal: thawAgents},
	{name: "freeze-target", inject: freezeTargets, heal: thawTargets},
	{name: "cut-entry-to-agent", draftDone: true, inject: func(e *env, v affected) { v.each(func(a *Process) { e.fabric.Cut(v.entry.Host, a.Host) }) }, heal: healLinks},
	{name: "cut-agent-to-entry", draftDone: true, inject: func(e *env, v affected) { v.each(func(a *Process) { e.fabric.Cut(a.Host, v.entry.Host) }) }, heal: healLinks},
	{name: "cut-both", draftDone: true, inject: cutBoth, heal: healLinks},
	{name: "cut-target", inject: func(e *env, v affected) {
		v.each(func(a *Process) { e.fabric.CutBoth(a.Host, e.fleet.HostOf[a.Target]) })
	}, heal: func(e *env, v affected) { v.each(func(a *Process) { e.fabric.Heal(a.Host, e.fleet.HostOf[a.Target]) }) }},
	{name: "cut-target-to-agent-past-limit", inject: func(e *env, v affected) {
		v.each(func(a *Process) { e.fabric.Cut(e.fleet.HostOf[a.Target], a.Host) })
	}, heal: func(e *env, v affected) { v.each(func(a *Process) { e.fabric.Heal(a.Host, e.fleet.HostOf[a.Target]) }) }, length: pastTimeLimit},
	{name: "lose-answer", inject: loseReplies, heal: healLinks},
	{name: "platform-down", inject: func(e *env, _ affected) { e.fleet.Platform.SetDown(true) },
		heal: func(e *env, _ affected) { e.fleet.Platform.SetDown(false) }, allDone: true},
	{name: "platform-stale", inject: func(e *env, _ affected) {
		e.publishFirstZone(rtdocument.ZoneInService)
		e.wait(time.Second)
		e.fleet.Platform.SetStale(e.version - 1)
	}, heal: func(e *env, _ affected) { e.fleet.Platform.SetStale(0) }, allDone: true},
	{name: "cold-again", inject: turnCold, allDone: true},
	{name: "zone-out", inject: func(e *env, _ affected) { e.publishFirstZone(rtdocument.ZoneOutOfService) },
		heal: func(e *env, _ affected) { e.publishFirstZone(rtdocument.ZoneInService) }, allDone: true, refusal: rtapi.ReasonZone},
	{name: "operator-race", inject: func(e *env, _ affected) {
		before := e.document
		e.publishFirstZone(rtdocument.ZoneInService)
		e.document = before
		e.publishFirstZone(rtdocument.ZoneInService)
	}, allDone: true},
	{name: "stop-entry", inject: func(e *env, v affected) { e.beginStop(v.entry) }, allDone: true,
		heal: func(e *env, v affected) { e.replace(v.entry) }},
	{name: "stop-agent", inject: func(e *env, v affected) { v.each(e.beginStop) },
		heal: func(e *env, v affected) { v.each(e.replace) }, allDone: true, refusal: rtapi.ReasonLeaving},
	{name: "stop-entry+stop-agent", inject: func(e *env, v affected) {
		e.beginStop(v.entry)
		v.each(e.beginStop)
	}, heal: func(e *env, v affected) {
		e.replace(v.entry)
		v.each(e.replace)
	}, allDone: true, refusal: rtapi.ReasonLeaving},
	{name: "kill-entry+kill-agent", inject: pair(killEntry, killAgents), heal: pair(restartEntry, restartAgents)},
	{name: "kill-agent+cold-again", inject: pair(killAgents, turnCold), heal: restartAgents},
	{name: "freeze-agent+zone-out", inject: pair(freezeAgents, func(e *env, _ affected) { e.publishFirstZone(rtdocument.ZoneOutOfService) }),
		heal: pair(thawAgents, func(e *env, _ affected) { e.publishFirstZone(rtdocument.ZoneInService) })},
	{name: "platform-down+kill-agent", inject: pair(killAgents, func(e *env, _ affected) { e.fleet.Platform.SetDown(true) }),
		heal: pair(restartAgents, func(e *env, _ affected) { e.fleet.Platform.SetDown(false) })},
	{name: "freeze-entry-past-limit", inject: pair(freezeEntry, func(e *env, _ affected) { e.entryLate = true }), heal: thawEntry, length: pastTimeLimit},
	{name: "freeze-agent-past-limit", inject: freezeAgents, heal: thawAgents, length: pastTimeLimit},
	{name: "freeze-target-past-limit", inject: freezeTargets, heal: thawTargets, length: pastTimeLimit},
	{name: "entry-off-platform", inject: func(e *env, v affected) { e.fabric.CutBoth(v.entry.Host, platformHost) },
		heal: func(e *env, v affected) { e.healAll(v.entry) }, allDone: true},
	{name: "entry-off-agents", inject: cutEntryFromAgents, heal: func(e *env, v affected) { e.healAll(v.entry) }},
	{name: "agent-off-platform+zone-out", inject: pair(cutAgentsFromPlatform, zoneOut),
		heal: pair(healAgents, zoneIn), allDone: true, refusal: rtapi.ReasonZone},
	{name: "late-and-doubled-delivery", inject: degradeLinks, heal: restoreLinks},
	{name: "late-and-doubled-delivery+kill-agent", inject: pair(degradeLinks, killAgents), heal: pair(restoreLinks, restartAgents)},
	{name: "kill-agent-twice", inject: func(e *env, v affected) {
		killAgents(e, v)
		restartAgents(e, v)
		e.wait(time.Second)
		killAgents(e, v)
	}, heal: restartAgents},
	{name: "zone-out+stop-entry", inject: pair(zoneOut, func(e *env, v affected) { e.beginStop(v.entry) }),
		heal: pair(func(e *env, v affected) { e.replace(v.entry) }, zoneIn), allDone: true, refusal: rtapi.ReasonZone},
	{name: "cut-both+kill-target", inject: pair(cutBoth, crashTargets), heal: healLinks},
}

// TestFaultMatrix guards against requests that run twice, end late, get a wrong
// outcome or are not done although the fault allows it, against engine memory
// that is not freed and against processes without the last configuration, when a
// fault begins at any step of the request path.
func TestFaultMatrix(t *testing.T) {
	for _, fault := range faults {
		for _, step := range steps {
			t.Run(fault.name+"/"+step.name, func(t *testing.T) {
				t.Parallel()
				runFleetTest(t, nil, func(e *env) {
					draft, order := step.reach(e)
					v := e.affectedBy(draft, order)
					if fault.inject != nil {
						fault.inject(e, v)
					}
					if draft == nil {
						draft = e.sendDraft("affected")
					}
					e.putOrder(order, 1) // again, through another entry
					e.wait(max(fault.length, faultDuration))
					if fault.heal != nil {
						fault.heal(e, v)
					}
					e.waitForRequests()
					if fault.draftDone {
						e.checkDraftDone(draft)
					}
					if fault.allDone {
						e.checkAllDone(draft, order, fault.refusal, step.accepted)
					}
				})
			})
		}
	}
}

// checkAllDone checks that the draft and the order ended as done, or that the
// order was refused for the allowed reason.
func (e *env) checkAllDone(draft *draftRun, order *orderRun, refusal rtapi.Reason, accepted bool) {
	e.t.Helper()
	e.checkDraftDone(draft)
	for _, reply := range order.replies {
		refused := reply.Outcome == rtapi.NotRun && reply.Reason == refusal
		if refused && !accepted {
			continue
		}
		if reply.Outcome != rtapi.Done {
			e.t.Errorf("order %s: outcome %s, reason %s, want done", order.id, reply.Outcome, reply.Reason)
		}
	}
}

// checkDraftDone checks that a draft ended as done.
func (e *env) checkDraftDone(draft *draftRun) {
	e.t.Helper()
	if draft.received.Outcome != rtapi.Done {
		e.t.Errorf("draft %s: outcome %s, reason %s, error %v, want done", draft.received.ID, draft.received.Outcome, draft.received.Reason, draft.err)
	}
}
