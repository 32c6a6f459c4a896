package rtmember

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func statusOf(member rtplatform.Member, incarnation uint64) *rtwire.Status {
	return &rtwire.Status{
		Vm: string(member.VM), Role: rtwire.Role_ROLE_AGENT, Zone: string(member.Zone), Address: string(member.Address),
		Incarnation: incarnation, Target: string(member.Target), Service: string(member.Service),
	}
}

// Guards against a list of VMs that overrules heartbeats, and against an old
// process whose status replaces that of its successor.
func TestTableJoinsListAndHeartbeats(t *testing.T) {
	old := agentOf("old", 0, 0)
	successor := agentOf("new", 0, 0)
	successor.Target = old.Target
	draining := old
	draining.State = rtplatform.StateLeaving
	type received struct {
		member      rtplatform.Member
		incarnation uint64
		at          time.Duration
	}
	tests := []struct {
		name     string
		list     []rtplatform.Member
		received []received
		now      time.Duration
		vm       rtid.VM // empty: not found
		alive    bool
		draining bool
	}{
		{"no list and no status", nil, nil, 0, "", false, false},
		{"listed, no status", []rtplatform.Member{old}, nil, 0, "old", false, false},
		{"listed, status received", []rtplatform.Member{old}, []received{{old, 1, 0}}, 0, "old", true, false},
		{"status received, not listed", nil, []received{{old, 1, 0}}, time.Second, "old", true, false},
		{"unlisted and silent", nil, []received{{old, 1, 0}}, 4 * time.Second, "", false, false},
		{"listed and silent", []rtplatform.Member{old}, []received{{old, 1, 0}}, 4 * time.Second, "old", false, false},
		{"listed as draining", []rtplatform.Member{draining}, []received{{old, 1, 0}}, 0, "old", true, true},
		{"live VM preferred to a draining one", []rtplatform.Member{draining, successor}, nil, 0, "new", false, false},
		{"higher incarnation replaces a lower one", []rtplatform.Member{old}, []received{{old, 1, 0}, {successor, 2, 0}}, 0, "new", true, false},
		{"lower incarnation does not replace a higher one", []rtplatform.Member{old}, []received{{successor, 2, 0}, {old, 1, 0}}, 0, "new", true, false},
		{"same VM, lower incarnation", nil, []received{{old, 2, 0}, {old, 1, 2 * time.Second}}, 4 * time.Second, "", false, false},
		{"silent owner, list names another VM", []rtplatform.Member{successor}, []received{{old, 1, 0}}, 4 * time.Second, "new", false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := Table{AliveTimeout: 3 * time.Second}
			table.Apply(Delta{Version: 1, Members: test.list})
			for _, r := range test.received {
				table.StoreStatus(statusOf(r.member, r.incarnation), start.Add(r.at))
			}
			now := start.Add(test.now)
			table.Prune(now)
			agent, found := table.Find(old.Target, now)
			if found != (test.vm != "") || agent.Member.VM != test.vm {
				t.Fatalf("found %q, want %q", agent.Member.VM, test.vm)
			}
			if agent.Alive != test.alive || agent.Draining != test.draining {
				t.Errorf("alive %v, draining %v, want %v, %v", agent.Alive, agent.Draining, test.alive, test.draining)
			}
		})
	}
}

// Guards against a late status that marks a draining agent as not draining, and
// against memory that grows with statuses under arbitrary names.
func TestTableBounds(t *testing.T) {
	table := Table{AliveTimeout: time.Minute}
	agent := agentOf("a", 0, 0)
	draining := statusOf(agent, 1)
	draining.Leaving = true
	table.StoreStatus(draining, start)
	table.StoreStatus(statusOf(agent, 1), start)
	if found, _ := table.Find(agent.Target, start); !found.Draining {
		t.Error("a status of the same incarnation reset draining")
	}
	for i := range maxStatuses + 10 {
		table.StoreStatus(statusOf(agentOf(fmt.Sprint("b", i), 0, 0), 1), start)
	}
	if len(table.statuses) != maxStatuses {
		t.Errorf("%d statuses stored, want %d", len(table.statuses), maxStatuses)
	}
	table.Prune(start.Add(2 * time.Minute))
	if len(table.statuses) != 0 || len(table.ownerVM) != 0 {
		t.Errorf("%d statuses and %d owners left after the alive timeout, want none", len(table.statuses), len(table.ownerVM))
	}
}

// Guards against peers whose lists differ after they applied deltas, whatever
// versions they missed, and against lists that revert to an older version.
func TestRosterDeltas(t *testing.T) {
	a, b, c := agentOf("a", 0, 0), agentOf("b", 1, 0), agentOf("c", 2, 0)
	changed := b
	changed.State = rtplatform.StateLeaving
	versions := [][]rtplatform.Member{nil, {a, b}, {a, changed}, {a, changed, c}, {a, c}, {b, c}}
	for from := 1; from < len(versions); from++ {
		for to := from; to < len(versions); to++ {
			var source, peer Roster
			for version := 1; version <= to; version++ {
				source.Apply(Delta{Version: rtid.Version(version), Members: versions[version]})
			}
			peer.Apply(Delta{Version: rtid.Version(from), Members: versions[from]})
			peer.Apply(source.DeltaSince(peer.Version()))
			if !slices.Equal(peer.Members(), source.Members()) || peer.Version() != source.Version() {
				t.Errorf("from %d to %d: %v, want %v", from, to, peer.Members(), source.Members())
			}
			if peer.Apply(Delta{Version: rtid.Version(to), Members: nil}) {
				t.Errorf("from %d to %d: same version applied again", from, to)
			}
			if peer.Apply(Delta{Base: 90, Version: 99}) {
				t.Errorf("from %d to %d: delta with a gap applied", from, to)
			}
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	for _, size := range sizes {
		members := fleetOf(0, size, 12, 9)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			table := Table{AliveTimeout: time.Minute}
			table.Apply(Delta{Version: 1, Members: members})
			for i := 0; b.Loop(); i++ {
				table.StoreStatus(statusOf(members[i%size], 1), start)
			}
		})
	}
}

// BenchmarkApplyList applies a whole list in which one VM has changed, as a
// designated reader reads it.
func BenchmarkApplyList(b *testing.B) {
	for _, size := range sizes {
		members := fleetOf(size*23/100, size, 12, 9)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var table Table
			for i := 0; b.Loop(); i++ {
				members[0].Address = rtid.Address(fmt.Sprintf("10.0.0.1:%d", 1+i%2))
				table.Apply(Delta{Version: rtid.Version(i + 1), Members: members})
			}
		})
	}
}

// BenchmarkApplyDelta applies the change of one VM, as pulled from a peer.
func BenchmarkApplyDelta(b *testing.B) {
	for _, size := range sizes {
		members := fleetOf(size*23/100, size, 12, 9)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var table Table
			table.Apply(Delta{Version: 1, Members: members})
			for i := 0; b.Loop(); i++ {
				members[0].Address = rtid.Address(fmt.Sprintf("10.0.0.1:%d", 1+i%2))
				table.Apply(Delta{Base: rtid.Version(i + 1), Version: rtid.Version(i + 2), Members: members[:1]})
			}
		})
	}
}
