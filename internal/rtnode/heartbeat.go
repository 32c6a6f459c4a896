package rtnode

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmember"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// heartbeatJitterDivisor divides the heartbeat interval to get the range of its
// random variation, so that entries do not send heartbeats in step.
const heartbeatJitterDivisor = 10

// updateInterval computes the heartbeat interval and the alive timeout from the
// current list of VMs. An agent assumes that entries use the longest interval,
// that of a designated reader. The caller holds n.mu, or n is not shared yet.
func (n *Node) updateInterval() {
	base := time.Duration(n.options.Settings.HeartbeatInterval)
	if base <= 0 {
		base = defaultHeartbeat
	}
	fleet := n.fleetSize()
	var readerBandwidth rtid.Bytes
	if n.designatedReader || n.self.Role == rtplatform.RoleAgent {
		list := rtid.Bytes(fleet.Entries+fleet.Agents) * listedMemberSize
		readerBandwidth = rtmember.ReaderBandwidth(rtid.Bytes(len(n.store.Current().Body)), list)
	}
	n.interval = rtmember.HeartbeatInterval(base, fleet, readerBandwidth)
	n.table.AliveTimeout = rtmember.AliveIntervals * n.interval
}

func (n *Node) fleetSize() rtmember.FleetSize {
	var fleet rtmember.FleetSize
	for _, member := range n.table.Roster().Members() {
		if member.Role == rtplatform.RoleAgent {
			fleet.Agents++
		} else {
			fleet.Entries++
		}
	}
	fleet.Subset = min(fleet.Agents, rtmember.SubsetLimit)
	return fleet
}

// maintainTable removes the statuses of silent processes and, in an entry, runs
// one heartbeat task for each agent of the subset.
func (n *Node) maintainTable(ctx context.Context) error {
	tasks := make(map[rtid.Address]*rttask.Task)
	for ctx.Err() == nil {
		subset, interval, changed := n.updateSubset(time.Now())
		n.syncHeartbeats(ctx, tasks, subset)
		sleepUntilChanged(ctx, interval, changed)
	}
	n.syncHeartbeats(ctx, tasks, nil)
	return nil
}

// updateTargets recomputes the subset of an entry, or the agents of an agent's
// own zone and service, if the list of VMs has changed or if agents are alive
// that the list does not name. The caller holds n.mu.
func (n *Node) updateTargets(now time.Time) {
	roster := n.table.Roster()
	candidates := n.table.Candidates(now)
	unlisted := len(candidates) - len(roster.Members())
	if roster.Version() == n.subsetVersion && unlisted == 0 && !n.subsetHadUnlisted {
		return
	}
	n.subsetVersion = roster.Version()
	n.subsetHadUnlisted = unlisted > 0
	switch n.self.Role {
	case rtplatform.RoleEntry:
		n.subset = rtmember.Subset(n.self, candidates, rtmember.SubsetLimit)
		n.targets = targetsOf(n.subset)
	case rtplatform.RoleAgent:
		n.targets = targetsOf(n.sameZoneAndService(candidates))
	}
}

// updateSubset updates the subset and returns it with the heartbeat interval
// and the channel that is closed at the next change of the list.
func (n *Node) updateSubset(now time.Time) ([]rtplatform.Member, time.Duration, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateInterval()
	n.table.Prune(now)
	n.updateTargets(now)
	return n.subset, n.interval, n.rosterChanged
}

// sameZoneAndService returns the agents of this process's zone and service, at
// which an agent can reserve memory. They get no heartbeats.
func (n *Node) sameZoneAndService(candidates []rtplatform.Member) []rtplatform.Member {
	var agents []rtplatform.Member
	for _, member := range candidates {
		if member.Role == rtplatform.RoleAgent && member.Zone == n.self.Zone && member.Service == n.self.Service {
			agents = append(agents, member)
		}
	}
	return agents
}

// targetsOf groups the targets of agents by service, sorted and without
// duplicates.
func targetsOf(agents []rtplatform.Member) map[rtid.Service][]rtid.Target {
	targets := make(map[rtid.Service][]rtid.Target)
	for _, agent := range agents {
		targets[agent.Service] = append(targets[agent.Service], agent.Target)
	}
	for service, list := range targets {
		slices.Sort(list)
		targets[service] = slices.Compact(list)
	}
	return targets
}

// syncHeartbeats starts and stops heartbeat tasks so that each agent of the
// subset has one.
func (n *Node) syncHeartbeats(ctx context.Context, tasks map[rtid.Address]*rttask.Task, subset []rtplatform.Member) {
	inSubset := make(map[rtid.Address]bool, len(subset))
	for _, member := range subset {
		inSubset[member.Address] = true
		if tasks[member.Address] == nil {
			tasks[member.Address] = n.startHeartbeat(ctx, member.Address)
		}
	}
	for address, task := range tasks {
		if !inSubset[address] {
			n.logTaskError("heartbeats", task.Stop())
			delete(tasks, address)
			continue
		}
		select {
		case err := <-task.Done():
			n.logTaskError("heartbeats", err)
			delete(tasks, address)
		default:
		}
	}
}

func (n *Node) logTaskError(task string, err error) {
	if err != nil {
		n.options.Log.Error(err, "Task failed.", "task", task)
	}
}

// startHeartbeat starts a task that exchanges status with one agent once per
// interval. The first exchange is immediate, the second follows after a random
// part of the interval.
func (n *Node) startHeartbeat(ctx context.Context, address rtid.Address) *rttask.Task {
	return rttask.Start(ctx, "heartbeat", func(ctx context.Context) error {
		n.exchangeHeartbeat(ctx, address)
		sleep(ctx, rand.N(n.currentInterval()))
		for ctx.Err() == nil {
			n.exchangeHeartbeat(ctx, address)
			interval := n.currentInterval()
			jitter := interval / heartbeatJitterDivisor
			sleep(ctx, interval-jitter/2+rand.N(jitter))
		}
		return nil
	})
}

func (n *Node) currentInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.interval
}

// exchangeHeartbeat exchanges status with the process at an address and queues
// a pull if that process has a newer document or list of VMs.
func (n *Node) exchangeHeartbeat(ctx context.Context, address rtid.Address) {
	status, err := n.hello(ctx, address)
	if err == nil && n.isBehind(status) {
		n.queuePull(status)
	}
}
