package rtgateway

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
)

// reasonNoShare is the reason of a refusal because this process may send a request to no
// target in time, as there are more processes than the rate of a cold target allows
// requests.
const reasonNoShare = "no share of the targets' rate in time"

// coldBound returns the requests in a second that all processes together may send to a
// target that may be cold. The caller holds mu.
func (g *Gateway) coldBound(service *rtcatalog.Service) float64 {
	factor := g.bounds.ColdFactor
	if factor <= 0 {
		factor = 1 // not published
	}
	return service.ColdRate*factor + g.bounds.ColdSlack
}

// coldAtStart reports whether a target says that it is cold and this process has just
// started.
func (g *Gateway) coldAtStart(instance *rtcatalog.Instance, now time.Time) bool {
	return instance.ColdRemaining > 0 && now.Sub(g.started) < coldWindow
}

// coldPart returns this process's part of a limit of requests to a target within
// coldWindow. The caller holds mu.
func (g *Gateway) coldPart(instance *rtcatalog.Instance, limit int, bound float64, now time.Time) int {
	share := g.peers.BudgetShare("cold " + string(instance.ID))
	if g.coldAtStart(instance, now) {
		// The limit of such a target leaves no room for places drawn by hash, of which
		// there may be some more than on average.
		return share.Part(limit)
	}
	return share.ColdPart(limit, bound)
}

// coldShareWait returns how long it takes until this process may send a request to a
// target to which its part of the cold rate allows none now. It reports false if that
// is not known, or if the rate allows each process a request.
func (g *Gateway) coldShareWait(service *rtcatalog.Service, instance *rtcatalog.Instance, now time.Time) (time.Duration, bool) {
	limit := coldLimit(g.coldBound(service), false)
	if g.peers.BudgetProcesses() <= limit {
		return 0, false
	}
	if last, ok := g.recentSendsOf(instance.ID).Last(now); ok && now.Sub(last) < coldWindow {
		return last.Add(coldWindow).Sub(now), true
	}
	share := g.peers.BudgetShare("cold " + string(instance.ID))
	wait, ok := share.ColdWait(limit)
	if ok && share.Phase != rtlimit.Discovering && g.coldAtStart(instance, now) {
		wait = min(wait, g.started.Add(coldWindow).Sub(now))
	}
	return wait, ok
}

// addShareWait adds the wait for a target that only the cold rate keeps out, if it is
// known.
func (k *keptOut) addShareWait(wait time.Duration, known bool) {
	if known && (k.share == 0 || wait < k.share) {
		k.share = wait
	}
}

// waitForShare returns how much longer a request may wait that no target may receive.
// It waits for a target to which this process's share of the cold rate allows no request
// yet, but reports false and refuses the request if that takes longer than half of the
// abandon timeout, so that its caller can use the time at another process.
func (d *delivery) waitForShare(candidate scheduled, waited time.Duration) (time.Duration, bool) {
	remaining := d.noTargetTimeout() - waited
	if candidate.shareWait == 0 {
		return remaining, true
	}
	remaining = max(remaining, d.request.work.AbandonTimeout/2-waited)
	if candidate.shareWait > remaining && len(candidate.places) == 0 && !d.headWritten {
		d.gateway.metrics.Scope.Counter("share_refusals").Inc(1)
		d.refusal = d.giveUpAfter(reasonNoShare, shareRetryDelay(candidate.shareWait))
		return 0, false
	}
	if !d.waitedForShare {
		d.waitedForShare = true
		d.gateway.metrics.Scope.Counter("share_waits").Inc(1)
	}
	return remaining, true
}

// shareRetryDelay returns when a caller should come back that would wait too long for a
// share. It is spread, so that callers do not return together.
func shareRetryDelay(wait time.Duration) time.Duration { return wait + rand.N(minLimitRetryDelay) }
