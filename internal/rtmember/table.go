package rtmember

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Bounds of the stored statuses.
const (
	maxStatuses = 16_384

	// statusRetention is how long the last status of a silent process in the
	// list is kept. Afterwards a lower incarnation is accepted, so that a VM
	// whose clock was set back is not refused for ever.
	statusRetention = 10 * time.Minute
)

// ReceivedStatus is the last status received from a process.
type ReceivedStatus struct {
	Status     *rtwire.Status // read only
	ReceivedAt time.Time
}

// Agent is the agent of a target according to the list of VMs and its last
// status.
type Agent struct {
	Member     rtplatform.Member
	LastStatus ReceivedStatus // zero if none was received
	Alive      bool
	Draining   bool
}

// Table holds the list of VMs and the last status received from each process.
// The caller must have checked the statuses. The zero value is ready to use.
// It is not safe for concurrent use.
type Table struct {
	AliveTimeout time.Duration // an agent without a status for longer is not alive

	roster   Roster
	listedVM map[rtid.Target]rtid.VM // VM of each target according to the list; a live one is preferred
	statuses map[rtid.VM]ReceivedStatus
	ownerVM  map[rtid.Target]rtid.VM // VM whose status has the highest incarnation for the target
}

// Roster returns the list of VMs. Changes go through Apply.
func (t *Table) Roster() *Roster { return &t.roster }

// Apply applies a change of the list of VMs and reports whether it was newer.
func (t *Table) Apply(delta Delta) bool {
	if !t.roster.Apply(delta) {
		return false
	}
	members := t.roster.Members()
	t.listedVM = make(map[rtid.Target]rtid.VM, len(members))
	for _, state := range []rtplatform.State{rtplatform.StateLive, rtplatform.StateLeaving} {
		for _, member := range members {
			if member.Role != rtplatform.RoleAgent || member.State != state {
				continue
			}
			if _, found := t.listedVM[member.Target]; !found {
				t.listedVM[member.Target] = member.VM
			}
		}
	}
	return true
}

// StoreStatus stores a status and reports whether it did. It refuses a status
// of a lower incarnation than the one stored for the VM, and a status for a
// target that another VM owns with the same or a higher incarnation, so that a
// late message of an old process never replaces the status of the new one. Once
// it stores maxStatuses, it refuses the statuses of further VMs. A process that
// has reported that it is draining counts as draining until its next
// incarnation.
func (t *Table) StoreStatus(status *rtwire.Status, now time.Time) bool {
	vm := rtid.VM(status.Vm)
	last, known := t.statuses[vm]
	if known && last.Status.Incarnation > status.Incarnation {
		return false
	}
	if !known && len(t.statuses) >= maxStatuses {
		return false
	}
	if status.Role == rtwire.Role_ROLE_AGENT && !t.claimTarget(vm, status) {
		return false
	}
	if known && last.Status.Target != status.Target {
		t.releaseTarget(vm, rtid.Target(last.Status.Target))
	}
	if known && last.Status.Incarnation == status.Incarnation && last.Status.Leaving {
		status.Leaving = true
	}
	if t.statuses == nil {
		t.statuses = make(map[rtid.VM]ReceivedStatus)
	}
	t.statuses[vm] = ReceivedStatus{Status: status, ReceivedAt: now}
	return true
}

// claimTarget makes the VM the owner of its target unless another VM owns it
// with the same or a higher incarnation, and reports whether it did.
func (t *Table) claimTarget(vm rtid.VM, status *rtwire.Status) bool {
	target := rtid.Target(status.Target)
	owner, owned := t.ownerVM[target]
	if owned && owner != vm {
		if t.statuses[owner].Status.Incarnation >= status.Incarnation {
			return false
		}
		delete(t.statuses, owner)
	}
	if t.ownerVM == nil {
		t.ownerVM = make(map[rtid.Target]rtid.VM)
	}
	t.ownerVM[target] = vm
	return true
}

// Prune removes the statuses of silent processes: after AliveTimeout if the
// list does not name them, else after statusRetention, or AliveTimeout if that
// is longer.
func (t *Table) Prune(now time.Time) {
	for vm, last := range t.statuses {
		limit := t.AliveTimeout
		if _, listed := t.roster.Member(vm); listed {
			limit = max(limit, statusRetention)
		}
		if now.Sub(last.ReceivedAt) > limit {
			t.removeStatus(vm, last)
		}
	}
}

func (t *Table) removeStatus(vm rtid.VM, last ReceivedStatus) {
	delete(t.statuses, vm)
	t.releaseTarget(vm, rtid.Target(last.Status.Target))
}

func (t *Table) releaseTarget(vm rtid.VM, target rtid.Target) {
	if t.ownerVM[target] == vm {
		delete(t.ownerVM, target)
	}
}

// Find returns the agent of a target. It is the VM that owns the target by its
// status; if there is none, or it is not alive and the list names another VM,
// it is the one in the list.
func (t *Table) Find(target rtid.Target, now time.Time) (Agent, bool) {
	owner, owned := t.ownerVM[target]
	listed, isListed := t.listedVM[target]
	switch {
	case !owned && !isListed:
		return Agent{}, false
	case !owned:
		return t.agentFor(listed, now), true
	case isListed && listed != owner && !t.isAlive(owner, now):
		return t.agentFor(listed, now), true
	default:
		return t.agentFor(owner, now), true
	}
}

func (t *Table) isAlive(vm rtid.VM, now time.Time) bool {
	last, known := t.statuses[vm]
	return known && now.Sub(last.ReceivedAt) <= t.AliveTimeout
}

func (t *Table) agentFor(vm rtid.VM, now time.Time) Agent {
	member, _ := t.roster.Member(vm)
	agent := Agent{Member: member, LastStatus: t.statuses[vm], Alive: t.isAlive(vm, now)}
	agent.Draining = member.State == rtplatform.StateLeaving
	if agent.LastStatus.Status != nil {
		agent.Member = memberOf(agent.LastStatus.Status)
		agent.Draining = agent.Draining || agent.LastStatus.Status.Leaving
	}
	return agent
}

// memberOf returns the member of the list of VMs that a status describes.
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

// Candidates returns the list of VMs together with the agents that are alive
// but not in the list, sorted by VM.
func (t *Table) Candidates(now time.Time) []rtplatform.Member {
	listed := t.roster.Members()
	candidates := slices.Clip(listed)
	for _, vm := range t.ownerVM {
		if _, found := t.roster.Member(vm); !found && t.isAlive(vm, now) {
			candidates = append(candidates, memberOf(t.statuses[vm].Status))
		}
	}
	if len(candidates) > len(listed) {
		slices.SortFunc(candidates, func(a, b rtplatform.Member) int { return cmp.Compare(a.VM, b.VM) })
	}
	return candidates
}

// AliveStatuses returns the last status of each process that is alive, sorted
// by VM.
func (t *Table) AliveStatuses(now time.Time) []*rtwire.Status {
	var statuses []*rtwire.Status
	for vm, last := range t.statuses {
		if t.isAlive(vm, now) {
			statuses = append(statuses, last.Status)
		}
	}
	slices.SortFunc(statuses, func(a, b *rtwire.Status) int { return cmp.Compare(a.Vm, b.Vm) })
	return statuses
}
