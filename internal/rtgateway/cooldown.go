package rtgateway

import (
	"maps"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
)

// cooldown says how long a target is not used after failures.
type cooldown struct {
	until    time.Time
	failures int
	fixed    bool // a response does not end it
	replaced bool // the target must not be used even if there are no others
}

const (
	// minCooldown is the cooldown after one failure. It doubles with each
	// further failure in a row, up to maxCooldown.
	minCooldown = 300 * time.Millisecond
	maxCooldown = 4 * time.Second
	// helperCooldown is the cooldown of a target that refuses to help others. Such
	// a target is draining, which the published state shows a little later.
	helperCooldown = 3 * time.Second
	// retention is how long a replaced target is excluded, and how long records
	// of unused targets are kept. The published entry of a replaced target
	// expires after three heartbeats (some seconds).
	retention = 30 * time.Second
	// maxPeerCooldown limits cooldowns that a peer reports. A response that this
	// process received within recentResponseAge takes precedence over them.
	maxPeerCooldown   = 500 * time.Millisecond
	recentResponseAge = 300 * time.Millisecond
)

// startCooldown counts a failure of a target and starts a cooldown, which is
// longer after each failure in a row.
func (g *Gateway) startCooldown(target rtid.Target, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	c := g.cooldowns[target]
	c.failures++
	duration := minCooldown << min(c.failures-1, 4)
	c.until = now.Add(min(duration, maxCooldown))
	g.cooldowns[target] = c
	g.recordZoneLoss(target, now)
	g.log.Info("Target avoided.", "target", target, "reason", reason, "failures", c.failures, "for", c.until.Sub(now).String())
}

// setCooldown replaces the cooldown of a target.
func (g *Gateway) setCooldown(target rtid.Target, c cooldown, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cooldowns[target] = c
	g.log.Info("Target avoided.", "target", target, "reason", reason, "for", time.Until(c.until).String())
}

// forgetPredecessor deletes the records of a target when another one has started
// under its ID. Its recent sends stay: they only delay new ones. The caller holds
// mu.
func (g *Gateway) forgetPredecessor(instance *rtcatalog.Instance) {
	born, known := g.born[instance.ID]
	if known && born == instance.Born {
		return
	}
	g.born[instance.ID] = instance.Born
	if known {
		delete(g.cooldowns, instance.ID)
		delete(g.lastReceived, instance.ID)
		delete(g.checks, instance.ID)
		g.log.Info("Target started again under its ID.", "target", instance.ID, "from", born, "to", instance.Born)
	}
}

// excludeReplaced excludes a target whose address belongs to another one. It does
// not come back, unless another one starts under its ID.
func (g *Gateway) excludeReplaced(target rtid.Target) {
	g.setCooldown(target, cooldown{until: time.Now().Add(retention), failures: 1, fixed: true, replaced: true}, "another target has the address")
}

// Cooldowns returns what remains of the cooldowns that this process has started
// itself. Those that peers reported are not among them.
func (g *Gateway) Cooldowns() map[rtid.Target]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.evictStale(now)
	cooldowns := make(map[rtid.Target]time.Duration)
	for target, c := range g.cooldowns {
		if c.failures > 0 && c.until.After(now) {
			cooldowns[target] = c.until.Sub(now)
		}
	}
	return cooldowns
}

// evictStale deletes the records of targets that have not been used for a
// while, so that replaced targets use no memory. The caller holds mu.
func (g *Gateway) evictStale(now time.Time) {
	maps.DeleteFunc(g.cooldowns, func(_ rtid.Target, c cooldown) bool { return now.Sub(c.until) > retention })
	maps.DeleteFunc(g.lastReceived, func(_ rtid.Target, received time.Time) bool { return now.Sub(received) > retention })
	maps.DeleteFunc(g.checks, func(_ rtid.Target, check *targetCheck) bool { return now.Sub(check.started) > retention })
	maps.DeleteFunc(g.recentSends, func(_ rtid.Target, sends *rtlimit.Window) bool { return sends.Count(now) == 0 })
	maps.DeleteFunc(g.limitLogs, func(_ rtid.Target, l limitLog) bool { return now.Sub(l.last()) > limitFindingInterval })
	view := g.views.View()
	maps.DeleteFunc(g.born, func(target rtid.Target, _ rtid.Incarnation) bool { return view != nil && view.Instance(target) == nil })
	g.forgetLimits(view, now)
	g.forgetNotices(view, now)
	g.helperRefusals.Forget(now)
}

// ApplyPeerCooldowns starts the cooldowns that a peer reports. It skips targets
// that are in cooldown already or have just responded to this process.
func (g *Gateway) ApplyPeerCooldowns(targets map[rtid.Target]time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for target, remaining := range targets {
		if g.cooldowns[target].until.After(now) || now.Sub(g.lastReceived[target]) < recentResponseAge {
			continue
		}
		g.cooldowns[target] = cooldown{until: now.Add(min(remaining, maxPeerCooldown))}
	}
}

// recordResponse records that a target has responded, which ends its cooldown
// unless that is fixed.
func (g *Gateway) recordResponse(target rtid.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.lastReceived[target] = now
	if c := g.cooldowns[target]; !c.fixed || now.After(c.until) {
		delete(g.cooldowns, target)
	}
}

// respondedSince reports whether a target has sent anything since t.
func (g *Gateway) respondedSince(target rtid.Target, t time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastReceived[target].After(t)
}
