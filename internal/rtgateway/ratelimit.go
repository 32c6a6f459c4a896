package rtgateway

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
)

const (
	// limitLogInterval is the shortest time between two log lines about the limit
	// of one target, which may change with each response.
	limitLogInterval = time.Second
	// limitFindingInterval is the shortest time between two log lines about limits
	// of one target that cannot be used.
	limitFindingInterval = time.Minute
	// reasonRateLimit is the reason of a refusal because of rate limits.
	reasonRateLimit = "targets limit their rate"
)

// limitLog is when lines about the rate limit of a target were last logged.
type limitLog struct {
	change  time.Time
	finding time.Time
}

// last returns the time of the last line.
func (l limitLog) last() time.Time {
	if l.change.After(l.finding) {
		return l.change
	}
	return l.finding
}

// recordRateLimit records what the response to a request says about the rate limit
// of its target. Only the target's own response to this request shows that there is
// no limit any more; a limit counts in any response but that of another target.
func (g *Gateway) recordRateLimit(target *rtcatalog.Instance, info ResponseInfo, lifts bool, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if info.RateLimitErr != nil {
		g.logLimitFinding(target.ID, info.RateLimitErr, now)
	}
	if info.RateLimit == rtlimit.Unlimited && (!lifts || info.RateLimitErr != nil) {
		return
	}
	statement := rtlimit.Statement{Target: target.Incarnation(), Rate: info.RateLimit, Sent: sent, Heard: now}
	if g.applyStatement(statement, rtlimit.FromTarget, now) {
		g.onNews()
	}
}

// applyStatement records a statement, and reports whether it has changed the limit
// of its target. The caller holds mu.
func (g *Gateway) applyStatement(s rtlimit.Statement, source rtlimit.Source, now time.Time) bool {
	before, changed := g.rateLimits.Record(s, source, now)
	if !changed {
		return false
	}
	g.metrics.Scope.Tagged(map[string]string{"source": source.String()}).Counter("rate_limit_changes").Inc(1)
	g.metrics.Scope.Gauge("limited_targets").Update(float64(len(g.rateLimits.Limits())))
	gauge := g.metrics.Scope.Tagged(map[string]string{"target": string(s.Target.ID)}).Gauge("rate_limit")
	if s.Rate == rtlimit.Unlimited {
		gauge.Update(0)
	} else {
		gauge.Update(float64(s.Rate))
	}
	if last := g.limitLogs[s.Target.ID]; now.Sub(last.change) >= limitLogInterval {
		last.change = now
		g.limitLogs[s.Target.ID] = last
		share := g.peers.Share(limitKey(s.Target.ID))
		g.log.Info("Rate limit of a target changed.", "target", s.Target.ID, "born", s.Target.Born, "from", before.String(),
			"to", s.Rate.String(), "source", source.String(), "age", now.Sub(s.Heard).String(),
			"rank", share.Rank, "processes", share.Processes)
	}
	return true
}

// logLimitFinding logs that the rate limit in a response cannot be used. The caller
// holds mu.
func (g *Gateway) logLimitFinding(target rtid.Target, err error, now time.Time) {
	g.metrics.Scope.Counter("rate_limit_findings").Inc(1)
	if last := g.limitLogs[target]; now.Sub(last.finding) >= limitFindingInterval {
		last.finding = now
		g.limitLogs[target] = last
		g.log.Info("Rate limit of a target is malformed.", "target", target, "error", err.Error())
	}
}

// limitKey is the key that orders the processes that may send to a target.
func limitKey(target rtid.Target) string { return "limit " + string(target) }

// limitWait returns how long the rate limit of a target forbids this process to
// send to it, and whether there is a limit. The caller holds mu.
func (g *Gateway) limitWait(instance *rtcatalog.Instance, short bool, now time.Time) (time.Duration, bool) {
	target := instance.Incarnation()
	if !g.rateLimits.Limited(target) {
		return 0, false
	}
	return g.rateLimits.Wait(target, g.peers.Share(limitKey(target.ID)), short, g.recentSendsOf(target.ID), now), true
}

// RateLimits returns what targets have said to this process about their limits, for
// its peers.
func (g *Gateway) RateLimits() []rtlimit.Statement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rateLimits.Statements(time.Now())
}

// MergeRateLimits adds what targets have said to a peer.
func (g *Gateway) MergeRateLimits(statements []rtlimit.Statement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, s := range statements {
		g.applyStatement(s, rtlimit.FromPeer, now)
	}
}

// LimitedTarget is the rate limit of a target and the share of this process in it.
type LimitedTarget struct {
	rtlimit.TargetLimit
	Share rtlimit.Share
}

// LimitedTargets returns the limits in force for operators.
func (g *Gateway) LimitedTargets() []LimitedTarget {
	g.mu.Lock()
	defer g.mu.Unlock()
	var limited []LimitedTarget
	for _, limit := range g.rateLimits.Limits() {
		limited = append(limited, LimitedTarget{TargetLimit: limit, Share: g.peers.Share(limitKey(limit.Target.ID))})
	}
	return limited
}

// forgetLimits drops the limits of targets that have not been published for a
// while. The caller holds mu.
func (g *Gateway) forgetLimits(view *rtcatalog.View, now time.Time) {
	if view == nil {
		return
	}
	g.rateLimits.Forget(func(s rtlimit.Statement) bool {
		instance := view.Instance(s.Target.ID)
		return (instance == nil || instance.Incarnation() != s.Target) && now.Sub(s.Heard) > retention
	})
	g.metrics.Scope.Gauge("limited_targets").Update(float64(len(g.rateLimits.Limits())))
}

// limitPlaces are the waits until limited targets have a place for a request.
type limitPlaces []time.Duration

// within returns the number of places that become free within a time.
func (p limitPlaces) within(limit time.Duration) int {
	count := 0
	for _, wait := range p {
		if wait <= limit {
			count++
		}
	}
	return count
}

// retryAfter returns when a caller should come back that found no place: when one
// becomes free here, or if this process does not send to these targets soon, for
// others. It is spread, so that callers do not return together.
func (p limitPlaces) retryAfter() time.Duration {
	delay := maxLimitRetryDelay
	for _, wait := range p {
		delay = min(delay, wait)
	}
	return delay + rand.N(max(minLimitRetryDelay, delay))
}

const (
	minLimitRetryDelay = 200 * time.Millisecond
	// maxLimitRetryDelay is the base of the delay if this process has no place for
	// longer: others, to which callers are directed as well, may have one.
	maxLimitRetryDelay = time.Second
)
