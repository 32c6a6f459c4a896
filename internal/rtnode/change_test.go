package rtnode_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// Guards against a starting process that stays with the stale document of the
// platform although its peers have a newer version.
func TestStartWithStalePlatform(t *testing.T) {
	inRunningFleet(t, func(t *testing.T, f *fleet) {
		f.publish(1)
		f.within(propagationBound, "version 2 spreads", f.allHave(2))
		f.platform.SetStale(1)
		p := f.replace(f.ofRole(rtplatform.RoleEntry)[0])
		<-p.node.Started()
		if version, _ := p.node.Document(); version != 2 {
			t.Errorf("started with version %d, want 2", version)
		}
		f.during(75*time.Second, "nobody reverts", f.allHave(2))
	})
}

// Guards against a process that reports itself started without a configuration,
// and against one that never starts because its first read failed.
func TestStartWhilePlatformIsDown(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.publish(0)
		f.build(entries, agents)
		f.platform.SetDown(true)
		f.startAll()
		f.during(time.Minute, "nobody starts", func() error {
			for _, p := range f.processes {
				select {
				case <-p.node.Started():
					return fmt.Errorf("%s has started", p.member.VM)
				default:
				}
			}
			return nil
		})
		f.platform.SetDown(false)
		f.within(readerFailoverBound, "fleet starts", f.allHave(1))
		f.within(readerFailoverBound, "all are alive", f.allAlive)
	})
}

// Guards against entries that do not find all agents, or agents that lose their
// entries, when half of the entries are replaced at once.
func TestHalfOfEntriesReplaced(t *testing.T) {
	inRunningFleet(t, func(_ *testing.T, f *fleet) {
		f.publish(1)
		for i, p := range f.ofRole(rtplatform.RoleEntry) {
			if i%2 == 0 {
				f.replace(p)
			}
		}
		f.publishList(2 * time.Second)
		f.within(startBound, "fleet starts", f.allHave(2))
		f.within(propagationBound, "all are alive", f.allAlive)
	})
}

// Guards against a version that is lost or reverted when every process is
// replaced while the platform is down, so that only peers have the version.
func TestRollingReplacementKeepsVersion(t *testing.T) {
	inRunningFleet(t, func(_ *testing.T, f *fleet) {
		f.publish(1)
		f.within(propagationBound, "version 2 spreads", f.allHave(2))
		f.platform.SetDown(true)
		for _, p := range append(f.ofRole(rtplatform.RoleAgent), f.ofRole(rtplatform.RoleEntry)...) {
			seeds := []rtid.Address{f.processes[0].member.Address, f.processes[len(f.processes)-1].member.Address}
			f.replace(p, seeds...)
			f.within(startBound, "successor starts", f.allHave(2))
		}
		f.platform.SetStale(1)
		f.platform.SetDown(false)
		f.publishList(0)
		f.during(75*time.Second, "nobody reverts", f.allHave(2))
		f.within(readerFailoverBound, "all are alive", f.allAlive)
	})
}

// Guards against an agent that is dropped because the list of VMs lacks it,
// although it answers heartbeats, and against one that is kept after it has
// died.
func TestListLags(t *testing.T) {
	inRunningFleet(t, func(t *testing.T, f *fleet) {
		f.within(propagationBound, "all are alive", f.allAlive)
		agent := f.ofRole(rtplatform.RoleAgent)[0]
		var members []rtplatform.Member
		for _, p := range f.processes {
			if p != agent {
				members = append(members, p.member)
			}
		}
		f.platform.SetVMs(members, 0)
		f.during(20*time.Second, "the agent answers", f.allAlive)
		f.kill(agent)
		f.within(propagationBound, "no entry finds the agent", func() error {
			for _, entry := range f.ofRole(rtplatform.RoleEntry) {
				if _, found := entry.node.Find(agent.member.Target); found {
					return fmt.Errorf("%s still finds the agent", entry.member.VM)
				}
			}
			return nil
		})
	})
}

// Guards against a late status of an old process that replaces the status of
// its successor on the same target.
func TestNewIncarnationReplacesOld(t *testing.T) {
	inRunningFleet(t, func(t *testing.T, f *fleet) {
		f.within(propagationBound, "all are alive", f.allAlive)
		old := f.ofRole(rtplatform.RoleAgent)[0]
		lateStatus := old.node.Status()
		f.replace(old)
		f.publishList(0)
		f.within(propagationBound, "the successor is known", f.allAlive)
		for _, entry := range f.ofRole(rtplatform.RoleEntry) {
			entry.node.HandleStatus(lateStatus)
		}
		f.during(20*time.Second, "the successor stays", f.allAlive)
	})
}

// Guards against work sent to a draining process: entries must know within the
// bound of invariant 8.
func TestLeavingIsKnown(t *testing.T) {
	inRunningFleet(t, func(_ *testing.T, f *fleet) {
		f.within(propagationBound, "all are alive", f.allAlive)
		agent := f.ofRole(rtplatform.RoleAgent)[0]
		agent.node.SetDraining()
		f.within(propagationBound, "entries know that it is draining", f.knownDraining(agent))
	})
}

// knownDraining checks that all entries that see an agent alive see it
// draining.
func (f *fleet) knownDraining(agent *process) func() error {
	return func() error {
		for _, entry := range f.ofRole(rtplatform.RoleEntry) {
			view, _ := entry.node.Find(agent.member.Target)
			if view.Alive && !view.Draining {
				return fmt.Errorf("%s does not see the agent draining", entry.member.VM)
			}
		}
		return nil
	}
}

// Guards against a refused document that blocks the next one, is missing from
// or stays in the dump, or is read from the platform repeatedly.
func TestRefusedDocumentBetweenGoodOnes(t *testing.T) {
	inRunningFleet(t, func(t *testing.T, f *fleet) {
		f.platform.Publish([]byte(`{"revision": "none"}`))
		before, _ := f.platform.Calls()
		f.during(time.Minute, "version 1 stays", f.allHave(1))
		after, _ := f.platform.Calls()
		if calls := after - before; calls > 12*len(f.readers()) {
			t.Errorf("got %d calls to the platform in a minute, want at most 12 per reader", calls)
		}
		reader := f.readers()[0].node
		if refused := reader.Dump().Configuration.Refused; refused == nil || refused.Version != 2 || len(refused.Findings) == 0 {
			t.Errorf("refused is %+v, want version 2 with findings", refused)
		}
		f.publish(1)
		f.within(propagationBound, "version 3 spreads", f.allHave(3))
		if refused := reader.Dump().Configuration.Refused; refused != nil {
			t.Errorf("refused is %+v after a newer document", refused)
		}
	})
}

// Guards against a fleet that reverts to an older version when the platform is
// rolled back.
func TestRolledBackPublication(t *testing.T) {
	inRunningFleet(t, func(t *testing.T, f *fleet) {
		first := f.body(0)
		f.publish(1)
		f.publish(2)
		f.within(propagationBound, "version 3 spreads", f.allHave(3))
		f.platform.PublishVersion(2, first)
		f.replace(f.ofRole(rtplatform.RoleEntry)[0])
		f.within(startBound, "the successor starts", f.allHave(3))
		// Without readers, other processes read the older version.
		for _, reader := range f.readers() {
			f.network.CutBoth(reader.host, platformHost)
		}
		f.during(75*time.Second, "nobody reverts", f.allHave(3))
		if countReverted(f) == 0 {
			t.Error("no process counted the older version")
		}
		for _, reader := range f.readers() {
			f.network.Heal(reader.host, platformHost)
		}
		f.publish(3)
		f.within(propagationBound, "version 4 spreads", f.allHave(4))
	})
}

func countReverted(f *fleet) uint64 {
	var total uint64
	for _, p := range f.processes {
		total += p.node.Dump().Configuration.Counts.Reverted
	}
	return total
}

// Guards against processes that differ, or do not count a conflict, after two
// publications from one base.
func TestTwoPublicationsFromOneBase(t *testing.T) {
	inRunningFleet(t, func(t *testing.T, f *fleet) {
		f.publish(1)
		f.within(propagationBound, "version 2 spreads", f.allHave(2))
		f.publish(1)
		f.within(propagationBound, "version 3 spreads", f.allHave(3))
		for _, p := range f.processes {
			if conflicts := p.node.Dump().Configuration.Counts.Conflicts; conflicts != 1 {
				t.Errorf("%s counted %d conflicts, want 1", p.member.VM, conflicts)
			}
		}
	})
}

// Guards against load on the platform that grows with the fleet: only
// designated readers may watch it, also after the platform has failed.
func TestCallsOfPlatform(t *testing.T) {
	inRunningFleet(t, func(t *testing.T, f *fleet) {
		readers := len(f.readers())
		if readers != 2*zones {
			t.Fatalf("%d designated readers, want %d", readers, 2*zones)
		}
		f.advance(10 * time.Second)
		if _, watches := f.platform.Calls(); watches != 2*readers {
			t.Errorf("%d watches wait, want %d", watches, 2*readers)
		}
		steady := f.callsIn(2 * time.Minute)
		// Each reader holds two watches of 30 s.
		if limit := readers * 2 * 4; steady > limit+readers {
			t.Errorf("%d calls in 2 min, want at most %d", steady, limit)
		}
		f.platform.SetDown(true)
		down := f.callsIn(2 * time.Minute)
		// Readers try every 2 to 4 s, the others every 30 to 60 s.
		if limit := readers*2*60 + len(f.processes)*4; down > limit {
			t.Errorf("%d calls in 2 min without the platform, want at most %d", down, limit)
		}
		t.Logf("%d processes: %d calls in 2 min, %d while the platform is down", len(f.processes), steady, down)
		f.platform.SetDown(false)
		f.publish(1)
		f.within(propagationBound, "version 2 spreads", f.allHave(2))
	})
}

// Guards against a restart of all processes in which a process reads the
// platform more than once: all of them share a limit of 2,000 calls per
// second.
func TestRestartOfAll(t *testing.T) {
	inRunningFleet(t, func(t *testing.T, f *fleet) {
		for _, p := range slices.Clone(f.processes) {
			f.kill(p)
			p.node = nil
			f.processes = append(f.processes, p)
		}
		before, _ := f.platform.Calls()
		f.startAll()
		f.within(startBound, "fleet starts", f.allHave(1))
		after, _ := f.platform.Calls()
		calls, watches := after-before, 2*len(f.readers())
		t.Logf("%d processes: %d calls", len(f.processes), calls)
		// Each reads the document and the list once.
		if limit := 2*len(f.processes) + watches; calls > limit {
			t.Errorf("%d calls, want at most %d", calls, limit)
		}
	})
}

func (f *fleet) callsIn(duration time.Duration) int {
	before, _ := f.platform.Calls()
	f.advance(duration)
	after, _ := f.platform.Calls()
	return after - before
}
