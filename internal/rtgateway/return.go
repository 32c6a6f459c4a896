package rtgateway

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtreturn"
)

// returnReasons are the reasons of refusals after which room is expected as engines
// finish other requests. The others name a time that is known.
var returnReasons = map[string]bool{
	"overloaded": true, "no room in time": true, "target refused": true, "no memory for the prompt": true,
}

// returnDelay returns when the caller of a refused request should come back, delay at the
// earliest: when this process's part of the capacity has room for the request.
func (d *delivery) returnDelay(reason string, delay time.Duration) time.Duration {
	g, q := d.gateway, d.request
	if !returnReasons[reason] || q.service.Engine == nil || !g.features(q.view).Returns.Enabled || g.drainingSince.Load() != nil {
		return delay
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	engines := 0
	view := g.views.View()
	for _, instance := range g.cellInstances(view, q.service) {
		if view.Usable(instance) && !g.leaves.Leaving(instance.Incarnation()) {
			engines++
		}
	}
	snapshot := g.sharing.ledger.Snapshot(q.service.Name, q.view.Configuration.Weight, now)
	capacity := rtreturn.Capacity{
		Engines: float64(engines), Used: snapshot.Rate(), Gateways: g.peers.LiveInCell(),
		Backlog: d.scheduled.LongPool.PrefillBacklog,
	}
	ask := rtreturn.Ask{
		EngineTime: q.engineTime(),
		Ratio:      snapshot.Of(q.sharesName(), q.view.Configuration.Weight(q.sharesName())).Ratio(),
		Least:      delay,
		Most:       max(0, d.maxRetryDelay()),
		Phase:      rand.Float64(),
	}
	schedule := g.returns[q.service.Name]
	if schedule == nil {
		schedule = &rtreturn.Schedule{}
		g.returns[q.service.Name] = schedule
	}
	given := schedule.Give(ask, capacity, now)
	g.metrics.Scope.Tagged(map[string]string{"delay": delayBand(given)}).Counter("returns").Inc(1)
	g.metrics.Scope.Tagged(map[string]string{"service": string(q.service.Name)}).Gauge("returns_outstanding").Update(float64(schedule.Outstanding(now)))
	return given
}

// delayBand returns the metric label of a delay.
func delayBand(delay time.Duration) string {
	for _, band := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
		if delay <= band {
			return "to " + band.String()
		}
	}
	return "longer"
}
