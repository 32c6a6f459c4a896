package rtgateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdelivery"
	"github.com/rhubarbtally/rhubarbtally/internal/rtexchange"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// result is the outcome of an attempt with its details.
type result struct {
	outcome        rtdelivery.AttemptOutcome
	detail         string
	failedResponse *storedResponse // for rtdelivery.Failed; nil if it must not be passed on
	firstEvent     time.Duration   // from the send to the first event; 0 if there was none
	longestGap     time.Duration   // between two events
	replaced       string          // helper that the next attempt has in place of the one that refused, or that none takes its place
	silent         bool            // the attempt was cancelled because its target had sent no part of an event
	framing        string          // how the response says where its body ends; empty if there was none
	events         int             // that were passed on to the caller
}

// storedResponse is a whole response of a target. A failed one is passed to
// the caller if no other target does better.
type storedResponse struct {
	status  int
	header  http.Header
	body    []byte
	release func() // returns the memory of the body to its budget; nil if that is done by others
}

// delivery is the state of a request from its first attempt to its end.
type delivery struct {
	gateway  *Gateway
	request  *request
	attempts rtdelivery.AttemptState

	tried          []rtid.Target
	withoutMemory  []rtid.Target       // engines that have refused memory for the prompt or not answered
	scheduled      scheduled           // of the current attempt
	sent           time.Time           // when the current attempt was sent
	successor      *scheduled          // reserved for the next attempt, its retry is taken; nil for none
	replaced       *scheduled          // the current attempt with another helper, for the next attempt; nil for none
	held           *heldMemory         // for the current attempt and those that replace its helpers; nil for none
	moves          int                 // of memory to another engine, because a helper refused
	refusal        *refusal            // why no target was selected; nil if the caller has disconnected
	lastDetail     string              // detail of the last attempt
	failedResponse *storedResponse     // of the last failed attempt that has one; nil for none
	headWritten    bool                // status and headers have been written to the caller
	writtenStatus  int                 // the status that the caller has; 0 before headWritten
	writtenType    string              // the media type that the caller has; empty for none
	lastEventID    string              // ID of the last whole event that was written to the caller
	lastEventAt    time.Time           // when it was received; zero before the first event
	endReported    bool                // a target has ended the stream after the last event; set while another one is asked for more
	endAfterEvents bool                // that target had sent events before
	unconfirmedBy  *rtcatalog.Instance // the last target that has ended the stream unconfirmed; nil for none
	answerProven   bool                // the target of the current attempt lived on after its first event
	waitedForShare bool                // it has waited for a share of the cold rate of a target
	inPlaceQueue   bool                // it waits for a place at a target that limits its rate
	memoryAwaited  bool                // the current attempt needed memory at other engines
	turn           turn                // among the requests that wait for room
	extra          string              // how the extra attempt beside the current one ended; empty for none
	probe          bool                // it shows whether a part in quarantine still crashes targets
}

const (
	// maxUndelivered limits the attempts of one request that reach no target, or
	// the wrong one.
	maxUndelivered = 6
	// maxHelperRefusals limits the attempts of one request that a helper
	// refuses.
	maxHelperRefusals = 4
	// shedRetryDelay is the time after which targets without room are expected
	// to have some: a few passes of an engine.
	shedRetryDelay = 400 * time.Millisecond
	// maxLateResponses limits the connections of abandoned attempts that are still open,
	// for some hundred milliseconds each.
	maxLateResponses = 256
	// admitInterval is how often the placement of a waiting request is tried
	// again: about one pass of an engine.
	admitInterval = 40 * time.Millisecond
)

const retryBudgetExhausted = "retry budget exhausted"

// exhaustedReasons are the reasons of refusals after the last attempt, by its
// outcome.
var exhaustedReasons = map[rtdelivery.AttemptOutcome]string{
	rtdelivery.Lost:          "connection to target lost",
	rtdelivery.NotSent:       "targets cannot be reached",
	rtdelivery.Refused:       "target refused",
	rtdelivery.WrongTarget:   "targets have changed",
	rtdelivery.HelperRefused: "helpers refuse",
	rtdelivery.Infeasible:    "no memory for the prompt",
	rtdelivery.Failed:        "target failed",
	rtdelivery.Expired:       "time over at target",
	rtdelivery.Crashed:       "target crashed",
	rtdelivery.Unconfirmed:   "end of the stream not confirmed",
}

// newDelivery returns the delivery of a request, with the limits of its route.
func newDelivery(g *Gateway, q *request) *delivery {
	return &delivery{gateway: g, request: q, lastEventID: q.info.LastEventID, attempts: rtdelivery.AttemptState{Limits: rtdelivery.Limits{
		MaxAttempts:       q.route.Attempts,
		MaxRefusals:       q.route.Attempts,
		MaxLosses:         q.route.Attempts,
		MaxUndelivered:    maxUndelivered,
		MaxHelperRefusals: maxHelperRefusals,
		Repeatable:        q.route.Repeatable(),
	}}}
}

// run delivers the request. It returns the refusal to write, or nil if the
// caller has a response or has disconnected.
func (d *delivery) run(ctx context.Context) *refusal {
	d.gateway.countRequest(d.request.service.Name)
	d.gateway.recordHedgeRequest(d.request)
	defer d.dropSuccessor()
	defer d.dropReplaced()
	defer d.dropFailedResponse()
	switch reason := d.attempts.Run(ctx, d); reason {
	case rtdelivery.Answered:
		return nil
	case rtdelivery.NoTarget:
		return d.refusal
	default:
		if reason == rtdelivery.RetryBudgetExhausted {
			d.lastDetail += ", " + retryBudgetExhausted
		}
		refused := d.giveUp(exhaustedReasons[d.attempts.LastOutcome()])
		if refused != nil {
			refused.detail = d.lastDetail
		}
		return refused
	}
}

// waitingSince returns since when the caller has waited for the next event.
func (d *delivery) waitingSince() time.Time {
	if d.lastEventAt.IsZero() {
		return d.request.arrived
	}
	return d.lastEventAt
}

// noTargetTimeout is how long the request waits while no target may receive it.
// A refusal lets the caller retry elsewhere, but it would break off an answer
// that has begun.
func (d *delivery) noTargetTimeout() time.Duration {
	if d.headWritten {
		return d.request.work.AbandonTimeout
	}
	return d.request.route.LatencySLO / 2
}

// SelectTarget selects the target of the next attempt. It waits while the
// scheduler decides that the request should be sent later, and up to
// noTargetTimeout while no target may receive it.
func (d *delivery) SelectTarget(ctx context.Context) bool {
	q := d.request
	if !d.partsAllowed() {
		return false
	}
	if next, ok := d.takeNext(); ok {
		d.scheduled = next
		d.tried = append(d.tried, next.Target.ID)
		return true
	}
	if d.endReported {
		// The reserved target could not be reached.
		if reason := d.reserveTarget(time.Since(d.waitingSince())); reason != "" {
			d.refusal = d.giveUp(reason)
			return false
		}
		return d.SelectTarget(ctx)
	}
	defer d.leavePlaceQueue()
	defer d.leaveTurns()
	for {
		work := q.work
		work.Waited, work.Begun = time.Since(d.waitingSince()), d.headWritten
		candidate, ok := d.placeInTurn(work)
		if !ok {
			if candidate.backoff > 0 && !d.headWritten {
				d.refusal = d.giveUpAfter(reasonBackoff, backoffDelay(candidate.backoff, d.maxRetryDelay()))
				return false
			}
			remaining, ok := d.waitForShare(candidate, work.Waited)
			if !ok {
				return false
			}
			if len(candidate.places) > 0 && !d.waitForPlace(candidate.places, remaining) {
				d.refusal = d.giveUpAfter(reasonRateLimit, candidate.places.retryAfter())
				return false
			}
			if remaining <= 0 {
				d.refusal = d.giveUp("no target")
				return false
			}
			// Until then a cooldown may end, or a rate limit may allow one more
			// request.
			candidate.Decision = rtplacement.Wait
		}
		switch candidate.Decision {
		case rtplacement.Send:
			d.scheduled = candidate
			d.tried = append(d.tried, candidate.Target.ID)
			return true
		case rtplacement.Refuse:
			d.scheduled = candidate
			d.refusal = d.refuseOverload(candidate)
			return false
		}
		if refused, ended := d.waitForRoom(ctx); ended {
			d.refusal = refused
			return false
		}
		if !d.partsAllowed() {
			return false
		}
	}
}

// waitForPlace reports whether the request may wait for a place at a target that
// limits its rate. It may if there are as many places within the remaining time as
// requests that wait for them.
func (d *delivery) waitForPlace(places limitPlaces, remaining time.Duration) bool {
	g := d.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	service := d.request.service.Name
	free := places.within(remaining)
	if !d.inPlaceQueue {
		if g.limitWaiting[service] >= free {
			return false
		}
		d.inPlaceQueue = true
		g.limitWaiting[service]++
	}
	return free > 0
}

// leavePlaceQueue ends a wait for a place.
func (d *delivery) leavePlaceQueue() {
	if !d.inPlaceQueue {
		return
	}
	d.gateway.mu.Lock()
	defer d.gateway.mu.Unlock()
	d.inPlaceQueue = false
	d.gateway.limitWaiting[d.request.service.Name]--
}

// Attempt sends the request to the selected target and relays the answer.
func (d *delivery) Attempt(ctx context.Context) rtdelivery.AttemptOutcome {
	sent, after := time.Now(), d.lastEventID
	d.extra = ""
	attempted := d.send(ctx, d.scheduled.Placement, d.scheduled.inFlight)
	d.gateway.recordOutcome(d.scheduled.Target, attempted)
	if d.replaced == nil {
		d.gateway.finish(d.scheduled.inFlight)
	}
	d.recordLatency(attempted, time.Since(sent), after)
	d.logAttempt(d.scheduled, attempted, sent, after)
	d.lastDetail = attempted.detail
	switch attempted.outcome {
	case rtdelivery.Failed:
		d.endReported = false
		if attempted.failedResponse != nil {
			d.dropFailedResponse()
			d.failedResponse = attempted.failedResponse
		}
	case rtdelivery.Lost, rtdelivery.Crashed, rtdelivery.Expired:
		// While connections break and targets fail, the end that another target has
		// reported may have been a fault, too.
		d.endReported = d.endReported && attempted.silent
	case rtdelivery.HelperRefused:
		// The target itself is not at fault and may be selected again.
		d.tried = d.tried[:len(d.tried)-1]
	}
	return attempted.outcome
}

// dropFailedResponse drops the response that is kept from a failed attempt, if any.
func (d *delivery) dropFailedResponse() {
	if d.failedResponse != nil {
		d.failedResponse.release()
		d.failedResponse = nil
	}
}

// TakeRetry takes one retry from the retry budget of the service, unless that has been
// done for a reserved successor.
func (d *delivery) TakeRetry(after rtdelivery.AttemptOutcome) bool {
	if d.successor != nil {
		return true
	}
	return !d.endReported && d.takeRetry(after)
}

func (d *delivery) takeRetry(after rtdelivery.AttemptOutcome) bool {
	if !d.gateway.takeRetry(d.request.service.Name) {
		return false
	}
	d.gateway.metrics.Scope.Tagged(map[string]string{"after": after.String()}).Counter("retries").Inc(1)
	return true
}

// waitForRoom waits until the placement should be tried again. It reports true
// if the request must not wait any longer, with the refusal to write, if any.
func (d *delivery) waitForRoom(ctx context.Context) (*refusal, bool) {
	if d.gateway.drainingSince.Load() != nil && !d.headWritten {
		return d.giveUp(reasonLeaving), true
	}
	timer := time.NewTimer(admitInterval)
	defer timer.Stop()
	for waiting := true; waiting; {
		select {
		case <-timer.C:
			if d.ownTurn() {
				return nil, false
			}
			timer.Reset(admitInterval)
		case <-d.turn.wake:
			return nil, false
		case <-ctx.Done():
			waiting = false
		}
	}
	switch {
	case errors.Is(context.Cause(ctx), errGraceOver):
		return d.giveUp(reasonLeaving), true
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return d.giveUp("no room in time"), true
	}
	d.gateway.log.Info("Caller disconnected while its request waited for a target.", "request", d.request.info.ID)
	return nil, true
}

// refuseOverload refuses a request that the scheduler does not place, for
// example because its first event is predicted after its abandon timeout:
// prefilling a prompt whose caller has given up would only delay other requests.
func (d *delivery) refuseOverload(s scheduled) *refusal {
	refused := d.giveUpAfter("overloaded", rtplacement.RetryAfter(s.Placement, s.LongPool))
	if refused != nil {
		refused.detail = fmt.Sprintf("first event predicted after %s, %d parts of %v, backlog %v and %.1f requests at their targets; long pool %d of %d targets, backlog %v",
			s.forecastDetail(), 1+len(s.Helpers), s.PartPrefill, s.PrefillBacklog, s.Requests,
			s.LongPool.Size, s.LongPool.Engines, s.LongPool.PrefillBacklog)
	}
	return refused
}

// giveUp ends a request that no target has answered successfully.
func (d *delivery) giveUp(reason string) *refusal { return d.giveUpAfter(reason, shedRetryDelay) }

// giveUpAfter is giveUp with the time after which targets are expected to have
// room.
func (d *delivery) giveUpAfter(reason string, delay time.Duration) *refusal {
	if d.endReported && d.endAfterEvents && !d.gateway.truncates(d.unconfirmedBy) {
		d.gateway.log.Info("End of a stream not confirmed.", "request", d.request.info.ID, "reason", reason, "detail", d.lastDetail, "event", d.lastEventID)
		d.countEnd(rtexchange.ByConnection)
		return nil
	}
	if d.headWritten {
		d.breakOff(reason)
	}
	switch outcome := d.attempts.Outcome(); {
	case outcome == rtdelivery.NotRun:
		return notRun(reason, min(d.gateway.retryAfter(d.returnDelay(reason, delay)), d.maxRetryDelay()))
	case outcome == rtdelivery.RanAndFailed && d.failedResponse != nil:
		d.failedResponse.write(d.request.w)
		return nil
	case !time.Now().Before(d.request.deadline):
		return &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	default:
		return &refusal{status: http.StatusBadGateway, reason: reason}
	}
}

// maxRetryDelay is the longest retry delay that the caller observes: a third of its
// remaining time, so that a retry can succeed.
func (d *delivery) maxRetryDelay() time.Duration { return time.Until(d.request.deadline) / 3 }

// breakOff closes the connection of a caller whose response has begun. The head
// says success, so only a broken connection shows that the rest is missing.
func (d *delivery) breakOff(reason string) {
	now := time.Now()
	d.gateway.log.Info("Response broken off.", "request", d.request.info.ID, "reason", reason, "detail", d.lastDetail,
		"event", d.lastEventID, "predicted", d.scheduled.PredictedFirstEvent.String(), "idle", now.Sub(d.lastEventAt).String(),
		"took", now.Sub(d.request.arrived).String())
	d.gateway.metrics.Scope.Tagged(map[string]string{"reason": reason}).Counter("broken_off").Inc(1)
	panic(http.ErrAbortHandler)
}

// countEnd counts a stream whose end is passed on to the caller as that of a complete one.
func (d *delivery) countEnd(framing rtexchange.Framing) {
	d.gateway.metrics.Scope.Tagged(map[string]string{"framing": framing.String()}).Counter("stream_ends").Inc(1)
}

// logAttempt logs and counts one attempt, which was to send the events after one of them.
func (d *delivery) logAttempt(s scheduled, r result, sent time.Time, after string) {
	fields := []any{"request", d.request.info.ID, "route", d.request.route.Name,
		"target", s.Target.ID, "prompt", d.request.work.Prompt,
		"helpers", len(s.Helpers), "predicted", s.PredictedFirstEvent.String(), "corrected", s.Corrected.String(),
		"backlog", s.LongPool.PrefillBacklog.String(),
		"outcome", r.outcome.String(), "detail", r.detail, "replaced", r.replaced, "extra", d.extra, "begun", d.headWritten,
		"framing", r.framing, "from", after, "event", d.lastEventID, "events", r.events,
		"first", r.firstEvent.String(), "pause", r.longestGap.String(), "revision", d.request.view.Revision.String(),
		"waited", sent.Sub(d.request.arrived).String(), "took", time.Since(sent).String()}
	d.gateway.log.Info("Sent.", append(fields, d.gateway.organisationFields(d.request)...)...)
	tags := map[string]string{"outcome": r.outcome.String()}
	d.gateway.metrics.Scope.Tagged(tags).Counter("sends").Inc(1)
}

// errSilent is the cause of cancelling an attempt whose target has sent
// nothing for too long.
var errSilent = errors.New("target sent nothing within the silence timeout")

// send sends the request to one target and relays the answer.
func (d *delivery) send(ctx context.Context, placement rtplacement.Placement, inFlight *rtplacement.InFlightRequest) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.answerProven = false
	guard := d.startWatchdog(placement.Target.ID, cancel)
	defer guard.stop()
	reserved, err := d.holdMemory(ctx, placement, inFlight)
	if err != nil {
		return result{outcome: d.unreservedOutcome(ctx), detail: err.Error()}
	}
	defer d.releaseUnlessReplaced()
	d.memoryAwaited = len(reserved) > 0
	if len(reserved) > 0 {
		// Reserving memory takes some time, in which a target may have announced that
		// it takes no requests.
		if instance := d.gateway.withdrawn(placement); instance != nil {
			return result{outcome: rtdelivery.NotSent, detail: "target or helper " + string(instance.ID) + " takes no requests any more"}
		}
	}
	sent := time.Now()
	d.sent = sent
	var response *rtexchange.Response
	var info ResponseInfo
	if delay, hedged := d.hedgeDelay(reserved); hedged {
		chosen, other := d.exchangeHedged(ctx, delay, guard)
		defer chosen.cancel(nil)
		if other != nil {
			defer other.close()
		}
		d.scheduled, placement, inFlight = chosen.scheduled, chosen.scheduled.Placement, chosen.scheduled.inFlight
		sent, response, info, err = chosen.sent, chosen.response, chosen.info, chosen.err
		d.sent = sent
	} else if response, err = rtexchange.Send(ctx, d.gateway.network, placement.Target.Address, d.targetMessage(placement, reserved)); err == nil {
		info = d.received(placement.Target, response, sent)
	}
	if err != nil {
		return d.exchangeFailed(ctx, placement.Target, err)
	}
	defer response.Close()
	own := info.Request == d.request.info.ID
	switch {
	case !own && info.Request != "":
		// Also a refusal says nothing about this request, which may be running.
		return result{outcome: rtdelivery.Lost, detail: fmt.Sprintf("response with status %d has the id of another request", response.Status)}
	case !own && !info.NotRun:
		return result{outcome: rtdelivery.Lost, detail: "response has no request id"}
	case info.NotRun && d.helperAtFault(info.Fault, placement) != nil:
		return d.helperRefused(ctx, d.helperAtFault(info.Fault, placement), placement, inFlight, guard, sent)
	case info.NotRun && response.Status == http.StatusMisdirectedRequest:
		d.gateway.excludeReplaced(placement.Target.ID)
		return result{outcome: rtdelivery.WrongTarget, detail: "another target has the address"}
	case info.NotRun:
		return result{outcome: rtdelivery.Refused, detail: fmt.Sprintf("refused with status %d, target at fault %q", response.Status, info.Fault)}
	case !info.Stamped, response.Header.Get("Content-Encoding") != "":
		return result{outcome: rtdelivery.Lost, detail: "response has no stamp of the target, or is encoded"}
	}
	relay := &relay{
		delivery: d, target: placement.Target, response: response, promisesNotRun: info.PromisesNotRun,
		inFlight: inFlight, watchdog: guard, lastEventAt: sent,
	}
	return relay.forward(ctx)
}

// received records what a response that has just arrived says of its target.
func (d *delivery) received(target *rtcatalog.Instance, response *rtexchange.Response, sent time.Time) ResponseInfo {
	d.gateway.recordResponse(target.ID)
	return d.recordAnnouncements(target, response.Status, response.Header, sent)
}

// recordAnnouncements records what the header of a response says of its target.
func (d *delivery) recordAnnouncements(target *rtcatalog.Instance, status int, header http.Header, sent time.Time) ResponseInfo {
	info := d.gateway.dialect.ParseResponse(status, header)
	d.gateway.recordNotices(target, status, info)
	own := info.Request == d.request.info.ID
	if own || info.NotRun && status != http.StatusMisdirectedRequest {
		d.gateway.recordRateLimit(target, info, own && info.Stamped, sent)
	}
	return info
}

// hearLate records in the background what the target of an abandoned attempt still says
// of itself.
func (d *delivery) hearLate(target *rtcatalog.Instance, late *rtexchange.LateResponse, sent time.Time) {
	g := d.gateway
	if g.lateResponses.Add(1) > maxLateResponses {
		g.lateResponses.Add(-1)
		late.Close()
		return
	}
	g.background.start(func(context.Context) {
		defer g.lateResponses.Add(-1)
		if status, header, err := late.Read(); err == nil {
			d.recordAnnouncements(target, status, header, sent)
		}
	})
}

// unreservedOutcome returns the outcome of an attempt that got no memory for its
// prompt. A new request is refused, so that its caller can come back; an answer
// that has begun is continued with the memory of other engines, and an attempt
// that the watchdog has cancelled meanwhile is followed by the reserved one.
func (d *delivery) unreservedOutcome(ctx context.Context) rtdelivery.AttemptOutcome {
	if d.headWritten || errors.Is(context.Cause(ctx), errSilent) {
		return rtdelivery.NotSent
	}
	return rtdelivery.Infeasible
}

// exchangeFailed returns the result of an exchange with a target that ended
// with an error.
func (d *delivery) exchangeFailed(ctx context.Context, target *rtcatalog.Instance, err error) result {
	detail := err.Error()
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		d.gateway.startCooldown(target.ID, "silent")
		return result{outcome: rtdelivery.Lost, detail: errSilent.Error(), silent: true}
	case errors.Is(context.Cause(ctx), errGraceOver):
		return result{outcome: rtdelivery.Lost, detail: errGraceOver.Error()}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result{outcome: rtdelivery.Expired, detail: "deadline exceeded"}
	case ctx.Err() != nil:
		return result{outcome: rtdelivery.CallerGone, detail: "caller disconnected"}
	case errors.Is(err, rtexchange.ErrNotSent):
		d.gateway.startCooldown(target.ID, detail)
		return result{outcome: rtdelivery.NotSent, detail: detail}
	default:
		d.gateway.startCooldown(target.ID, detail)
		// Without memory for the answer, this process has broken it off.
		if !errors.Is(err, rtexchange.ErrNoBudget) && d.suspectOfCrash(ctx, target) {
			return result{outcome: rtdelivery.Crashed, detail: detail}
		}
		return result{outcome: rtdelivery.Lost, detail: detail}
	}
}

// targetMessage returns the request that is sent to the target.
func (d *delivery) targetMessage(placement rtplacement.Placement, reserved []*reservation) *rtexchange.Message {
	q := d.request
	header := rtexchange.EndToEnd(q.r.Header)
	outgoing := OutgoingRequest{
		Target:      placement.Target.ID,
		Remaining:   time.Until(q.deadline),
		Priority:    q.priority(),
		LastEventID: d.lastEventID,
		Helpers:     helpersOf(placement, reserved),
	}
	if q.organisation != nil {
		outgoing.Organisation = q.organisation.Name
	}
	d.gateway.dialect.RewriteHeaders(header, outgoing)
	sent := time.Now()
	return &rtexchange.Message{
		Method:      q.r.Method,
		Path:        q.r.RequestURI,
		Host:        q.r.Host,
		Header:      header,
		Pieces:      q.body,
		OnAbandoned: func(late *rtexchange.LateResponse) { d.hearLate(placement.Target, late, sent) },
	}
}

// finish records the end of an in-flight request.
func (g *Gateway) finish(inFlight *rtplacement.InFlightRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads.Finish(inFlight)
}

// prefillDone records the first event of an in-flight request.
func (g *Gateway) prefillDone(inFlight *rtplacement.InFlightRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads.PrefillDone(inFlight)
}
