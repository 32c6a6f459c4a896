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

// result is a verdict with its details.
type result struct {
	verdict rtdelivery.AttemptOutcome
	detail  string
	kept    *keptAnswer   // whole answer of the target, for rtdelivery.Failed
	first   time.Duration // from the send to the first event, for a stream that is done
	pause   time.Duration // longest between events, as first
}

// keptAnswer is a target's failure, passed on if no other target does better.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// delivery is the state of a request from the first send to its end.
type delivery struct {
	gateway *Gateway
	request *request
	course  rtdelivery.AttemptState

	tried     []rtid.Target
	choice    chosen      // of the send that runs
	refused   *refusal    // by the choice; nil if the caller has left
	detail    string      // of the last send
	kept      *keptAnswer // of an earlier send
	started   bool        // the head of the answer is written
	lastEvent string      // last event that the caller got whole
}

const (
	// maxUnsent bounds targets that could not be reached for one request.
	maxUnsent = 6
	// maxHelped bounds sends of one request that a helper refused.
	maxHelped = 4
	// shedPause is when room is expected at targets that had none: a few
	// passes of an engine.
	shedPause = 400 * time.Millisecond
	// waitStep is how often a waiting request looks for room: about one pass of
	// an engine.
	waitStep = 40 * time.Millisecond
)

// spentReasons are the reasons of refusals by the verdict of the last send.
var spentReasons = map[rtdelivery.AttemptOutcome]string{
	rtdelivery.Lost:          "connection to target lost",
	rtdelivery.NotSent:       "targets cannot be reached",
	rtdelivery.Refused:       "target refused",
	rtdelivery.WrongTarget:   "targets have changed",
	rtdelivery.HelperRefused: "helpers refuse",
	rtdelivery.Infeasible:    "no memory for the prompt",
	rtdelivery.Failed:        "target failed",
	rtdelivery.Expired:       "time over at target",
}

// newDelivery returns the delivery of a request within the attempts of its
// route.
func newDelivery(g *Gateway, q *request) *delivery {
	return &delivery{gateway: g, request: q, lastEvent: q.facts.LastEventID, course: rtdelivery.AttemptState{Limits: rtdelivery.Limits{
		MaxAttempts:       q.route.Attempts,
		MaxRefusals:       q.route.Attempts,
		MaxLosses:         q.route.Attempts,
		MaxUndelivered:    maxUnsent,
		MaxHelperRefusals: maxHelped,
		Repeatable:        q.route.Repeatable(),
	}}}
}

// run sends the request until it has an end.
func (d *delivery) run(ctx context.Context) *refusal {
	d.gateway.countRequest(d.request.service.Name)
	switch ending := d.course.Run(ctx, d); ending {
	case rtdelivery.Answered:
		return nil
	case rtdelivery.NoTarget:
		return d.refused
	default:
		refused := d.giveUp(spentReasons[d.course.LastOutcome()])
		if refused != nil {
			refused.detail = d.detail
			if ending == rtdelivery.RetryBudgetExhausted {
				refused.detail += ", retry budget used up"
			}
		}
		return refused
	}
}

// Choose chooses the target of the next send and waits for room, if the
// request is better served later.
func (d *delivery) SelectTarget(ctx context.Context) bool {
	q := d.request
	for {
		choice, ok := d.gateway.choose(q, d.tried)
		if !ok {
			if time.Since(q.arrived) >= q.route.LatencySLO/2 {
				d.refused = d.giveUp("no target")
				return false
			}
			// A target may come back, or its rate allow one more, within the time.
			choice.Decision = rtplacement.Wait
		}
		switch choice.Decision {
		case rtplacement.Send:
			d.choice = choice
			d.tried = append(d.tried, choice.Target.ID)
			return true
		case rtplacement.Refuse:
			d.refused = d.refuseNow(choice)
			return false
		}
		if refused, ended := d.wait(ctx); ended {
			d.refused = refused
			return false
		}
	}
}

// Offer sends the request to the chosen target and relays the answer.
func (d *delivery) Attempt(ctx context.Context) rtdelivery.AttemptOutcome {
	sent := time.Now()
	found := d.send(ctx, d.choice.Placement, d.choice.flight)
	d.gateway.end(d.choice.flight)
	d.log(d.choice, found, sent)
	d.detail = found.detail
	switch found.verdict {
	case rtdelivery.Failed:
		d.kept = found.kept
	case rtdelivery.HelperRefused:
		// The target itself is not at fault and may be asked again.
		d.tried = d.tried[:len(d.tried)-1]
	}
	return found.verdict
}

// Spend takes one more send from the retry budget of the service.
func (d *delivery) TakeRetry(after rtdelivery.AttemptOutcome) bool {
	if !d.gateway.takeRetry(d.request.service.Name) {
		return false
	}
	d.gateway.metrics.Scope.Tagged(map[string]string{"after": after.String()}).Counter("retries").Inc(1)
	return true
}

// wait lets a request wait for room. It reports whether the request has ended
// meanwhile.
func (d *delivery) wait(ctx context.Context) (*refusal, bool) {
	if d.gateway.leaving.Load() != nil {
		return d.giveUp("leaving"), true
	}
	timer := time.NewTimer(waitStep)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil, false
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return d.giveUp("no room in time"), true
	}
	d.gateway.log.Info("Caller left while waiting.", "request", d.request.facts.ID)
	return nil, true
}

// refuseNow refuses a request whose caller would have left before its first
// event: reading a prompt for nobody delays all others.
func (d *delivery) refuseNow(choice chosen) *refusal {
	return d.giveUpUntil("overloaded", rtplacement.RetryAfter(choice.Placement, choice.LongPool))
}

// giveUp ends a request that no target has answered well.
func (d *delivery) giveUp(reason string) *refusal { return d.giveUpUntil(reason, shedPause) }

// giveUpUntil is giveUp with a time after which room is expected.
func (d *delivery) giveUpUntil(reason string, after time.Duration) *refusal {
	if d.started {
		// Only a broken connection shows that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	switch d.course.Outcome() {
	case rtdelivery.RanAndFailed:
		d.kept.write(d.request.w)
		return nil
	case rtdelivery.Unknown:
		if !time.Now().Before(d.request.deadline) {
			return &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}
		}
		return &refusal{status: http.StatusBadGateway, reason: reason}
	default:
		// Callers wait for at most a third of their time.
		return notRun(reason, min(d.gateway.comeBack(after), time.Until(d.request.deadline)/3))
	}
}

// log writes the line of one send.
func (d *delivery) log(choice chosen, found result, sent time.Time) {
	d.gateway.log.Info("Sent.", "request", d.request.facts.ID, "route", d.request.route.Name,
		"target", choice.Target.ID, "prompt", d.request.work.Prompt,
		"helpers", len(choice.Helpers), "predicted", choice.PredictedFirstEvent.String(),
		"backlog", choice.LongPool.PrefillBacklog.String(),
		"outcome", found.verdict.String(), "detail", found.detail,
		"first", found.first.String(), "pause", found.pause.String(), "revision", d.request.view.Revision,
		"waited", sent.Sub(d.request.arrived).String(), "took", time.Since(sent).String())
	tags := map[string]string{"outcome": found.verdict.String()}
	d.gateway.metrics.Scope.Tagged(tags).Counter("sends").Inc(1)
}

// errSilent ends a send whose target has not been heard of for too long.
var errSilent = errors.New("target is silent")

// send sends the request to one target and relays the answer.
func (d *delivery) send(ctx context.Context, choice rtplacement.Placement, flight *rtplacement.InFlightRequest) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := d.watchSilence(choice.Target.ID, cancel)
	defer watch.stop()
	reserved, err := d.reserve(ctx, choice)
	if err != nil {
		return result{verdict: rtdelivery.Infeasible, detail: err.Error()}
	}
	defer d.release(reserved)
	if renewal := d.renew(reserved); renewal != nil {
		defer func() { _ = renewal.Stop() }() // it reports its errors itself
	}
	sent := time.Now()
	answer, err := rtexchange.Send(ctx, d.gateway.network, choice.Target.Address, d.message(choice, reserved))
	if err != nil {
		return d.failure(ctx, choice.Target, err)
	}
	defer answer.Close()
	d.gateway.hear(choice.Target.ID)
	reply := d.gateway.dialect.ParseResponse(answer.Status, answer.Header)
	switch {
	case reply.Request != d.request.facts.ID && !reply.NotRun:
		return result{verdict: rtdelivery.Lost, detail: "answer belongs to another request"}
	case reply.NotRun && d.gateway.blame(reply.Fault, choice):
		return result{verdict: rtdelivery.HelperRefused, detail: "refused because of helper " + reply.Fault}
	case reply.NotRun && answer.Status == http.StatusMisdirectedRequest:
		d.gateway.leave(choice.Target.ID)
		return result{verdict: rtdelivery.WrongTarget, detail: "another target has the address"}
	case reply.NotRun:
		return result{verdict: rtdelivery.Refused, detail: fmt.Sprintf("refused with %d, at fault %q", answer.Status, reply.Fault)}
	case !reply.Stamped, answer.Header.Get("Content-Encoding") != "":
		return result{verdict: rtdelivery.Lost, detail: "answer is not the target's own"}
	}
	relay := &relay{delivery: d, target: choice.Target, answer: answer, flight: flight, watch: watch, last: sent}
	if d.request.route.Kind == rtcatalog.KindStream && answer.Status < http.StatusMultipleChoices {
		return relay.stream(ctx)
	}
	return relay.whole(ctx)
}

// failure returns the result of an exchange that broke.
func (d *delivery) failure(ctx context.Context, target *rtcatalog.Instance, err error) result {
	detail := err.Error()
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		d.gateway.suspect(target.ID, "silent")
		return result{verdict: rtdelivery.Lost, detail: errSilent.Error()}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result{verdict: rtdelivery.Expired, detail: "the time is over"}
	case ctx.Err() != nil:
		return result{verdict: rtdelivery.CallerGone, detail: "the caller has left"}
	case errors.Is(err, rtexchange.ErrNotSent):
		d.gateway.suspect(target.ID, detail)
		return result{verdict: rtdelivery.NotSent, detail: detail}
	default:
		d.gateway.suspect(target.ID, detail)
		return result{verdict: rtdelivery.Lost, detail: detail}
	}
}

// message returns the request as the target gets it.
func (d *delivery) message(choice rtplacement.Placement, reserved []*reservation) *rtexchange.Message {
	q := d.request
	header := rtexchange.EndToEnd(q.r.Header)
	send := OutgoingRequest{
		Target:      choice.Target.ID,
		Remaining:   time.Until(q.deadline),
		Priority:    q.priority(),
		LastEventID: d.lastEvent,
		Helpers:     helpersOf(choice, reserved),
	}
	if q.organisation != nil {
		send.Organisation = q.organisation.Name
	}
	d.gateway.dialect.RewriteHeaders(header, send)
	return &rtexchange.Message{
		Method: q.r.Method,
		Path:   q.r.RequestURI,
		Host:   q.r.Host,
		Header: header,
		Body:   q.body,
	}
}

// end records the end of a flight.
func (g *Gateway) end(flight *rtplacement.InFlightRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Finish(flight)
}

// first records the first event of a flight.
func (g *Gateway) first(flight *rtplacement.InFlightRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.PrefillDone(flight)
}
