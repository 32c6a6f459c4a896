package rtfleet

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// affectedBy returns the processes that the faults of a draft and an order act
// on. While the draft has no ID, it assumes the engine in the zone of its entry.
func (e *env) affectedBy(draft *draftRun, order *orderRun) affected {
	target := rtid.Target("a-engine-1")
	if draft != nil {
		if id := e.progress(draft).ID; id != "" {
			target = targetOf(rtid.Request(id))
		}
	}
	return affected{
		entry:  e.fleet.Entries[0],
		agents: []*Process{e.fleet.Agent(target), e.fleet.Agent(targetOf(order.id))},
	}
}

// each calls f for each agent.
func (v affected) each(f func(*Process)) {
	for _, agent := range v.agents {
		f(agent)
	}
}

// targetOf returns the target that a request ID names.
func targetOf(id rtid.Request) rtid.Target {
	parsed, err := rtid.ParseRequest(id)
	if err != nil {
		panic(err) // IDs come from the system under test, which has parsed them
	}
	return parsed.Target
}

func (e *env) engineOf(id string) *rtfake.Engine {
	return e.fleet.Engines[targetOf(rtid.Request(id))]
}

func (e *env) serviceOf(order *orderRun) *rtfake.Service {
	return e.fleet.Services[targetOf(order.id)]
}

// waitForRequests waits until all requests have ended.
func (e *env) waitForRequests() {
	for _, task := range e.tasks {
		if err := <-task.Done(); err != nil {
			e.t.Error(err)
		}
	}
	e.tasks = nil
}

// restart starts a new incarnation of a process.
func (e *env) restart(process *Process) {
	e.t.Helper()
	e.monitor.processRestarted(process)
	if err := e.fleet.Start(process); err != nil {
		e.t.Error(err)
	}
}

// replace shuts a process down gracefully, waits for its end and starts a new
// incarnation.
func (e *env) replace(process *Process) {
	e.t.Helper()
	if err := process.Stop(); err != nil {
		e.t.Error(err)
	}
	e.restart(process)
}

// beginStop starts the graceful shutdown of a process.
func (e *env) beginStop(process *Process) {
	e.monitor.close(process.Target)
	process.BeginStop()
}

// pair combines two faults.
func pair(first, second func(*env, affected)) func(*env, affected) {
	return func(e *env, v affected) {
		first(e, v)
		second(e, v)
	}
}

func killEntry(e *env, v affected) { e.killEntry(v.entry) }
func (e *env) killEntry(entry *Process) {
	e.entryLost.Store(true)
	entry.Kill()
}

func freezeEntry(e *env, v affected) {
	e.entryLost.Store(true)
	e.fabric.Freeze(v.entry.Host)
}

func thawEntry(e *env, v affected)    { e.fabric.Thaw(v.entry.Host) }
func restartEntry(e *env, v affected) { e.restart(v.entry) }

func killAgents(_ *env, v affected)    { v.each((*Process).Kill) }
func restartAgents(e *env, v affected) { v.each(e.restart) }

func freezeAgents(e *env, v affected) { v.each(func(a *Process) { e.fabric.Freeze(a.Host) }) }
func thawAgents(e *env, v affected)   { v.each(func(a *Process) { e.fabric.Thaw(a.Host) }) }

func cutBoth(e *env, v affected) {
	v.each(func(a *Process) { e.fabric.CutBoth(v.entry.Host, a.Host) })
}
func healLinks(e *env, v affected) { v.each(func(a *Process) { e.fabric.Heal(v.entry.Host, a.Host) }) }

// loseReplies loses the next reply of the plain service, and cuts the links from
// the agents to the entry after one more byte.
func loseReplies(e *env, v affected) {
	v.each(func(a *Process) {
		e.fabric.CutAfter(a.Host, v.entry.Host, 1)
		if service := e.fleet.Services[a.Target]; service != nil {
			service.LoseReplies(1)
		}
	})
}

// faultTarget is a fake engine or plain service that faults act on.
type faultTarget interface {
	Crash()
	Freeze()
	Thaw()
}

// eachTarget calls f for the target of each affected agent.
func (e *env) eachTarget(v affected, f func(faultTarget)) {
	v.each(func(a *Process) {
		if engine := e.fleet.Engines[a.Target]; engine != nil {
			f(engine)
		}
		if service := e.fleet.Services[a.Target]; service != nil {
			f(service)
		}
	})
}

func crashTargets(e *env, v affected)  { e.eachTarget(v, faultTarget.Crash) }
func freezeTargets(e *env, v affected) { e.eachTarget(v, faultTarget.Freeze) }
func thawTargets(e *env, v affected)   { e.eachTarget(v, faultTarget.Thaw) }

func turnCold(e *env, v affected) {
	if engine := e.fleet.Engines[v.agents[0].Target]; engine != nil {
		engine.TurnCold()
	}
}

func zoneOut(e *env, _ affected) { e.publishFirstZone(rtdocument.ZoneOutOfService) }
func zoneIn(e *env, _ affected)  { e.publishFirstZone(rtdocument.ZoneInService) }

// cutEntryFromAgents cuts an entry from all agents, but not from the platform and
// the other entries.
func cutEntryFromAgents(e *env, v affected) {
	for _, agent := range e.fleet.Agents {
		e.fabric.CutBoth(v.entry.Host, agent.Host)
	}
}

func cutAgentsFromPlatform(e *env, v affected) {
	v.each(func(a *Process) { e.fabric.CutBoth(a.Host, platformHost) })
}

func healAgents(e *env, v affected) { v.each(e.healAll) }

// degradeLinks gives the links between all processes a jitter of 100 ms, so that
// messages on different connections arrive out of order, and retransmits one
// segment in ten.
func degradeLinks(e *env, _ affected) {
	e.setLatency(rtfake.Latency{Base: linkDelay, Jitter: 100 * time.Millisecond, Loss: 0.1})
}

func restoreLinks(e *env, _ affected) {
	e.setLatency(rtfake.Latency{Base: linkDelay, Jitter: linkDelay / 2})
}

func (e *env) setLatency(latency rtfake.Latency) {
	for _, from := range e.processes() {
		for _, to := range e.processes() {
			if from != to {
				e.fabric.SetLatency(from.Host, to.Host, latency)
			}
		}
	}
}
