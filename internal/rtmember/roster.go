package rtmember

import (
	"cmp"
	"slices"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// Bounds of a roster, several times the size to design for.
const (
	maxMembers = 50_000
	maxRemoved = 4_096
)

// Roster is the list of VMs with its version, which only rises. It remembers
// when each VM last changed, so that peers get the difference: at the size to
// design for, the whole list takes over a megabyte and changes every 20 s.
// The zero value is an empty list of version 0.
type Roster struct {
	version rtid.Version
	floor   rtid.Version // changes after this version are known
	members map[rtid.VM]record
	removed map[rtid.VM]rtid.Version // version that removed the VM
	sorted  []rtplatform.Member      // nil after a change
}

type record struct {
	member  rtplatform.Member
	changed rtid.Version // version at which this process saw the change
}

// Delta is what changed after version Base. With Base zero it is the whole
// list.
type Delta struct {
	Base    rtid.Version
	Version rtid.Version
	Members []rtplatform.Member
	Removed []rtid.VM
}

// Version returns the version of the list; 0 means that none is known.
func (r *Roster) Version() rtid.Version { return r.version }

// Member returns one line of the list.
func (r *Roster) Member(vm rtid.VM) (rtplatform.Member, bool) {
	found, ok := r.members[vm]
	return found.member, ok
}

// Members returns the list sorted by VM. It is read only.
func (r *Roster) Members() []rtplatform.Member {
	if r.sorted == nil {
		r.sorted = make([]rtplatform.Member, 0, len(r.members))
		for _, held := range r.members {
			r.sorted = append(r.sorted, held.member)
		}
		slices.SortFunc(r.sorted, func(a, b rtplatform.Member) int { return cmp.Compare(a.VM, b.VM) })
	}
	return r.sorted
}

// Since returns what changed after a version, or the whole list if that is
// not known.
func (r *Roster) DeltaSince(after rtid.Version) Delta {
	delta := Delta{Base: after, Version: r.version}
	if after < r.floor || after == 0 {
		delta.Base = 0
		delta.Members = r.Members()
		return delta
	}
	for _, held := range r.members {
		if held.changed > after {
			delta.Members = append(delta.Members, held.member)
		}
	}
	for vm, version := range r.removed {
		if version > after {
			delta.Removed = append(delta.Removed, vm)
		}
	}
	return delta
}

// Apply takes in a delta of a higher version and reports whether it did. A
// delta that starts after the version held is refused, because the changes
// between are missing.
func (r *Roster) Apply(delta Delta) bool {
	if delta.Version <= r.version || delta.Base > r.version || len(delta.Members) > maxMembers {
		return false
	}
	if r.members == nil {
		r.members = make(map[rtid.VM]record)
		r.removed = make(map[rtid.VM]rtid.Version)
		r.floor = delta.Version
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
	r.forgetRemoved()
	return true
}

func (r *Roster) set(member rtplatform.Member) {
	held, found := r.members[member.VM]
	if found && held.member == member {
		return
	}
	r.members[member.VM] = record{member: member, changed: r.version}
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

// forgetRemoved bounds the memory of removed VMs. Peers with an older list
// get the whole list afterwards.
func (r *Roster) forgetRemoved() {
	if len(r.removed) > maxRemoved {
		clear(r.removed)
		r.floor = r.version
	}
}
