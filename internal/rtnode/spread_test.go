package rtnode_test

import (
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// Guards against a new version that reaches only the processes that read the
// platform: all but two readers are cut off from it.
func TestNewVersionReachesAllWithoutTheirPlatform(t *testing.T) {
	inRunningFleet(t, func(_ *testing.T, f *fleet) {
		f.cutPlatform(f.readers()[:2]...)
		f.publish(1)
		f.within(propagationBound, "version 2 spreads", f.allHave(2))
	})
}

// Guards against a fleet that depends on its designated readers: only two other
// processes can reach the platform.
func TestOthersReadWhenReadersAreCutOff(t *testing.T) {
	inRunningFleet(t, func(_ *testing.T, f *fleet) {
		var others []*process
		for _, p := range f.processes {
			if !p.node.Dump().Reader {
				others = append(others, p)
			}
		}
		f.cutPlatform(others[0], others[len(others)-1])
		f.publish(1)
		f.within(readerFailoverBound, "version 2 is found", f.allHave(2))
		f.advance(time.Minute)
		f.publish(2)
		f.within(propagationBound, "version 3 spreads", f.allHave(3))
	})
}

// Guards against a new version or the start of draining that waits for the next
// heartbeat, whose interval is long in a large fleet.
func TestNewsDoNotWaitForHeartbeats(t *testing.T) {
	inFleet(t, func(_ *testing.T, f *fleet) {
		f.heartbeat = time.Hour
		f.publish(0)
		f.build(2, 4)
		f.startAll()
		f.within(startBound, "all are alive", f.allAlive)
		f.cutPlatform(f.readers()[0])
		f.publish(1)
		f.within(propagationBound, "version 2 spreads", f.allHave(2))
		agent := f.ofRole(rtplatform.RoleAgent)[0]
		agent.node.SetDraining()
		f.within(propagationBound, "entries know that it is draining", f.knownDraining(agent))
	})
}

// Guards against a new version that does not reach all processes when the
// heartbeat interval is lengthened and subsets do not contain all agents.
func TestNewsInLargerFleet(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.publish(0)
		f.build(12, 110)
		f.startAll()
		f.within(startBound, "fleet starts", f.allHave(1))
		entry := f.processes[0].node
		if dump := entry.Dump(); len(dump.Subset) != 100 || dump.HeartbeatInterval < 3 {
			t.Fatalf("got a subset of %d agents and an interval of %v s, want 100 and at least 3 s", len(dump.Subset), dump.HeartbeatInterval)
		}
		f.cutPlatform(f.readers()[0])
		f.publish(1)
		f.within(propagationBound, "version 2 spreads", f.allHave(2))
	})
}

// Guards against versions that do not spread between the roles: all processes
// of one role are cut off from the platform.
func TestNewsCrossBothRoles(t *testing.T) {
	for _, role := range []rtplatform.Role{rtplatform.RoleEntry, rtplatform.RoleAgent} {
		t.Run("only "+string(role), func(t *testing.T) {
			inRunningFleet(t, func(t *testing.T, f *fleet) {
				var readers []*process
				for _, p := range f.readers() {
					if p.member.Role == role {
						readers = append(readers, p)
					}
				}
				if len(readers) != zones {
					t.Fatalf("got %d readers of role %s, want one per zone", len(readers), role)
				}
				f.cutPlatform(f.ofRole(role)...)
				f.publish(1)
				f.within(propagationBound, "version 2 spreads", f.allHave(2))
			})
		})
	}
}

// Guards against new versions that stop spreading when a designated reader
// dies.
func TestReaderKilled(t *testing.T) {
	inRunningFleet(t, func(_ *testing.T, f *fleet) {
		f.kill(f.readers()[0])
		f.publish(1)
		f.within(propagationBound, "version 2 spreads", f.allHave(2))
	})
}

// Guards against a fleet in which nobody reads the platform because the list of
// VMs still names the dead readers.
func TestAllReadersKilled(t *testing.T) {
	inRunningFleet(t, func(_ *testing.T, f *fleet) {
		for _, p := range f.readers() {
			f.kill(p)
		}
		f.publish(1)
		f.within(readerFailoverBound, "version 2 is found", f.allHave(2))
		f.publish(2)
		f.within(propagationBound, "version 3 spreads", f.allHave(3))
	})
}

// Guards against processes that keep an old version after a partition has
// healed, and against a fleet that stops working while it is partitioned.
func TestPartitionAndHeal(t *testing.T) {
	inRunningFleet(t, func(_ *testing.T, f *fleet) {
		var inside []*process
		for _, p := range f.processes {
			if p.member.Zone == zoneOf(0) {
				inside = append(inside, p)
			}
		}
		f.eachLink(inside, f.network.CutBoth)
		f.publish(1)
		f.advance(2 * time.Minute)
		for _, p := range inside {
			if inForce, _ := p.node.Document(); inForce != 1 {
				f.t.Errorf("%s has version %d inside the partition", p.member.VM, inForce)
			}
		}
		f.eachLink(inside, f.network.Heal)
		f.within(propagationBound, "version 2 spreads", f.allHave(2))
		f.within(propagationBound, "all are alive", f.allAlive)
	})
}

// eachLink calls change for each link from the inside processes to the platform
// and to all other processes.
func (f *fleet) eachLink(inside []*process, change func(a, b string)) {
	insideHost := make(map[string]bool)
	for _, p := range inside {
		insideHost[p.host] = true
	}
	for _, p := range inside {
		change(p.host, platformHost)
		for _, other := range f.processes {
			if !insideHost[other.host] {
				change(p.host, other.host)
			}
		}
	}
}
