package rtgateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// listenerDelay is the longest time from the end of readiness to the close of the
	// listener. The load balancer probes once a second and removes a process
	// after two failed probes.
	listenerDelay = 3 * time.Second
	// balancerRemovalTime is how long after the end of readiness the load
	// balancer still sends new connections here: two failed probes, and 0.2 s to
	// apply the result.
	balancerRemovalTime = 2200 * time.Millisecond
	// firstRequestTime is how long after the close of the listener the first requests
	// of its last connections are waited for.
	firstRequestTime = 250 * time.Millisecond
	// exitMargin is the part of the grace period that is kept for the exit of
	// the process after its last request.
	exitMargin = 400 * time.Millisecond
	// lastAnswerTime is how long before exitMargin the requests in flight are ended, so
	// that their callers get an answer.
	lastAnswerTime = 200 * time.Millisecond
	defaultGrace   = 8 * time.Second
	// drainPollInterval is how often drain looks whether requests are in flight.
	drainPollInterval = 20 * time.Millisecond
)

// errGraceOver is the cause of the end of requests that are in flight at the end of the
// grace period.
var errGraceOver = errors.New("grace period of a planned stop is over")

// drainTimes are the times of a planned stop, counted from its start.
type drainTimes struct {
	refusal time.Duration // from which new requests are refused and the listener is closed
	answer  time.Duration // when the requests in flight are ended
	close   time.Duration // when all connections are closed
}

// drainTimesOf returns the times of a planned stop with a grace period.
func drainTimesOf(grace time.Duration) drainTimes {
	if grace <= 0 {
		grace = defaultGrace
	}
	end := max(0, grace-exitMargin)
	answer := max(0, end-lastAnswerTime)
	return drainTimes{refusal: min(listenerDelay, answer/2), answer: answer, close: end}
}

// drain ends readiness and, after listenerDelay, closes the listener and the idle
// connections; a request that still comes is refused as not run, because the rest of
// the grace period may be too short for it. Those in flight may go on until shortly
// before its end. Then the gateway answers them itself, or breaks off what has begun.
func (g *Gateway) drain(listener net.Listener, callerServer *http.Server) error {
	g.mu.Lock()
	grace := g.bounds.Grace
	g.mu.Unlock()
	times := drainTimesOf(grace)
	started := time.Now()
	g.refusingFrom.Store(new(started.Add(times.refusal)))
	g.drainingSince.Store(&started)
	g.log.Info("Stopping.", "grace", grace.String())
	time.Sleep(times.refusal)
	// An error says that the listener is closed already.
	_ = listener.Close()
	callerServer.SetKeepAlivesEnabled(false)
	time.Sleep(min(firstRequestTime, times.answer-times.refusal))
	if !g.awaitInFlight(started.Add(times.answer)) {
		g.log.Info("Grace period over with requests in flight, ending them.", "connections", g.activeConnections.Load())
		g.endGrace(errGraceOver)
		if !g.awaitInFlight(started.Add(times.close)) {
			g.log.Info("Closing connections with requests in flight.", "connections", g.activeConnections.Load())
		}
	}
	err := callerServer.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil // the listener
	}
	g.log.Info("Stopped.", "took", time.Since(started).String())
	return err
}

// awaitInFlight waits until no connection has a request, or until a time. It reports
// whether none has.
func (g *Gateway) awaitInFlight(until time.Time) bool {
	for g.activeConnections.Load() > 0 {
		if !time.Now().Before(until) {
			return false
		}
		time.Sleep(drainPollInterval)
	}
	return true
}

// refuseLate refuses requests that come late in a planned stop.
func (g *Gateway) refuseLate(_ *request) *refusal {
	if from := g.refusingFrom.Load(); from != nil && !time.Now().Before(*from) {
		return notRun(reasonLeaving, g.retryAfter(shedRetryDelay))
	}
	return nil
}

// reasonLeaving is the reason of refusals of a process that stops.
const reasonLeaving = "leaving"

// withinGrace returns a context that also ends with the grace period, with
// errGraceOver as its cause.
func (g *Gateway) withinGrace(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.grace, func() { cancel(errGraceOver) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// retryAfter returns the retry delay of a refused caller. While this process
// drains, the delay lasts until the load balancer sends no more connections
// here: a caller that retries at a draining process is refused again and then
// gives up.
func (g *Gateway) retryAfter(delay time.Duration) time.Duration {
	if drainingSince := g.drainingSince.Load(); drainingSince != nil {
		return max(delay, balancerRemovalTime-time.Since(*drainingSince))
	}
	return delay
}
