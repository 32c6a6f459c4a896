package rtgateway

import (
	"maps"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// suspicion is a target that failed, and until when it is avoided.
type suspicion struct {
	until    time.Time
	failures int
	firm     bool // answers do not end it
	gone     bool // it is not used even where there is no other
}

const (
	// firstSuspicion and lastSuspicion bound how long a target is avoided after
	// failures in a row; it doubles in between.
	firstSuspicion = 300 * time.Millisecond
	lastSuspicion  = 4 * time.Second
	// leavingTime is how long a target is avoided that refuses to help others:
	// it leaves and is served out, which the store shows a little later.
	leavingTime = 3 * time.Second
	// goneTime is how long it is kept in mind that a target is gone; its entry
	// lapses after three heartbeats (some seconds).
	goneTime = 30 * time.Second
	// hearsayTime bounds how long the word of a peer makes a target avoided, and
	// knownTime is the age of an own answer that goes before it.
	hearsayTime = 500 * time.Millisecond
	knownTime   = 300 * time.Millisecond
)

// suspect avoids a target for a while.
func (g *Gateway) suspect(target rtid.Target, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := g.suspects[target]
	s.failures++
	pause := firstSuspicion << min(s.failures-1, 4)
	s.until = now.Add(min(pause, lastSuspicion))
	g.suspects[target] = s
	g.log.Info("Target avoided.", "target", target, "reason", reason, "failures", s.failures, "for", s.until.Sub(now).String())
}

// blame avoids the helper that a target has named as the reason of its refusal,
// by id or address. It reports false if no helper is named.
func (g *Gateway) blame(fault string, choice rtplacement.Placement) bool {
	for _, helper := range choice.Helpers {
		if fault != "" && (fault == string(helper.ID) || fault == string(helper.Address)) {
			g.avoid(helper.ID, suspicion{until: time.Now().Add(leavingTime), failures: 1, firm: true}, "refuses to help")
			return true
		}
	}
	return false
}

// avoid sets a suspicion.
func (g *Gateway) avoid(target rtid.Target, s suspicion, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects[target] = s
	g.log.Info("Target avoided.", "target", target, "reason", reason, "for", time.Until(s.until).String())
}

// leave avoids a target for good whose address another one has: a start of a
// target never comes back.
func (g *Gateway) leave(target rtid.Target) {
	g.avoid(target, suspicion{until: time.Now().Add(goneTime), failures: 1, firm: true, gone: true}, "another target has the address")
}

// Suspects returns the targets that this process has found to fail itself, and
// for how long it avoids them.
func (g *Gateway) Cooldowns() map[rtid.Target]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.forget(now)
	suspects := make(map[rtid.Target]time.Duration)
	for target, s := range g.suspects {
		if s.failures > 0 && s.until.After(now) {
			suspects[target] = s.until.Sub(now)
		}
	}
	return suspects
}

// forget drops what is known of targets that have not been used for a while, so
// that replaced ones take no memory. The caller holds mu.
func (g *Gateway) forget(now time.Time) {
	maps.DeleteFunc(g.suspects, func(_ rtid.Target, s suspicion) bool { return now.Sub(s.until) > goneTime })
	maps.DeleteFunc(g.heard, func(_ rtid.Target, heard time.Time) bool { return now.Sub(heard) > goneTime })
	maps.DeleteFunc(g.starts, func(_ rtid.Target, starts *rtlimit.Window) bool { return starts.Count(now) == 0 })
}

// Avoid avoids targets that a peer has found to fail, unless this process knows
// better: it has found so itself, or has just been answered by the target.
func (g *Gateway) ApplyPeerCooldowns(targets map[rtid.Target]time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for target, left := range targets {
		if g.suspects[target].until.After(now) || now.Sub(g.heard[target]) < knownTime {
			continue
		}
		g.suspects[target] = suspicion{until: now.Add(min(left, hearsayTime))}
	}
}

// hear records that a target has answered.
func (g *Gateway) hear(target rtid.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.heard[target] = now
	if s := g.suspects[target]; !s.firm || now.After(s.until) {
		delete(g.suspects, target)
	}
}

// heardSince reports whether a target has sent anything since t.
func (g *Gateway) heardSince(target rtid.Target, t time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heard[target].After(t)
}
