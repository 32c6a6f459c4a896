package rtfleet

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// affected returns the parts that the requests of the cell use. Before the
// draft has an id, it is expected at the engine of its entry's zone.
func (c *cell) affected(draft *draftRun, order *orderRun) affected {
	target := rtid.Target("a-engine-1")
	if draft != nil {
		if id := c.seen(draft).ID; id != "" {
			target = targetOf(rtid.Request(id))
		}
	}
	return affected{
		entry:  c.fleet.Entries[0],
		agents: []*Process{c.fleet.Agent(target), c.fleet.Agent(targetOf(order.id))},
	}
}

// each calls f for each agent.
func (v affected) each(f func(*Process)) {
	for _, agent := range v.agents {
		f(agent)
	}
}

// targetOf returns the target that a request id names.
func targetOf(id rtid.Request) rtid.Target {
	home, err := rtid.ParseRequest(id)
	if err != nil {
		panic(err) // ids come from the system under test and were parsed by it
	}
	return home.Target
}

func (c *cell) engineOf(id string) *rtfake.Engine {
	return c.fleet.Engines[targetOf(rtid.Request(id))]
}

func (c *cell) serviceOf(order *orderRun) *rtfake.Service {
	return c.fleet.Services[targetOf(order.id)]
}

// finish waits for the ends of all requests.
func (c *cell) finish() {
	for _, task := range c.tasks {
		if err := <-task.Done(); err != nil {
			c.t.Error(err)
		}
	}
	c.tasks = nil
}

// restart runs a new incarnation of a process.
func (c *cell) restart(process *Process) {
	c.t.Helper()
	c.monitor.restarted(process)
	if err := c.fleet.Start(process); err != nil {
		c.t.Error(err)
	}
}

// replace waits for the end of a planned stop and runs a new incarnation.
func (c *cell) replace(process *Process) {
	c.t.Helper()
	if err := process.Stop(); err != nil {
		c.t.Error(err)
	}
	c.restart(process)
}

// stop begins a planned stop of a process.
func (c *cell) stop(process *Process) {
	c.monitor.close(process.Target)
	process.BeginStop()
}

// pair combines two faults.
func pair(first, second func(*cell, affected)) func(*cell, affected) {
	return func(c *cell, v affected) {
		first(c, v)
		second(c, v)
	}
}

func killEntry(c *cell, v affected) { c.killEntry(v.entry) }
func (c *cell) killEntry(entry *Process) {
	c.entryLost.Store(true)
	entry.Kill()
}

func freezeEntry(c *cell, v affected) {
	c.entryLost.Store(true)
	c.fabric.Freeze(v.entry.Host)
}

func thawEntry(c *cell, v affected)    { c.fabric.Thaw(v.entry.Host) }
func restartEntry(c *cell, v affected) { c.restart(v.entry) }

func killAgents(_ *cell, v affected)    { v.each((*Process).Kill) }
func restartAgents(c *cell, v affected) { v.each(c.restart) }

func freezeAgents(c *cell, v affected) { v.each(func(a *Process) { c.fabric.Freeze(a.Host) }) }
func thawAgents(c *cell, v affected)   { v.each(func(a *Process) { c.fabric.Thaw(a.Host) }) }

func cutBoth(c *cell, v affected) {
	v.each(func(a *Process) { c.fabric.CutBoth(v.entry.Host, a.Host) })
}
func healLinks(c *cell, v affected) { v.each(func(a *Process) { c.fabric.Heal(v.entry.Host, a.Host) }) }

// loseAnswers loses the next answer of the plain service, and cuts the answers
// of the agents after one more byte.
func loseAnswers(c *cell, v affected) {
	v.each(func(a *Process) {
		c.fabric.CutAfter(a.Host, v.entry.Host, 1)
		if service := c.fleet.Services[a.Target]; service != nil {
			service.LoseReplies(1)
		}
	})
}

// target is what faults of engines and plain services act on.
type target interface {
	Crash()
	Freeze()
	Thaw()
}

// targets calls f for the targets of the agents.
func (c *cell) targets(v affected, f func(target)) {
	v.each(func(a *Process) {
		if engine := c.fleet.Engines[a.Target]; engine != nil {
			f(engine)
		}
		if service := c.fleet.Services[a.Target]; service != nil {
			f(service)
		}
	})
}

func crashTargets(c *cell, v affected)  { c.targets(v, target.Crash) }
func freezeTargets(c *cell, v affected) { c.targets(v, target.Freeze) }
func thawTargets(c *cell, v affected)   { c.targets(v, target.Thaw) }

func turnCold(c *cell, v affected) {
	if engine := c.fleet.Engines[v.agents[0].Target]; engine != nil {
		engine.TurnCold()
	}
}

func zoneOut(c *cell, _ affected) { c.publish(rtdocument.ZoneOutOfService) }
func zoneIn(c *cell, _ affected)  { c.publish(rtdocument.ZoneInService) }

// cutEntryFromAgents leaves an entry with the platform and the other entries.
func cutEntryFromAgents(c *cell, v affected) {
	for _, agent := range c.fleet.Agents {
		c.fabric.CutBoth(v.entry.Host, agent.Host)
	}
}

func cutAgentsFromPlatform(c *cell, v affected) {
	v.each(func(a *Process) { c.fabric.CutBoth(a.Host, platformHost) })
}

func healAgents(c *cell, v affected) { v.each(c.healAll) }

// worsenLinks delays segments between all processes beyond one another and
// sends one in ten of them twice.
func worsenLinks(c *cell, _ affected) {
	c.setLinks(rtfake.Latency{Base: linkDelay, Jitter: 100 * time.Millisecond, Loss: 0.1})
}

func restoreLinks(c *cell, _ affected) {
	c.setLinks(rtfake.Latency{Base: linkDelay, Jitter: linkDelay / 2})
}

func (c *cell) setLinks(latency rtfake.Latency) {
	for _, from := range c.processes() {
		for _, to := range c.processes() {
			if from != to {
				c.fabric.SetLatency(from.Host, to.Host, latency)
			}
		}
	}
}
