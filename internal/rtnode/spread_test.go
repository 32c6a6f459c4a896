package rtnode_test

import (
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// Guards against news that reach only the processes that read the platform.
func TestNewVersionReachesAllWithoutTheirPlatform(t *testing.T) {
	inRunningFleet(t, func(_ *testing.T, f *fleet) {
		f.cutPlatform(f.readers()[:2]...)
		f.publish(1)
		f.within(newsBound, "version 2 spreads", f.allHave(2))
	})
}

// Guards against a fleet that depends on its designated readers: two others
// are the only ones with a path to the platform.
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
		f.within(silentBound, "version 2 is found", f.allHave(2))
		f.pass(time.Minute)
		f.publish(2)
		f.within(newsBound, "version 3 spreads", f.allHave(3))
	})
}

// Guards against news and planned stops that wait for heartbeats, which are
// slow in a large fleet.
func TestNewsDoNotWaitForHeartbeats(t *testing.T) {
	inFleet(t, func(_ *testing.T, f *fleet) {
		f.heartbeat = time.Hour
		f.publish(0)
		f.build(2, 4)
		f.startAll()
		f.within(startBound, "all are alive", f.allAlive)
		f.cutPlatform(f.readers()[0])
		f.publish(1)
		f.within(newsBound, "version 2 spreads", f.allHave(2))
		agent := f.ofRole(rtplatform.RoleAgent)[0]
		agent.node.SetDraining()
		f.within(newsBound, "entries know that it leaves", f.knownLeaving(agent))
	})
}

// Guards against news that do not reach all processes when the interval is
// stretched and subsets do not hold all agents.
func TestNewsInLargerFleet(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.publish(0)
		f.build(12, 110)
		f.startAll()
		f.within(startBound, "fleet starts", f.allHave(1))
		entry := f.processes[0].node
		if dump := entry.Dump(); len(dump.Subset) != 100 || dump.HeartbeatInterval < 3 {
			t.Fatalf("subset of %d, interval of %v s", len(dump.Subset), dump.HeartbeatInterval)
		}
		f.cutPlatform(f.readers()[0])
		f.publish(1)
		f.within(newsBound, "version 2 spreads", f.allHave(2))
	})
}

// Guards against agents that learn news only from entries with a path to the
// platform, and entries only from agents.
func TestNewsCrossBothRoles(t *testing.T) {
	for _, role := range []rtplatform.Role{rtplatform.RoleEntry, rtplatform.RoleAgent} {
		t.Run("only "+string(role), func(t *testing.T) {
			inRunningFleet(t, func(t *testing.T, f *fleet) {
				var reading []*process
				for _, p := range f.readers() {
					if p.member.Role == role {
						reading = append(reading, p)
					}
				}
				if len(reading) != zones {
					t.Fatalf("%d readers are of role %s, want one a zone", len(reading), role)
				}
				f.cutPlatform(f.ofRole(role)...)
				f.publish(1)
				f.within(newsBound, "version 2 spreads", f.allHave(2))
			})
		})
	}
}

// Guards against news that stop when a designated reader dies.
func TestReaderKilled(t *testing.T) {
	inRunningFleet(t, func(_ *testing.T, f *fleet) {
		f.kill(f.readers()[0])
		f.publish(1)
		f.within(newsBound, "version 2 spreads", f.allHave(2))
	})
}

// Guards against a fleet without readers while the list still names the dead
// ones.
func TestAllReadersKilled(t *testing.T) {
	inRunningFleet(t, func(_ *testing.T, f *fleet) {
		for _, p := range f.readers() {
			f.kill(p)
		}
		f.publish(1)
		f.within(silentBound, "version 2 is found", f.allHave(2))
		f.publish(2)
		f.within(newsBound, "version 3 spreads", f.allHave(3))
	})
}

// Guards against processes that keep an old version after a partition, and
// against a fleet that stops while it is partitioned.
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
		f.pass(2 * time.Minute)
		for _, p := range inside {
			if held, _ := p.node.Document(); held != 1 {
				f.t.Errorf("%s has version %d inside the partition", p.member.VM, held)
			}
		}
		f.eachLink(inside, f.network.Heal)
		f.within(newsBound, "version 2 spreads", f.allHave(2))
		f.within(newsBound, "all are alive", f.allAlive)
	})
}

// eachLink calls change for the links between some processes and all others
// and the platform.
func (f *fleet) eachLink(inside []*process, change func(a, b string)) {
	isInside := make(map[string]bool)
	for _, p := range inside {
		isInside[p.host] = true
	}
	for _, p := range inside {
		change(p.host, platformHost)
		for _, other := range f.processes {
			if !isInside[other.host] {
				change(p.host, other.host)
			}
		}
	}
}
