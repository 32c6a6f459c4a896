package rtgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdelivery"
	"github.com/rhubarbtally/rhubarbtally/internal/rtexchange"
	"github.com/rhubarbtally/rhubarbtally/internal/rthedge"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// zoneLossMemory is how long an availability zone counts as troubled after a connection
// to one of its targets was lost.
const zoneLossMemory = time.Second

// errHedgeLost is the cause of cancelling an exchange because the other one of the request
// has answered first.
var errHedgeLost = errors.New("another attempt answered first")

// Values of the log field extra.
const (
	extraWon       = "won"
	extraCancelled = "cancelled"
)

// hedging is the state of extra attempts. Gateway.mu guards it.
type hedging struct {
	latencies  rthedge.Latencies
	budgets    map[rtid.Service]*rthedge.Budget
	zoneLosses map[rtid.Zone]time.Time // last loss of a connection to a target of the zone
}

// budgetOf returns the budget of a service.
func (h *hedging) budgetOf(service rtid.Service) *rthedge.Budget {
	budget := h.budgets[service]
	if budget == nil {
		budget = &rthedge.Budget{}
		if h.budgets == nil {
			h.budgets = make(map[rtid.Service]*rthedge.Budget)
		}
		h.budgets[service] = budget
	}
	return budget
}

// recordHedgeRequest counts a request for the budget of extra attempts.
func (g *Gateway) recordHedgeRequest(q *request) {
	ratio := g.features(q.view).Hedging.Ratio
	if ratio <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hedging.budgetOf(q.service.Name).RecordRequest(ratio)
}

// recordHedgeLatency records the time from the send of a request to its first event, or
// to its whole response if that is no stream.
func (g *Gateway) recordHedgeLatency(q *request, took time.Duration) {
	if took <= 0 || g.features(q.view).Hedging.Ratio <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hedging.latencies.Record(rthedge.KindOf(q.service.Name, q.work.Prompt), took, time.Now())
}

// recordLatency records how long the current attempt has taken, unless it has continued an
// answer.
func (d *delivery) recordLatency(r result, took time.Duration, after string) {
	switch {
	case after != "" || r.outcome != rtdelivery.Done:
	case d.request.route.Kind == rtcatalog.KindStream:
		d.gateway.recordHedgeLatency(d.request, r.firstEvent)
	default:
		d.gateway.recordHedgeLatency(d.request, took)
	}
}

// recordZoneLoss records that a connection to a target was lost. The caller holds mu.
func (g *Gateway) recordZoneLoss(target rtid.Target, now time.Time) {
	if g.settings.Features.Hedging.Ratio <= 0 {
		return
	}
	view := g.views.View()
	if view == nil {
		return
	}
	if instance := view.Instance(target); instance != nil {
		if g.hedging.zoneLosses == nil {
			g.hedging.zoneLosses = make(map[rtid.Zone]time.Time)
		}
		g.hedging.zoneLosses[instance.Zone] = now
	}
}

// openExchange is one request that is sent to one target while another one may be under way.
// Its task sets the fields below task, which may be read after the task has ended.
type openExchange struct {
	scheduled scheduled
	sent      time.Time
	cancel    context.CancelCauseFunc
	task      *rttask.Task

	response *rtexchange.Response // nil after err
	info     ResponseInfo
	err      error
	begun    bool // its first event, or its whole response, can be passed on
}

// open starts an exchange with the target of an attempt without reserved memory.
func (d *delivery) open(ctx context.Context, s scheduled) *openExchange {
	e := &openExchange{scheduled: s, sent: time.Now()}
	ctx, e.cancel = context.WithCancelCause(ctx)
	message := d.targetMessage(s.Placement, nil)
	// The response outlives the task, so its connection must not end with it.
	e.task = rttask.Start(context.WithoutCancel(ctx), "exchange", func(context.Context) error {
		e.response, e.err = rtexchange.Send(ctx, d.gateway.network, s.Target.Address, message)
		if e.err == nil {
			e.info = d.received(s.Target, e.response, e.sent)
			e.begun = d.prefetch(e.response, e.info)
		}
		return nil
	})
	return e
}

// prefetch reads the first event or the whole body of a response, if it can be passed on,
// and reports whether it has succeeded.
func (d *delivery) prefetch(response *rtexchange.Response, info ResponseInfo) bool {
	usable := info.Request == d.request.info.ID && !info.NotRun && info.Stamped && !info.PromisesNotRun &&
		response.Header.Get("Content-Encoding") == "" && response.Status < http.StatusInternalServerError
	switch {
	case !usable:
		return false
	case d.request.route.Kind == rtcatalog.KindStream && response.Status < http.StatusMultipleChoices:
		return response.PrefetchEvent(d.gateway.bodies) == nil
	default:
		return response.PrefetchBody(maxResponse, d.gateway.bodies) == nil
	}
}

// end records that the task has ended. Its error is that of a panic: the exchange has
// failed then.
func (e *openExchange) end(err error) {
	if err == nil {
		return
	}
	e.err, e.begun = err, false
	if e.response != nil {
		e.response.Close()
		e.response = nil
	}
}

// abandon ends an exchange whose answer is not passed on.
func (e *openExchange) abandon(g *Gateway) {
	e.cancel(errHedgeLost)
	g.finish(e.scheduled.inFlight)
}

// close waits until the task of an abandoned exchange has ended and frees what it holds.
func (e *openExchange) close() {
	_ = e.task.Stop() // the fields say how it ended
	if e.response != nil {
		e.response.Close()
	}
}

// hedgeDelay returns after which time without an answer the current attempt gets an extra
// one. It reports false if it must not get any.
func (d *delivery) hedgeDelay(reserved []*reservation) (time.Duration, bool) {
	g, q := d.gateway, d.request
	if g.features(q.view).Hedging.Ratio <= 0 || len(reserved) > 0 || d.headWritten || d.endReported || d.probe || !q.route.Repeatable() {
		return 0, false
	}
	if g.mayCrashTargets(q) {
		return 0, false // it must not crash two
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hedging.latencies.Delay(rthedge.KindOf(q.service.Name, q.work.Prompt), q.work.LatencySLO, time.Now())
}

// exchangeHedged sends the request to the scheduled target, and to another one if that
// has not begun to answer after a delay. It returns the exchange whose answer is handled
// from then on, with its in-flight request, and the other one, which has been abandoned,
// or nil. Only the goroutine of the request touches the caller and the delivery.
func (d *delivery) exchangeHedged(ctx context.Context, delay time.Duration, guard *watchdog) (chosen, other *openExchange) {
	first := d.open(ctx, d.scheduled)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case err := <-first.task.Done():
		first.end(err)
		return first, nil
	case <-timer.C:
	}
	second := d.hedge(ctx, guard)
	if second == nil {
		first.end(<-first.task.Done())
		return first, nil
	}
	chosen, other = d.race(first, second)
	other.abandon(d.gateway)
	extra := extraCancelled
	if chosen == second {
		extra = extraWon
		// What the first one would have taken is unknown, but it is longer than this.
		d.gateway.recordHedgeLatency(d.request, time.Since(first.sent))
	}
	d.extra = extra
	d.gateway.countHedge(extra)
	return chosen, other
}

// race waits for the first of two exchanges that has begun to answer. If neither does, it
// returns the one that has a response first, or the first one.
func (d *delivery) race(first, second *openExchange) (chosen, other *openExchange) {
	firstDone, secondDone := first.task.Done(), second.task.Done()
	for firstDone != nil || secondDone != nil {
		select {
		case err := <-firstDone:
			firstDone = nil
			first.end(err)
			if first.begun {
				d.recordExtra(second, secondDone == nil)
				return first, second
			}
		case err := <-secondDone:
			secondDone = nil
			second.end(err)
			if second.begun {
				d.recordExtra(first, firstDone == nil)
				return second, first
			}
		}
	}
	if first.response == nil && second.response != nil {
		d.recordExtra(first, true)
		return second, first
	}
	d.recordExtra(second, true)
	return first, second
}

// recordExtra counts an exchange as an attempt whose answer is not passed on.
func (d *delivery) recordExtra(e *openExchange, ended bool) {
	notRun := ended && (errors.Is(e.err, rtexchange.ErrNotSent) || e.err == nil && e.info.NotRun)
	d.attempts.RecordExtra(!notRun)
	if !ended || e.err == nil {
		return
	}
	d.gateway.startCooldown(e.scheduled.Target.ID, e.err.Error())
	if notRun {
		return
	}
	// The caller does not wait for the check of the target.
	id, parts := d.request.info.ID, d.request.allParts()
	d.gateway.background.start(func(ctx context.Context) {
		if d.gateway.targetCrashed(ctx, e.scheduled.Target) {
			d.gateway.recordCrash(e.scheduled.Target.ID, id, parts, e.sent)
		}
	})
}

// hedge sends the request to another target if that is allowed, and returns the exchange,
// or nil. The watchdog of the attempt ends with it: both targets have had the request, so
// there is nobody left to ask.
func (d *delivery) hedge(ctx context.Context, guard *watchdog) *openExchange {
	g, q := d.gateway, d.request
	if g.mayCrashTargets(q) {
		return nil // known since the first attempt was sent
	}
	decision := rthedge.Situation{
		Repeatable: d.attempts.Repeatable, LastChance: d.attempts.IsLastAttempt(), Prompt: q.work.Prompt,
		Waiting: g.capacityScarce(q), RetriesSpare: g.retrySpare(q.service.Name),
	}.Decide()
	if decision == rthedge.Send {
		decision = rthedge.OverBudget
		if g.takeHedge(q.service.Name) {
			decision = rthedge.Send
		}
	}
	if decision == rthedge.Impossible {
		return nil
	}
	if decision != rthedge.Send {
		g.countHedge(decision.String())
		return nil
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if guard.stopped || d.successor != nil || ctx.Err() != nil {
		return nil
	}
	work := q.work
	work.Waited = time.Since(d.waitingSince())
	next, ok := g.place(q, work, d.tried)
	if !ok || next.Decision != rtplacement.Send {
		g.countHedge(rthedge.Loaded.String())
		return nil
	}
	if !g.mayHedgeAt(next, d.scheduled.Target) || !d.takeRetry(rtdelivery.Unconfirmed) {
		g.finish(next.inFlight)
		g.countHedge(rthedge.Loaded.String())
		return nil
	}
	guard.stopped = true
	if guard.timer != nil {
		guard.timer.Stop()
	}
	d.tried = append(d.tried, next.Target.ID)
	g.countHedge("sent")
	g.log.Info("Extra attempt sent.", "request", q.info.ID, "first", d.scheduled.Target.ID, "target", next.Target.ID,
		"waited", work.Waited.String())
	return d.open(ctx, next)
}

// capacityScarce reports whether requests of the service of a request wait for capacity.
func (g *Gateway) capacityScarce(q *request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limitWaiting[q.service.Name] > 0 || g.sharing.ledger.Scarce(q.service.Name, time.Now())
}

// takeHedge takes one extra attempt from the budget of a service.
func (g *Gateway) takeHedge(service rtid.Service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hedging.budgetOf(service).Take()
}

// mayHedgeAt reports whether an extra attempt may go to a placement, beside the first
// target: neither cold, nor limited or in cooldown, nor loaded, and not in the zone of the
// first one while that has losses.
func (g *Gateway) mayHedgeAt(s scheduled, first *rtcatalog.Instance) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	target := s.Target
	troubled := target.Zone == first.Zone && now.Sub(g.hedging.zoneLosses[first.Zone]) < zoneLossMemory
	return !troubled && target.ColdRemaining == 0 && !g.rateLimits.Limited(target.Incarnation()) &&
		!now.Before(g.cooldowns[target.ID].until) && rthedge.HasRoom(s.PrefillBacklog)
}

// countHedge counts an event of extra attempts.
func (g *Gateway) countHedge(event string) {
	g.metrics.Scope.Tagged(map[string]string{"event": event}).Counter("hedges").Inc(1)
}
