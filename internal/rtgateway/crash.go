package rtgateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtquarantine"
)

const (
	// checkReuse is how long the result of a check whether a target has crashed
	// holds for other connections that broke. A crash breaks all of them within a
	// few milliseconds.
	checkReuse = 100 * time.Millisecond
	// checkTimeout limits the check of a target, which delays the next attempt. It
	// covers a round trip between availability zones many times.
	checkTimeout = 100 * time.Millisecond
	// acceptTime is how long a process that ends may take to close its last
	// connections.
	acceptTime = 20 * time.Millisecond
	// maxCheckDials is how many new connections may be closed at once before the
	// check ends without a result.
	maxCheckDials = 3
)

// targetCheck is a check whether a target refuses connections.
type targetCheck struct {
	started time.Time
	done    chan struct{} // closed when refuses is set
	refuses bool
}

// targetCrashed reports whether a target whose connection broke has crashed: it
// refuses new connections and was not about to leave. A target that cannot be
// reached does not count, because a cut of its link or its zone looks the same.
func (g *Gateway) targetCrashed(ctx context.Context, target *rtcatalog.Instance) bool {
	view := g.views.View()
	if current := view.Instance(target.ID); current == nil || !view.Usable(current) {
		return false
	}
	g.mu.Lock()
	leaving := g.leaves.Leaving(target.Incarnation())
	g.mu.Unlock()
	return !leaving && g.targetGone(ctx, target, time.Now().Add(-checkReuse))
}

// targetGone reports whether a target refuses new connections, by a check that has begun
// at a time or later. It does so, too, if the target was about to leave.
func (g *Gateway) targetGone(ctx context.Context, target *rtcatalog.Instance, since time.Time) bool {
	g.mu.Lock()
	check := g.checks[target.ID]
	starts := check == nil || check.started.Before(since)
	if starts {
		check = &targetCheck{started: time.Now(), done: make(chan struct{})}
		g.checks[target.ID] = check
	}
	g.mu.Unlock()
	if starts {
		// Others wait for the result, so it must not end with this request.
		defer close(check.done)
		check.refuses = g.refusesConnections(context.WithoutCancel(ctx), target.Address)
		return check.refuses
	}
	select {
	case <-check.done:
		return check.refuses
	case <-ctx.Done():
		return false
	}
}

// refusesConnections reports whether nothing listens at an address. A process that
// ends may still accept a connection while it closes others, so an accepted one is
// watched for a moment. One that is closed at once does not prove a crash: a
// target does so, too, when it has too many.
func (g *Gateway) refusesConnections(ctx context.Context, address rtid.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for range maxCheckDials {
		connection, err := g.network.Dial(ctx, address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		stays := staysOpen(connection)
		_ = connection.Close() // nothing was sent
		if stays {
			return false
		}
	}
	return false
}

// staysOpen reports whether a new connection is still open after acceptTime.
func staysOpen(connection net.Conn) bool {
	if err := connection.SetReadDeadline(time.Now().Add(acceptTime)); err != nil {
		return false
	}
	_, err := connection.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// suspectOfCrash reports whether the target crashed while it had the request and
// the request may be the cause. It records the crash as evidence against the
// request and the parts of its prompt.
func (d *delivery) suspectOfCrash(ctx context.Context, target *rtcatalog.Instance) bool {
	// A target crashes when it begins to answer, so an answer that went on is not
	// the cause.
	if d.answerProven || !d.gateway.targetCrashed(ctx, target) {
		return false
	}
	return d.gateway.recordCrash(target.ID, d.request.info.ID, d.request.allParts(), d.sent)
}

// recordCrash records a crash of a target as evidence against all parts of a request
// that it had, which was sent at a time. It reports whether one of them may be the cause.
func (g *Gateway) recordCrash(target rtid.Target, request rtid.Request, parts []rtid.Part, sent time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	quarantined := g.quarantine.RecordCrash(target, parts, sent, now)
	unproven := g.quarantine.Unproven(parts, now)
	g.log.Info("Target crashed.", "target", target, "request", request, "whole", parts[len(parts)-1], "suspects", unproven)
	g.logQuarantined(quarantined, "own", now)
	g.onNews()
	return len(unproven) > 0
}

// suspectParts returns the parts of a request that there may be evidence against. It
// leaves the one of the whole request out while there is none against any, which spares
// its hash.
func (g *Gateway) suspectParts(q *request) []rtid.Part {
	g.mu.Lock()
	whole := g.quarantine.SuspectsRequests()
	g.mu.Unlock()
	if whole {
		return q.allParts()
	}
	return q.info.Parts
}

// mayCrashTargets reports whether a request may be the cause if its target crashes.
func (g *Gateway) mayCrashTargets(q *request) bool {
	parts := g.suspectParts(q)
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.quarantine.Unproven(parts, time.Now())) > 0
}

// recordSound records that a target lived on after it had begun to answer a
// request.
func (g *Gateway) recordSound(q *request) {
	parts := g.suspectParts(q)
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	lifted := g.quarantine.RecordSound(parts, time.Now())
	for _, part := range lifted {
		g.log.Info("Quarantine ended by a success.", "prompt_part", part)
		g.countQuarantines("ended")
	}
	if len(lifted) > 0 {
		g.onNews()
	}
}

// checkParts decides whether a request may be sent because of its parts.
func (g *Gateway) checkParts(q *request) rtquarantine.Verdict {
	parts := g.suspectParts(q)
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.quarantine.Check(parts, time.Now(), func(part rtid.Part) bool { return g.peers.Designated(string(part)) })
	if verdict.Decision == rtquarantine.Probe {
		g.log.Info("Probing a part in quarantine.", "request", q.info.ID, "prompt_part", verdict.Part)
		g.countQuarantines("probed")
	}
	return verdict
}

// partsAllowed reports whether the next attempt may be made because of the parts
// of the prompt. Otherwise it sets the refusal. Only one request of a process
// probes a part, so that the decision about it is made once.
func (d *delivery) partsAllowed() bool {
	if d.probe {
		return true
	}
	verdict := d.gateway.checkParts(d.request)
	if verdict.Decision == rtquarantine.Reject {
		d.refusal = d.rejectParts(verdict)
		return false
	}
	d.probe = verdict.Decision == rtquarantine.Probe
	return true
}

// Reasons of refusals because targets have crashed.
const (
	reasonPartQuarantine    = "part of the prompt is in quarantine"
	reasonRequestQuarantine = "request is in quarantine"
)

// rejectParts returns the refusal of a request that is in quarantine, or a part of which
// is. It names no retry delay: the part is kept away for longer than callers wait.
func (d *delivery) rejectParts(verdict rtquarantine.Verdict) *refusal {
	reason := reasonPartQuarantine
	if verdict.Part.IsWholeRequest() {
		reason = reasonRequestQuarantine
	}
	d.lastDetail = "part " + string(verdict.Part) + " until " + verdict.Until.Format(time.RFC3339Nano)
	refused := d.giveUp(reason)
	if refused == nil {
		return nil
	}
	refused.detail = d.lastDetail
	if refused.status == http.StatusServiceUnavailable {
		refused.retryAfter = 0
		refused.lasting = true
	}
	return refused
}

// Observations returns the evidence about parts of prompts for peers.
func (g *Gateway) Observations() []rtquarantine.Observation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Observations(time.Now())
}

// MergeObservations adds the evidence of a peer.
func (g *Gateway) MergeObservations(observations []rtquarantine.Observation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.logQuarantined(g.quarantine.Merge(observations, now), "peer", now)
}

// logQuarantined logs and counts parts that are newly in quarantine, with the
// evidence. The caller holds mu.
func (g *Gateway) logQuarantined(parts []rtid.Part, source string, now time.Time) {
	if len(parts) == 0 {
		return
	}
	for _, suspect := range g.quarantine.Dump(now) {
		if !slices.Contains(parts, suspect.Part) {
			continue
		}
		g.log.Info("Part in quarantine.", "prompt_part", suspect.Part, "crashes", suspect.Crashes, "targets", suspect.Targets,
			"first", now.Sub(suspect.First).String(), "until", suspect.Until.Format(time.RFC3339Nano), "source", source)
		g.countQuarantines("began")
	}
}

func (g *Gateway) countQuarantines(event string) {
	g.metrics.Scope.Tagged(map[string]string{"event": event}).Counter("quarantines").Inc(1)
}

// Suspects returns the evidence about parts of prompts for operators.
func (g *Gateway) Suspects() []rtquarantine.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Dump(time.Now())
}
