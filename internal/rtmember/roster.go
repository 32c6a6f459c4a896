package rtmember

import (
	"cmp"
	"slices"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// Bounds of a roster, several times the design size.
const (
	maxMembers = 50_000
	maxRemoved = 4_096
)

// Roster is the list of VMs with its version, which never decreases. It
// records the version at which each VM last changed, so that peers can be sent
// a delta: at the design size, the whole list takes over a megabyte and
// changes every 20 s. The zero value is an empty list of version 0.
type Roster struct {
	version    rtid.Version
	oldestBase rtid.Version // oldest version from which a delta can be computed
	members    map[rtid.VM]record
	removed    map[rtid.VM]rtid.Version // version that removed the VM
	sorted     []rtplatform.Member      // cache of Members, nil after a change
}

type record struct {
	member         rtplatform.Member
	changedVersion rtid.Version // version with which this process applied the change
}

// Delta holds the changes of a list from version Base to Version. If Base is 0,
// Members is the whole list.
type Delta struct {
	Base    rtid.Version
	Version rtid.Version
	Members []rtplatform.Member
	Removed []rtid.VM
}

// Version returns the version of the list, 0 if there is no list yet.
func (r *Roster) Version() rtid.Version { return r.version }

// Member returns one member of the list.
func (r *Roster) Member(vm rtid.VM) (rtplatform.Member, bool) {
	found, ok := r.members[vm]
	return found.member, ok
}

// Members returns the list sorted by VM. It is read only.
func (r *Roster) Members() []rtplatform.Member {
	if r.sorted == nil {
		r.sorted = make([]rtplatform.Member, 0, len(r.members))
		for _, stored := range r.members {
			r.sorted = append(r.sorted, stored.member)
		}
		slices.SortFunc(r.sorted, func(a, b rtplatform.Member) int { return cmp.Compare(a.VM, b.VM) })
	}
	return r.sorted
}

// DeltaSince returns the changes after a version, or the whole list if the
// changes since that version are no longer known.
func (r *Roster) DeltaSince(after rtid.Version) Delta {
	delta := Delta{Base: after, Version: r.version}
	if after < r.oldestBase || after == 0 {
		delta.Base = 0
		delta.Members = r.Members()
		return delta
	}
	for _, stored := range r.members {
		if stored.changedVersion > after {
			delta.Members = append(delta.Members, stored.member)
		}
	}
	for vm, version := range r.removed {
		if version > after {
			delta.Removed = append(delta.Removed, vm)
		}
	}
	return delta
}

// Apply applies a delta of a higher version and reports whether it did. It
// refuses a delta whose base is above the current version, because the changes
// in between are missing.
func (r *Roster) Apply(delta Delta) bool {
	if delta.Version <= r.version || delta.Base > r.version || len(delta.Members) > maxMembers {
		return false
	}
	if r.members == nil {
		r.members = make(map[rtid.VM]record)
		r.removed = make(map[rtid.VM]rtid.Version)
		r.oldestBase = delta.Version
	}
	r.version = delta.Version
	for _, member := range delta.Members {
		r.set(member)
	}
	if delta.Base == 0 {
		r.removeAllBut(delta.Members)
	}
	for _, vm := range delta.Removed {
		r.remove(vm)
	}
	r.sorted = nil
	r.trimRemoved()
	return true
}

func (r *Roster) set(member rtplatform.Member) {
	stored, found := r.members[member.VM]
	if found && stored.member == member {
		return
	}
	r.members[member.VM] = record{member: member, changedVersion: r.version}
	delete(r.removed, member.VM)
}

func (r *Roster) remove(vm rtid.VM) {
	if _, found := r.members[vm]; found {
		delete(r.members, vm)
		r.removed[vm] = r.version
	}
}

func (r *Roster) removeAllBut(members []rtplatform.Member) {
	if len(members) == len(r.members) {
		return
	}
	kept := make(map[rtid.VM]bool, len(members))
	for _, member := range members {
		kept[member.VM] = true
	}
	for vm := range r.members {
		if !kept[vm] {
			r.remove(vm)
		}
	}
}

// trimRemoved bounds the number of removed VMs that are recorded. Peers with an
// older list get the whole list afterwards.
func (r *Roster) trimRemoved() {
	if len(r.removed) > maxRemoved {
		clear(r.removed)
		r.oldestBase = r.version
	}
}
