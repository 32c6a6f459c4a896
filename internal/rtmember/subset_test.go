package rtmember

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// fleetOf returns a list of VMs spread over zones and services, sorted by VM.
func fleetOf(entries, agents, zones, services int) []rtplatform.Member {
	var members []rtplatform.Member
	for i := range agents {
		members = append(members, agentOf(fmt.Sprintf("agent-%05d", i), i%zones, i/zones%services))
	}
	for i := range entries {
		members = append(members, rtplatform.Member{
			VM: rtid.VM(fmt.Sprintf("entry-%05d", i)), Role: rtplatform.RoleEntry,
			Zone: zoneOf(i % zones), Address: "10.0.0.1:1", State: rtplatform.StateLive,
		})
	}
	return members
}

func agentOf(name string, zone, service int) rtplatform.Member {
	return rtplatform.Member{
		VM: rtid.VM(name), Role: rtplatform.RoleAgent, Zone: zoneOf(zone), Address: "10.0.0.2:1",
		State: rtplatform.StateLive, Target: rtid.Target("target-" + name),
		Service: rtid.Service(fmt.Sprintf("service-%d", service)),
	}
}

func zoneOf(i int) rtid.Zone { return rtid.Zone(fmt.Sprintf("zone-%02d", i)) }

func entriesOf(members []rtplatform.Member) []rtplatform.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m rtplatform.Member) bool {
		return m.Role != rtplatform.RoleEntry
	})
}

// Guards against subsets over the limit, subsets that lack a service or the
// entry's own zone, and agents that no subset contains, as when processes
// compute different results.
func TestSubset(t *testing.T) {
	tests := []struct{ entries, agents, zones, services int }{
		{9, 26, 3, 2},
		{30, 100, 3, 2},
		{200, 1_000, 6, 5},
		{150, 4_000, 6, 5}, // without assigned agents, one agent in 40 would be in no subset
		{600, 10_000, 12, 9},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.agents), func(t *testing.T) {
			members := fleetOf(test.entries, test.agents, test.zones, test.services)
			covered := make(map[rtid.VM]int)
			for _, entry := range entriesOf(members) {
				subset := Subset(entry, members, SubsetLimit)
				checkSubset(t, entry, subset, test.agents, test.services)
				for _, agent := range subset {
					covered[agent.VM]++
				}
			}
			if len(covered) != test.agents {
				t.Errorf("%d agents are in a subset, want %d", len(covered), test.agents)
			}
		})
	}
}

func checkSubset(t *testing.T, entry rtplatform.Member, subset []rtplatform.Member, agents, services int) {
	t.Helper()
	if want := min(agents, SubsetLimit); len(subset) != want {
		t.Fatalf("subset of %s has %d agents, want %d", entry.VM, len(subset), want)
	}
	own, served := 0, make(map[rtid.Service]bool)
	for _, agent := range subset {
		served[agent.Service] = true
		if agent.Zone == entry.Zone {
			own++
		}
	}
	if len(served) != services {
		t.Errorf("subset of %s has agents of %d services, want %d", entry.VM, len(served), services)
	}
	if agents > 10*SubsetLimit && own < SubsetLimit/2 {
		t.Errorf("subset of %s has %d agents of its own zone, want half", entry.VM, own)
	}
}

// Guards against subsets that change by more than the replaced VM when one VM
// is replaced.
func TestSubsetIsStable(t *testing.T) {
	members := fleetOf(300, 2_000, 6, 5)
	replaced := slices.Clone(members)
	replaced[100] = agentOf("agent-new", 100%6, 100/6%5)
	moved := 0
	for _, entry := range entriesOf(members) {
		moved += countAdded(Subset(entry, members, SubsetLimit), Subset(entry, replaced, SubsetLimit))
	}
	// Both VMs have 300 x 100 / 2,000 = 15 entries each on average.
	t.Logf("%d places changed of %d", moved, 300*SubsetLimit)
	if moved > 60 {
		t.Errorf("%d places changed, want at most 60", moved)
	}
}

// countAdded returns the number of members of b that are not in a.
func countAdded(a, b []rtplatform.Member) int {
	count := 0
	for _, member := range b {
		if !slices.Contains(a, member) {
			count++
		}
	}
	return count
}

// Guards against readers that depend on the order of the list, too few readers,
// and readers that change when another VM starts draining.
func TestReaders(t *testing.T) {
	members := fleetOf(30, 100, 3, 2)
	readers := Readers(members)
	if len(readers) != 3*readersPerZone {
		t.Fatalf("%d readers, want %d", len(readers), 3*readersPerZone)
	}
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	if again := Readers(reversed); !sameVMs(readers, again) {
		t.Errorf("readers %v, with the list reversed %v, want the same", readers, again)
	}
	gone := readers[0]
	for i := range members {
		if members[i].VM == gone {
			members[i].State = rtplatform.StateLeaving
		}
	}
	kept := 0
	for _, reader := range Readers(members) {
		if slices.Contains(readers, reader) {
			kept++
		}
		if reader == gone {
			t.Errorf("draining VM %s is still a reader", gone)
		}
	}
	if kept != len(readers)-1 {
		t.Errorf("%d readers kept, want %d", kept, len(readers)-1)
	}
}

func sameVMs(a, b []rtid.VM) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// Guards against control traffic over the budget, and against heartbeat
// intervals longer than needed.
func TestInterval(t *testing.T) {
	tests := []struct {
		fleet           FleetSize
		readerBandwidth int64
		least           time.Duration
		most            time.Duration
	}{
		{FleetSize{23, 6, 23}, 0, time.Second, time.Second},
		{FleetSize{100, 2_300, 10_000}, 0, 3 * time.Second, 5 * time.Second},
		{FleetSize{100, 2_300, 100}, 0, time.Minute, 2 * time.Minute},
		{FleetSize{100, 2_300, 10_000}, 10_000, 6 * time.Second, 13 * time.Second},
		{FleetSize{100, 2_300, 10_000}, 1 << 40, 20 * time.Second, 30 * time.Second},
	}
	for _, test := range tests {
		got := HeartbeatInterval(time.Second, test.fleet, rtid.Bytes(test.readerBandwidth))
		if got < test.least || got > test.most {
			t.Errorf("%+v with reader bandwidth %d: got %v, want %v to %v", test.fleet, test.readerBandwidth, got, test.least, test.most)
		}
	}
}

var sizes = []int{20, 100, 1_000, 10_000}

func BenchmarkSubset(b *testing.B) {
	for _, size := range sizes {
		members := fleetOf(max(6, size*23/100), size, 12, 9)
		entry := members[len(members)-1]
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				Subset(entry, members, SubsetLimit)
			}
		})
	}
}

func BenchmarkReaders(b *testing.B) {
	for _, size := range sizes {
		members := fleetOf(max(6, size*23/100), size, 12, 9)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				Readers(members)
			}
		})
	}
}
