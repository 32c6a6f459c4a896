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

// jitterParts is the share of an interval by which heartbeats vary, as a
// divisor, so that the entries do not beat in step.
const jitterParts = 10

// setInterval sets the interval of heartbeats for the list of VMs held. An
// agent allows entries the longest interval, that of a reader. n.mu is held,
// or n is not shared yet.
func (n *Node) setInterval() {
	base := time.Duration(n.options.Settings.HeartbeatInterval)
	if base <= 0 {
		base = defaultHeartbeat
	}
	fleet := n.fleet()
	var reading rtid.Bytes
	if n.reader || n.self.Role == rtplatform.RoleAgent {
		list := rtid.Bytes(fleet.Entries+fleet.Agents) * lineSize
		reading = rtmember.ReaderBandwidth(rtid.Bytes(len(n.store.Current().Body)), list)
	}
	n.interval = rtmember.HeartbeatInterval(base, fleet, reading)
	n.table.AliveTimeout = rtmember.AliveIntervals * n.interval
}

func (n *Node) fleet() rtmember.FleetSize {
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

// keepTable forgets silent processes and, in an entry, keeps one task of
// heartbeats for each agent of the subset.
func (n *Node) keepTable(ctx context.Context) error {
	beats := make(map[rtid.Address]*rttask.Task)
	for ctx.Err() == nil {
		subset, interval, changed := n.updateSubset(time.Now())
		n.keepBeats(ctx, beats, subset)
		wait(ctx, interval, changed)
	}
	n.keepBeats(ctx, beats, nil)
	return nil
}

// chooseTargets recomputes the subset of an entry and the agents near an
// agent if the list of VMs has changed, or if agents answer that the list does
// not name. n.mu is held.
func (n *Node) chooseTargets(now time.Time) {
	roster := n.table.Roster()
	candidates := n.table.Candidates(now)
	unlisted := len(candidates) - len(roster.Members())
	if roster.Version() == n.chosenFrom && unlisted == 0 && !n.chosenUnlisted {
		return
	}
	n.chosenFrom = roster.Version()
	n.chosenUnlisted = unlisted > 0
	switch n.self.Role {
	case rtplatform.RoleEntry:
		n.subset = rtmember.Subset(n.self, candidates, rtmember.SubsetLimit)
		n.targets = targetsOf(n.subset)
	case rtplatform.RoleAgent:
		n.targets = targetsOf(n.agentsOfOwnKind(candidates))
	}
}

// updateSubset updates the subset and returns it with the interval of
// heartbeats and the channel of the next change of the list.
func (n *Node) updateSubset(now time.Time) ([]rtplatform.Member, time.Duration, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setInterval()
	n.table.Prune(now)
	n.chooseTargets(now)
	return n.subset, n.interval, n.listChanged
}

// agentsOfOwnKind returns the agents of this zone and service, which an agent
// can ask for memory. They get no heartbeats.
func (n *Node) agentsOfOwnKind(candidates []rtplatform.Member) []rtplatform.Member {
	var near []rtplatform.Member
	for _, member := range candidates {
		if member.Role == rtplatform.RoleAgent && member.Zone == n.self.Zone && member.Service == n.self.Service {
			near = append(near, member)
		}
	}
	return near
}

// targetsOf returns the targets of agents by service, sorted.
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

// keepBeats starts and stops tasks so that each agent of the subset has one.
func (n *Node) keepBeats(ctx context.Context, beats map[rtid.Address]*rttask.Task, subset []rtplatform.Member) {
	wanted := make(map[rtid.Address]bool, len(subset))
	for _, member := range subset {
		wanted[member.Address] = true
		if beats[member.Address] == nil {
			beats[member.Address] = n.startBeat(ctx, member.Address)
		}
	}
	for address, task := range beats {
		if !wanted[address] {
			n.logEnd("heartbeats", task.Stop())
			delete(beats, address)
			continue
		}
		select {
		case err := <-task.Done():
			n.logEnd("heartbeats", err)
			delete(beats, address)
		default:
		}
	}
}

func (n *Node) logEnd(task string, err error) {
	if err != nil {
		n.options.Log.Error(err, "Task ended.", "task", task)
	}
}

// startBeat exchanges status with one agent each interval. The first
// exchange is at once, the second at a random part of the interval.
func (n *Node) startBeat(ctx context.Context, address rtid.Address) *rttask.Task {
	return rttask.Start(ctx, "heartbeat", func(ctx context.Context) error {
		n.beat(ctx, address)
		pause(ctx, rand.N(n.currentInterval()))
		for ctx.Err() == nil {
			n.beat(ctx, address)
			interval := n.currentInterval()
			spread := interval / jitterParts
			pause(ctx, interval-spread/2+rand.N(spread))
		}
		return nil
	})
}

func (n *Node) currentInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.interval
}

// beat exchanges status with one agent and queues a pull if it knows more.
func (n *Node) beat(ctx context.Context, address rtid.Address) {
	status, err := n.hello(ctx, address)
	if err == nil && n.behind(status) {
		n.queuePull(status)
	}
}
