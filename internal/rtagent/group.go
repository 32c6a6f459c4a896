package rtagent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// groupLease is how long a member keeps a reservation without a renewal.
	groupLease = 2 * time.Second
	// renewInterval lets a lease outlast two lost renewals in a row.
	renewInterval = groupLease / 4
	// memberTimeout limits one call to a member.
	memberTimeout = groupLease / 4
	// reserveTimeout ends an attempt while the first member's lease is still
	// valid.
	reserveTimeout = groupLease / 2
	// minBackoff is longer than reserving memory at all members of a zone takes,
	// so that one of two conflicting leaders is done before the next attempt.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// enginesNeeded returns the smallest number of engines with the memory of this
// one that together hold the given tokens.
func (a *Agent) enginesNeeded(tokens rtid.Tokens) int {
	total := a.memory.Total()
	if total == 0 || tokens <= total {
		return 1
	}
	return int((tokens + total - 1) / total)
}

// planGroup divides the memory of a prompt that is larger than this engine
// evenly among the engines it needs, so that each engine keeps as much memory
// as possible for other requests. The agent that accepted the prompt is the
// leader of the group, and the agents of the other engines are its members.
func (a *Agent) planGroup(r *request) {
	engines := a.enginesNeeded(r.item.Memory)
	if engines == 1 {
		return
	}
	r.memberCount = engines - 1
	evenShare := (r.item.Memory + rtid.Tokens(engines) - 1) / rtid.Tokens(engines)
	// The memory of the answer is always reserved at this engine.
	local := max(evenShare, r.maxOutput)
	r.memberTokens = (r.item.Memory - local + rtid.Tokens(r.memberCount) - 1) / rtid.Tokens(r.memberCount)
	r.item.Memory = local
}

// memberCandidates returns the other engines of the service in this availability
// zone, in ascending order of target.
func (a *Agent) memberCandidates() []rtnode.AgentView {
	var candidates []rtnode.AgentView
	for _, view := range a.node.AgentsOf(a.settings.Service) {
		if view.Zone == a.settings.Zone && view.Target != a.settings.Target && !view.Draining {
			candidates = append(candidates, view)
		}
	}
	return candidates
}

// groupAttempt is one attempt to reserve memory at the members of a group.
type groupAttempt struct {
	members       []rtwire.Target // have reserved memory
	maybeReserved []rtwire.Target // gave no reply and may have reserved memory
	startedAt     time.Time
}

// executeGroup reserves memory at all members and runs the request. If any
// member is missing, it frees all reservations and retries later, so that two
// leaders never wait for each other.
func (a *Agent) executeGroup(ctx context.Context, r *request) {
	attempt := a.reserveMembers(ctx, r)
	defer a.releaseMembers(ctx, r, attempt)
	switch {
	case ctx.Err() != nil:
		a.endRun(r, notRunResult(endReason(ctx), context.Cause(ctx).Error()))
		return
	case len(attempt.members) < r.memberCount:
		a.postponeGroup(r)
		return
	}
	runCtx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	renewals := a.startRenewals(runCtx, r, attempt, stop)
	a.resetPopTime(r)
	a.execute(runCtx, r)
	stop(nil)
	for _, renewal := range renewals {
		a.logTaskError(renewal.Stop())
	}
}

// reserveMembers asks the candidates in order until enough members have reserved
// memory. A candidate that gives no reply is skipped in the next attempt.
func (a *Agent) reserveMembers(ctx context.Context, r *request) *groupAttempt {
	attempt := &groupAttempt{startedAt: time.Now()}
	deadline := attempt.startedAt.Add(reserveTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	skipped := r.unresponsive
	r.unresponsive = make(map[rtid.Target]bool)
	for _, view := range a.memberCandidates() {
		if len(attempt.members) == r.memberCount || ctx.Err() != nil {
			break
		}
		if skipped[view.Target] {
			continue
		}
		member := rtwire.NewTargetProtobufClient("http://"+string(view.Address), a.client)
		// One that is asked as the attempt ends may be alive.
		hasTime := time.Until(deadline) >= memberTimeout/2
		granted, err := a.callReserve(ctx, member, r, r.memberTokens)
		switch {
		case granted:
			attempt.members = append(attempt.members, member)
		case err != nil:
			a.log.Info("No reply from a member to a memory reservation.", "member", view.Target, "error", err.Error())
			r.unresponsive[view.Target] = hasTime
			attempt.maybeReserved = append(attempt.maybeReserved, member)
		}
	}
	return attempt
}

// callReserve asks a member to reserve memory. With 0 tokens it renews the lease
// of an existing reservation.
func (a *Agent) callReserve(ctx context.Context, member rtwire.Target, r *request, tokens rtid.Tokens) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	reply, err := member.Reserve(ctx, &rtwire.ReserveRequest{
		Group:  string(r.item.ID),
		Tokens: int64(tokens),
		Lease:  durationpb.New(groupLease),
		Leader: string(a.settings.Target),
	})
	return err == nil && reply.Granted, err
}

// startRenewals renews the leases of all members until ctx ends. It stops the
// run when a lease is lost.
func (a *Agent) startRenewals(ctx context.Context, r *request, attempt *groupAttempt, stop context.CancelCauseFunc) []*rttask.Task {
	var renewals []*rttask.Task
	for _, member := range attempt.members {
		renewals = append(renewals, rttask.Start(ctx, "renew", func(ctx context.Context) error {
			if err := a.renewLease(ctx, member, r, attempt.startedAt.Add(groupLease)); err != nil {
				stop(err)
			}
			return nil
		}))
	}
	return renewals
}

// renewLease renews the lease of one member until ctx ends. It returns an error
// when the member may have freed the reservation. The lease is valid until
// validUntil. A renewal extends it to groupLease after the start of its call.
func (a *Agent) renewLease(ctx context.Context, member rtwire.Target, r *request, validUntil time.Time) error {
	for sleep(ctx, renewInterval) {
		requestedAt := time.Now()
		granted, err := a.callReserve(ctx, member, r, 0)
		switch {
		case granted:
			validUntil = requestedAt.Add(groupLease)
		case ctx.Err() != nil:
			return nil
		case err == nil:
			return fmt.Errorf("%w: the member refused to renew the lease", errLeaseLost)
		case time.Now().After(validUntil):
			return errors.Join(errLeaseLost, err)
		}
	}
	return nil
}

// releaseMembers frees the reservations at the members. A reservation that
// cannot be released expires with its lease.
func (a *Agent) releaseMembers(ctx context.Context, r *request, attempt *groupAttempt) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), memberTimeout)
	defer cancel()
	for _, member := range append(attempt.members, attempt.maybeReserved...) {
		if _, err := member.Release(ctx, &rtwire.ReleaseRequest{Group: string(r.item.ID)}); err != nil {
			a.log.Info("Releasing a reservation at a member failed; it expires with its lease.", "group", r.item.ID, "error", err.Error())
		}
	}
}

// resetPopTime restarts the measurement of the dispatch delay, because
// reserving memory at the members took several calls. It does not if the
// process was paused meanwhile, so that the pause is still detected.
func (a *Agent) resetPopTime(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.pauses.lastResume.After(r.poppedAt) {
		r.poppedAt = time.Now()
	}
}

// postponeGroup frees the slot and the memory of a request at this engine and
// schedules its next attempt.
func (a *Agent) postponeGroup(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.queue.Finish(r.item.ID, now)
	a.memory.Release(r.item.ID)
	r.cancel = nil
	r.reserveAttempts++
	r.retryAt = now.Add(backoff(r.item.ID, r.reserveAttempts))
	a.groupRetries[r.item.ID] = r
	a.wakeDispatcher()
}

// backoff returns the wait before the next attempt. It grows with each attempt
// and differs between requests, so that conflicting leaders do not retry at the
// same time.
func backoff(id rtid.Request, attempt int) time.Duration {
	longest := min(minBackoff<<min(attempt, 10), maxBackoff)
	spread := xxhash.Sum64String(fmt.Sprint(id, attempt)) % uint64(longest)
	return minBackoff + time.Duration(spread)
}

// requeueGroups puts requests whose next attempt is due back into the queue. The
// caller holds a.mu.
func (a *Agent) requeueGroups(now time.Time) {
	for id, r := range a.groupRetries {
		switch {
		case r.settled:
			delete(a.groupRetries, id)
		case !now.Before(r.item.Deadline):
			a.settleNotRun(r, rtwire.Reason_REASON_DEADLINE, "the time limit passed before enough engines had free memory")
			delete(a.groupRetries, id)
		case !now.Before(r.retryAt) && a.queue.Push(r.item):
			delete(a.groupRetries, id)
		}
	}
}
