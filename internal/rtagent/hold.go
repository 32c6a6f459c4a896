package rtagent

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// maxLease bounds how long a leader that died keeps memory here.
const maxLease = 10 * time.Second

// Reserve holds KV memory at the engine for a prompt that another agent
// leads. With no tokens it only renews the lease of memory that is held.
func (c calls) Reserve(ctx context.Context, message *rtwire.ReserveRequest) (*rtwire.ReserveReply, error) {
	a := c.agent
	group := rtid.Request(message.Group)
	lease := message.Lease.AsDuration()
	if _, err := rtid.ParseRequest(group); err != nil || lease <= 0 || outside(message.Tokens) || a.engine == nil {
		return &rtwire.ReserveReply{Reason: rtwire.Reason_REASON_MALFORMED}, nil
	}
	lease = min(lease, maxLease)
	if message.Tokens == 0 {
		return a.renewHold(group, lease), nil
	}
	return a.takeHold(ctx, group, rtid.Tokens(message.Tokens), lease), nil
}

func (a *Agent) renewHold(group rtid.Request, lease time.Duration) *rtwire.ReserveReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.memory.RenewGroup(group, lease, time.Now()) {
		return a.refuseHold(rtwire.Reason_REASON_EXPIRED)
	}
	return &rtwire.ReserveReply{Granted: true, Free: int64(a.memory.Free())}
}

// takeHold reserves memory in the account, then at the engine.
func (a *Agent) takeHold(ctx context.Context, group rtid.Request, tokens rtid.Tokens, lease time.Duration) *rtwire.ReserveReply {
	if refused := a.accountHold(group, tokens, lease); refused != nil {
		return refused
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := a.engine.Hold(ctx, rttarget.HoldRequest{ID: group, Tokens: tokens, Fence: a.node.Incarnation()})
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil && a.memory.IsReserved(group) {
		return &rtwire.ReserveReply{Granted: true, Free: int64(a.memory.Free())}
	}
	// The hold failed, or it was released or expired meanwhile.
	a.dropHold(group)
	return a.refuseHold(rtwire.Reason_REASON_TARGET)
}

// accountHold reserves memory in the account and returns nil, or a refusal.
func (a *Agent) accountHold(group rtid.Request, tokens rtid.Tokens, lease time.Duration) *rtwire.ReserveReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.leaving:
		return a.refuseHold(rtwire.Reason_REASON_LEAVING)
	case !a.serving() || a.suspect:
		return a.refuseHold(rtwire.Reason_REASON_NOT_READY)
	case !a.memory.ReserveGroup(group, tokens, lease, time.Now()):
		return a.refuseHold(rtwire.Reason_REASON_MEMORY)
	}
	a.held[group] = true
	return nil
}

// refuseHold says how much could be reserved instead. The caller holds a.mu.
func (a *Agent) refuseHold(reason rtwire.Reason) *rtwire.ReserveReply {
	return &rtwire.ReserveReply{Reason: reason, Free: int64(a.memory.Free())}
}

// Release frees a reservation.
func (c calls) Release(_ context.Context, message *rtwire.ReleaseRequest) (*rtwire.ReleaseReply, error) {
	a := c.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if group := rtid.Request(message.Group); a.held[group] {
		a.dropHold(group)
	}
	return &rtwire.ReleaseReply{}, nil
}

// dropHold frees a reservation in the account and at the engine. A hold that
// cannot be freed is unknown to the next reconciliations, which repeat it.
// The caller holds a.mu.
func (a *Agent) dropHold(group rtid.Request) {
	a.memory.Release(group)
	delete(a.held, group)
	a.signal()
	a.tasks = append(a.tasks, rttask.Start(context.Background(), "unhold", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		return a.engine.Unhold(ctx, group)
	}))
}

// expireHolds frees reservations whose leader has stopped renewing. The
// caller holds a.mu.
func (a *Agent) expireHolds(now time.Time) {
	for _, group := range a.memory.Expire(now) {
		a.log.Info("Lease of a group ended.", "group", group)
		a.dropHold(group)
	}
}
