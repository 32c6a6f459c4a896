package rtmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Bounds of what is remembered of heartbeats.
const (
	maxHeard = 16_384

	// forgetAfter is how long the incarnation of a silent process in the list
	// is remembered. After that a lower incarnation is taken, so that a VM
	// whose clock went back does not stay shut out.
	forgetAfter = 10 * time.Minute
)

// Heard is the last status of a process.
type ReceivedStatus struct {
	Status     *rtwire.Status // read only
	ReceivedAt time.Time
}

// Agent joins what the list and the heartbeats say about the agent of a
// target.
type Agent struct {
	Member     rtplatform.Member
	LastStatus ReceivedStatus // zero if never heard
	Alive      bool
	Draining   bool
}

// Table holds the list of VMs and the last status of each process heard.
// Statuses must have been checked by the caller. The zero value is ready to
// use. It is not safe for concurrent use.
type Table struct {
	AliveTimeout time.Duration // an agent that is silent for longer is not alive

	roster  Roster
	listed  map[rtid.Target]rtid.VM // VM of each target by the list, live ones first
	heard   map[rtid.VM]ReceivedStatus
	holders map[rtid.Target]rtid.VM // VM heard with the highest incarnation for the target
}

// Roster returns the list of VMs. Changes go through Apply.
func (t *Table) Roster() *Roster { return &t.roster }

// Apply takes in a change of the list of VMs and reports whether it was newer.
func (t *Table) Apply(delta Delta) bool {
	if !t.roster.Apply(delta) {
		return false
	}
	members := t.roster.Members()
	t.listed = make(map[rtid.Target]rtid.VM, len(members))
	for _, state := range []rtplatform.State{rtplatform.StateLive, rtplatform.StateLeaving} {
		for _, member := range members {
			if member.Role != rtplatform.RoleAgent || member.State != state {
				continue
			}
			if _, found := t.listed[member.Target]; !found {
				t.listed[member.Target] = member.VM
			}
		}
	}
	return true
}

// Observe takes in a status and reports whether it was. It refuses a status
// of an incarnation lower than the one held for the VM or the target, so that
// a late message of an old process never hides the new one.
func (t *Table) StoreStatus(status *rtwire.Status, now time.Time) bool {
	vm := rtid.VM(status.Vm)
	held, known := t.heard[vm]
	if known && held.Status.Incarnation > status.Incarnation {
		return false
	}
	if !known && len(t.heard) >= maxHeard {
		return false
	}
	if status.Role == rtwire.Role_ROLE_AGENT && !t.hold(vm, status) {
		return false
	}
	if known && held.Status.Target != status.Target {
		t.release(vm, rtid.Target(held.Status.Target))
	}
	if known && held.Status.Incarnation == status.Incarnation && held.Status.Leaving {
		status.Leaving = true
	}
	if t.heard == nil {
		t.heard = make(map[rtid.VM]ReceivedStatus)
	}
	t.heard[vm] = ReceivedStatus{Status: status, ReceivedAt: now}
	return true
}

// hold makes the VM the holder of its target unless another VM holds it with
// the same or a higher incarnation.
func (t *Table) hold(vm rtid.VM, status *rtwire.Status) bool {
	target := rtid.Target(status.Target)
	holder, held := t.holders[target]
	if held && holder != vm {
		if t.heard[holder].Status.Incarnation >= status.Incarnation {
			return false
		}
		delete(t.heard, holder)
	}
	if t.holders == nil {
		t.holders = make(map[rtid.Target]rtid.VM)
	}
	t.holders[target] = vm
	return true
}

// Prune forgets silent processes: at once if the list does not name them,
// else after forgetAfter.
func (t *Table) Prune(now time.Time) {
	for vm, heard := range t.heard {
		limit := t.AliveTimeout
		if _, listed := t.roster.Member(vm); listed {
			limit = max(limit, forgetAfter)
		}
		if now.Sub(heard.ReceivedAt) > limit {
			t.forget(vm, heard)
		}
	}
}

func (t *Table) forget(vm rtid.VM, heard ReceivedStatus) {
	delete(t.heard, vm)
	t.release(vm, rtid.Target(heard.Status.Target))
}

func (t *Table) release(vm rtid.VM, target rtid.Target) {
	if t.holders[target] == vm {
		delete(t.holders, target)
	}
}

// Find returns the agent of a target. The VM that answers counts; without an
// answer it is the one that the list names.
func (t *Table) Find(target rtid.Target, now time.Time) (Agent, bool) {
	holder, held := t.holders[target]
	listed, isListed := t.listed[target]
	switch {
	case !held && !isListed:
		return Agent{}, false
	case !held:
		return t.agent(listed, now), true
	case isListed && listed != holder && !t.alive(holder, now):
		return t.agent(listed, now), true
	default:
		return t.agent(holder, now), true
	}
}

func (t *Table) alive(vm rtid.VM, now time.Time) bool {
	heard, known := t.heard[vm]
	return known && now.Sub(heard.ReceivedAt) <= t.AliveTimeout
}

func (t *Table) agent(vm rtid.VM, now time.Time) Agent {
	member, _ := t.roster.Member(vm)
	agent := Agent{Member: member, LastStatus: t.heard[vm], Alive: t.alive(vm, now)}
	agent.Draining = member.State == rtplatform.StateLeaving
	if agent.LastStatus.Status != nil {
		agent.Member = memberOf(agent.LastStatus.Status)
		agent.Draining = agent.Draining || agent.LastStatus.Status.Leaving
	}
	return agent
}

// memberOf returns what a process would be in the list of VMs.
func memberOf(status *rtwire.Status) rtplatform.Member {
	member := rtplatform.Member{
		VM:      rtid.VM(status.Vm),
		Role:    rtplatform.RoleEntry,
		Zone:    rtid.Zone(status.Zone),
		Address: rtid.Address(status.Address),
		State:   rtplatform.StateLive,
	}
	if status.Leaving {
		member.State = rtplatform.StateLeaving
	}
	if status.Role == rtwire.Role_ROLE_AGENT {
		member.Role = rtplatform.RoleAgent
		member.Target = rtid.Target(status.Target)
		member.Service = rtid.Service(status.Service)
	}
	return member
}

// Candidates returns the list of VMs with the agents that answer although the
// list does not name them, sorted by VM.
func (t *Table) Candidates(now time.Time) []rtplatform.Member {
	listed := t.roster.Members()
	candidates := slices.Clip(listed)
	for _, vm := range t.holders {
		if _, found := t.roster.Member(vm); !found && t.alive(vm, now) {
			candidates = append(candidates, memberOf(t.heard[vm].Status))
		}
	}
	if len(candidates) > len(listed) {
		slices.SortFunc(candidates, func(a, b rtplatform.Member) int { return cmp.Compare(a.VM, b.VM) })
	}
	return candidates
}

// Heard returns the last statuses of all processes that are alive, sorted by
// VM.
func (t *Table) AliveStatuses(now time.Time) []*rtwire.Status {
	var statuses []*rtwire.Status
	for vm, heard := range t.heard {
		if t.alive(vm, now) {
			statuses = append(statuses, heard.Status)
		}
	}
	slices.SortFunc(statuses, func(a, b *rtwire.Status) int { return cmp.Compare(a.Vm, b.Vm) })
	return statuses
}
