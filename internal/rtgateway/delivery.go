package rtgateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtexchange"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// verdict is what one send led to.
type verdict int

const (
	verdictLost       verdict = iota // lost
	verdictNotSent                   // not sent
	verdictNotRun                    // not run
	verdictElsewhere                 // another target has the address
	verdictHelper                    // a helper refused
	verdictMemory                    // no memory
	verdictFailed                    // failed
	verdictDone                      // done
	verdictCallerGone                // caller gone
	verdictExpired                   // expired
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=verdict -linecomment

// result is a verdict with its details.
type result struct {
	verdict verdict
	detail  string
	kept    *keptAnswer   // whole answer of the target, for verdictFailed
	first   time.Duration // from the send to the first event, for verdictDone of a stream
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

	tried     []rtid.Target
	sends     int         // targets that may have got the request, at most the route's attempts
	helped    int         // refusals because of a helper
	uncertain bool        // a send may have run, so that no refusal may promise otherwise
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

// run sends the request until it has an end.
func (d *delivery) run(ctx context.Context) *refusal {
	q := d.request
	d.gateway.countRequest(q.service.Name)
	d.lastEvent = q.facts.LastEvent
	for {
		choice, ok := d.gateway.choose(q, d.tried)
		if !ok {
			if time.Since(q.arrived) >= q.route.Aim/2 {
				return d.giveUp("no target")
			}
			// A target may come back, or its rate allow one more, within the time.
			choice.Decision = rtplacement.Wait
		}
		switch choice.Decision {
		case rtplacement.Refuse:
			return d.refuseNow(choice)
		case rtplacement.Wait:
			if refused, ended := d.wait(ctx); ended {
				return refused
			}
			continue
		}
		d.tried = append(d.tried, choice.Target.ID)
		sent := time.Now()
		found := d.send(ctx, choice.Choice, choice.flight)
		d.gateway.end(choice.flight)
		d.log(choice, found, sent)
		if done, refused := d.settle(ctx, found); done {
			return refused
		}
	}
}

// wait lets a request wait for room. It reports whether the request has ended
// meanwhile.
func (d *delivery) wait(ctx context.Context) (*refusal, bool) {
	if d.gateway.leaving.Load() {
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
	if d.started || d.uncertain || d.kept != nil {
		return d.giveUp("overloaded")
	}
	left := time.Until(d.request.deadline)
	// Callers wait for at most a third of their time.
	return notRun("overloaded", min(rtplacement.ComeBack(choice.Choice, choice.Pressure), left/3))
}

// settle decides what follows a send. It reports whether the request has
// ended.
func (d *delivery) settle(ctx context.Context, found result) (bool, *refusal) {
	switch found.verdict {
	case verdictDone, verdictCallerGone:
		return true, nil
	case verdictNotSent:
		if ctx.Err() == nil && len(d.tried) < maxUnsent {
			return false, nil
		}
		return true, d.giveUp("targets cannot be reached")
	case verdictElsewhere:
		if ctx.Err() == nil && len(d.tried) < maxUnsent && d.gateway.takeRetry(d.request.service.Name) {
			return false, nil
		}
		return true, d.giveUp("targets have changed")
	case verdictHelper:
		d.helped++
		// The target itself is not at fault and may be asked again.
		d.tried = d.tried[:len(d.tried)-1]
		if ctx.Err() == nil && d.helped < maxHelped && d.gateway.takeRetry(d.request.service.Name) {
			return false, nil
		}
		return true, d.giveUp("helpers refuse")
	case verdictMemory:
		return true, d.giveUp("no memory for the prompt")
	case verdictNotRun:
		d.sends++
	case verdictFailed:
		d.sends++
		d.kept = found.kept
	default:
		d.sends++
		d.uncertain = true
	}
	if d.mayRepeat(ctx, found.verdict) && d.gateway.takeRetry(d.request.service.Name) {
		d.gateway.metrics.Scope.Counter("retries").Inc(1)
		return false, nil
	}
	refused := d.giveUp("target " + found.verdict.String())
	if refused != nil {
		refused.detail = found.detail
	}
	return true, refused
}

// mayRepeat reports whether the route allows one more send after a verdict.
func (d *delivery) mayRepeat(ctx context.Context, after verdict) bool {
	route := d.request.route
	if ctx.Err() != nil || d.sends >= route.Attempts {
		return false
	}
	return after == verdictNotRun && !d.uncertain || route.Repeatable()
}

// giveUp ends a request that no target has answered well.
func (d *delivery) giveUp(reason string) *refusal {
	switch {
	case d.started:
		// Only a broken connection shows that the answer is not whole.
		panic(http.ErrAbortHandler)
	case d.kept != nil:
		d.kept.write(d.request.w)
		return nil
	case d.uncertain && !time.Now().Before(d.request.deadline):
		return &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	case d.uncertain:
		return &refusal{status: http.StatusBadGateway, reason: reason}
	default:
		return notRun(reason, shedPause)
	}
}

// log writes the line of one send.
func (d *delivery) log(choice chosen, found result, sent time.Time) {
	d.gateway.log.Info("Sent.", "request", d.request.facts.ID, "route", d.request.route.Name,
		"target", choice.Target.ID, "prompt", d.request.work.Prompt,
		"helpers", len(choice.Helpers), "predicted", choice.First.String(),
		"backlog", choice.Pressure.Backlog.String(),
		"outcome", found.verdict.String(), "detail", found.detail,
		"first", found.first.String(), "pause", found.pause.String(), "revision", d.request.view.Revision,
		"waited", sent.Sub(d.request.arrived).String(), "took", time.Since(sent).String())
	tags := map[string]string{"outcome": found.verdict.String()}
	d.gateway.metrics.Scope.Tagged(tags).Counter("sends").Inc(1)
}

// errSilent ends a send whose target has not been heard of for too long.
var errSilent = errors.New("target is silent")

// send sends the request to one target and relays the answer.
func (d *delivery) send(ctx context.Context, choice rtplacement.Choice, flight *rtplacement.Flight) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := d.watchSilence(choice.Target.ID, cancel)
	defer watch.stop()
	reserved, err := d.reserve(ctx, choice)
	if err != nil {
		return result{verdict: verdictMemory, detail: err.Error()}
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
	reply := d.gateway.dialect.Reply(answer.Status, answer.Header)
	switch {
	case reply.Request != d.request.facts.ID && !reply.NotRun:
		return result{verdict: verdictLost, detail: "answer belongs to another request"}
	case reply.NotRun && d.gateway.blame(reply.Fault, choice):
		return result{verdict: verdictHelper, detail: "refused because of helper " + reply.Fault}
	case reply.NotRun && answer.Status == http.StatusMisdirectedRequest:
		d.gateway.leave(choice.Target.ID)
		return result{verdict: verdictElsewhere, detail: "another target has the address"}
	case reply.NotRun:
		return result{verdict: verdictNotRun, detail: fmt.Sprintf("refused with %d, at fault %q", answer.Status, reply.Fault)}
	case !reply.Stamped, answer.Header.Get("Content-Encoding") != "":
		return result{verdict: verdictLost, detail: "answer is not the target's own"}
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
		return result{verdict: verdictLost, detail: errSilent.Error()}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result{verdict: verdictExpired, detail: "the time is over"}
	case ctx.Err() != nil:
		return result{verdict: verdictCallerGone, detail: "the caller has left"}
	case errors.Is(err, rtexchange.ErrNotSent):
		d.gateway.suspect(target.ID, detail)
		return result{verdict: verdictNotSent, detail: detail}
	default:
		d.gateway.suspect(target.ID, detail)
		return result{verdict: verdictLost, detail: detail}
	}
}

// message returns the request as the target gets it.
func (d *delivery) message(choice rtplacement.Choice, reserved []*reservation) *rtexchange.Message {
	q := d.request
	header := rtexchange.EndToEnd(q.r.Header)
	send := Send{
		Target:    choice.Target.ID,
		Remaining: time.Until(q.deadline),
		Priority:  q.priority(),
		LastEvent: d.lastEvent,
		Helpers:   helpersOf(choice, reserved),
	}
	if q.organisation != nil {
		send.Organisation = q.organisation.Name
	}
	d.gateway.dialect.Outgoing(header, send)
	return &rtexchange.Message{
		Method: q.r.Method,
		Path:   q.r.RequestURI,
		Host:   q.r.Host,
		Header: header,
		Body:   q.body,
	}
}

// end records the end of a flight.
func (g *Gateway) end(flight *rtplacement.Flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.End(flight)
}

// first records the first event of a flight.
func (g *Gateway) first(flight *rtplacement.Flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.First(flight)
}
