package rtgateway

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnotice"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

const (
	// noticeLogInterval is the shortest time between two log lines about the pauses
	// that one target asks for, which may come with each of its responses.
	noticeLogInterval = time.Second
	// noticeFindingInterval is the shortest time between two log lines about malformed
	// announcements of one target.
	noticeFindingInterval = time.Minute
	// leaveRetention is how long it is known that a target is leaving after it was
	// last published. A store that comes back from a copy may publish it again.
	leaveRetention = 10 * time.Minute
	// reasonBackoff is the reason of a refusal because all targets want a pause.
	reasonBackoff = "targets want no requests"
	// minBackoffSpread is the shortest time over which the returns of refused callers
	// are spread.
	minBackoffSpread = 200 * time.Millisecond
)

// recordNotices records what a response announces about the target that made it: that
// it is leaving, and that it wants no requests for a while. A response to another
// request counts, too, unless another target has made it.
func (g *Gateway) recordNotices(target *rtcatalog.Instance, status int, info ResponseInfo) {
	if !info.Leaving && info.LeavingErr == nil && info.Backoff == 0 && info.BackoffErr == nil || !info.madeBy(target.ID, status) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, err := range []error{info.LeavingErr, info.BackoffErr} {
		if err != nil {
			g.metrics.Scope.Counter("notice_findings").Inc(1)
			if g.noticeFindings.allow(target.ID, noticeFindingInterval, now) {
				g.log.Info("Announcement of a target is malformed.", "target", target.ID, "error", err.Error())
			}
		}
	}
	if info.Leaving {
		g.applyLeave(rtnotice.Leave{Target: target.Incarnation(), Heard: now, Source: rtnotice.FromTarget})
	}
	if g.backoffs.Record(target.Incarnation(), info.Backoff, now) {
		g.metrics.Scope.Counter("backoffs").Inc(1)
		if g.backoffLogs.allow(target.ID, noticeLogInterval, now) {
			g.log.Info("Target wants no requests for a while.", "target", target.ID, "born", target.Born, "for", info.Backoff.String())
		}
	}
}

// madeBy reports whether a target itself has made a response. Without a name, a
// response is that of the target to which the request was sent, except that it says
// that another one has the address.
func (info ResponseInfo) madeBy(target rtid.Target, status int) bool {
	if info.Instance == "" {
		return status != http.StatusMisdirectedRequest
	}
	return info.Instance == target
}

// applyLeave records that a target is leaving. The caller holds mu.
func (g *Gateway) applyLeave(leave rtnotice.Leave) {
	if !g.leaves.Record(leave) {
		return
	}
	g.metrics.Scope.Tagged(map[string]string{"source": leave.Source.String()}).Counter("leaves").Inc(1)
	g.metrics.Scope.Gauge("leaving_targets").Update(float64(g.leaves.Len()))
	g.log.Info("Target is leaving.", "target", leave.Target.ID, "born", leave.Target.Born, "source", leave.Source.String())
}

// Leaves returns the starts of targets that have announced that they are leaving,
// the newest first.
func (g *Gateway) Leaves() []rtnotice.Leave {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaves.List()
}

// Backoffs returns the targets that want no requests from this process.
func (g *Gateway) Backoffs() []rtnotice.Backoff {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backoffs.List(time.Now())
}

// LeavesToReport returns the starts of targets that are leaving and still published
// as usable, the newest first. Peers know the others from the published state.
func (g *Gateway) LeavesToReport() []rtid.TargetIncarnation {
	view := g.views.View()
	if view == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var reported []rtid.TargetIncarnation
	for _, leave := range g.leaves.List() {
		if instance := view.Instance(leave.Target.ID); instance != nil && instance.Incarnation() == leave.Target && !instance.Draining {
			reported = append(reported, leave.Target)
		}
	}
	return reported
}

// MergeLeaves adds what a peer knows of targets that are leaving. Those that are not
// published here are passed over, so that the view limits their number; a peer
// reports them again.
func (g *Gateway) MergeLeaves(targets []rtid.TargetIncarnation) {
	view := g.views.View()
	if view == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, target := range targets {
		if instance := view.Instance(target.ID); instance != nil && instance.Incarnation() == target {
			g.applyLeave(rtnotice.Leave{Target: target, Heard: time.Now(), Source: rtnotice.FromPeer})
		}
	}
}

// forgetNotices drops the announcements of targets that have not been published for a
// while, and pauses that have ended. The caller holds mu.
func (g *Gateway) forgetNotices(view *rtcatalog.View, now time.Time) {
	g.backoffs.Forget(now)
	g.noticeFindings.forget(now)
	g.backoffLogs.forget(now)
	if view == nil {
		return
	}
	g.leaves.Forget(func(leave rtnotice.Leave) bool {
		instance := view.Instance(leave.Target.ID)
		return (instance == nil || instance.Incarnation() != leave.Target) && now.Sub(leave.Heard) > leaveRetention
	})
	g.metrics.Scope.Gauge("leaving_targets").Update(float64(g.leaves.Len()))
	g.metrics.Scope.Gauge("backoff_targets").Update(float64(len(g.backoffs.List(now))))
}

// withdrawn returns the target or helper of a placement that has announced, since the
// placement was made, that it takes no requests; nil for none.
func (g *Gateway) withdrawn(placement rtplacement.Placement) *rtcatalog.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, instance := range append([]*rtcatalog.Instance{placement.Target}, placement.Helpers...) {
		if g.leaves.Leaving(instance.Incarnation()) || g.backoffs.Remaining(instance.Incarnation(), now) > 0 {
			return instance
		}
	}
	return nil
}

// backoffDelay returns when a caller should come back whose request found only
// targets that want a pause, the first of which ends after wait. It is spread below
// the longest delay that the caller observes, so that callers do not return together.
// If that is too short, it is spread over its last quarter: another process, to which
// the caller is directed as well, may have targets that take its request.
func backoffDelay(wait, longest time.Duration) time.Duration {
	from, to := wait, min(longest, wait+max(minBackoffSpread, wait))
	if wait >= longest {
		from = longest * 3 / 4
	}
	return from + rand.N(max(1, to-from))
}

// lineLimiter limits log lines about each target. The zero value allows the first one.
type lineLimiter struct {
	quiet map[rtid.Target]time.Time // until when there are no further lines
}

// allow reports whether a line about a target may be logged now, and forbids further
// ones for an interval if so.
func (l *lineLimiter) allow(target rtid.Target, interval time.Duration, now time.Time) bool {
	if now.Before(l.quiet[target]) {
		return false
	}
	if l.quiet == nil {
		l.quiet = make(map[rtid.Target]time.Time)
	}
	l.quiet[target] = now.Add(interval)
	return true
}

// forget drops the targets about which a line may be logged.
func (l *lineLimiter) forget(now time.Time) {
	maps.DeleteFunc(l.quiet, func(_ rtid.Target, until time.Time) bool { return !now.Before(until) })
}
