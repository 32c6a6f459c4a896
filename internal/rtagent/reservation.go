package rtagent

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// maxLease limits how long memory stays reserved after its leader has died.
const maxLease = 10 * time.Second

// Reserve reserves KV memory at the engine for a prompt that another agent
// leads. With 0 tokens it renews the lease of an existing reservation.
func (s targetServer) Reserve(ctx context.Context, message *rtwire.ReserveRequest) (*rtwire.ReserveReply, error) {
	a := s.agent
	group := rtid.Request(message.Group)
	lease := message.Lease.AsDuration()
	if _, err := rtid.ParseRequest(group); err != nil || lease <= 0 || tokensOutOfRange(message.Tokens) || a.engine == nil {
		return &rtwire.ReserveReply{Reason: rtwire.Reason_REASON_MALFORMED}, nil
	}
	lease = min(lease, maxLease)
	if message.Tokens == 0 {
		return a.renewReservation(group, lease), nil
	}
	return a.takeReservation(ctx, group, rtid.Tokens(message.Tokens), lease), nil
}

func (a *Agent) renewReservation(group rtid.Request, lease time.Duration) *rtwire.ReserveReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.memory.RenewGroup(group, lease, time.Now()) {
		return a.refuseReservation(rtwire.Reason_REASON_EXPIRED)
	}
	return &rtwire.ReserveReply{Granted: true, Free: int64(a.memory.Free())}
}

// takeReservation reserves memory in the account, then at the engine.
func (a *Agent) takeReservation(ctx context.Context, group rtid.Request, tokens rtid.Tokens, lease time.Duration) *rtwire.ReserveReply {
	if refused := a.reserveInAccount(group, tokens, lease); refused != nil {
		return refused
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	err := a.engine.Hold(ctx, rttarget.HoldRequest{ID: group, Tokens: tokens, Fence: a.node.Incarnation()})
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil && a.memory.IsReserved(group) {
		return &rtwire.ReserveReply{Granted: true, Free: int64(a.memory.Free())}
	}
	// The engine call failed, or the reservation was released or expired
	// meanwhile.
	a.freeReservation(group)
	return a.refuseReservation(rtwire.Reason_REASON_TARGET)
}

// reserveInAccount reserves memory in the account. It returns a refusal, or nil.
func (a *Agent) reserveInAccount(group rtid.Request, tokens rtid.Tokens, lease time.Duration) *rtwire.ReserveReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.draining:
		return a.refuseReservation(rtwire.Reason_REASON_LEAVING)
	case !a.serving() || a.checkPending:
		return a.refuseReservation(rtwire.Reason_REASON_NOT_READY)
	case !a.memory.ReserveGroup(group, tokens, lease, time.Now()):
		return a.refuseReservation(rtwire.Reason_REASON_MEMORY)
	}
	a.groupReservations[group] = true
	return nil
}

// refuseReservation returns a refusal with the memory that is free and could be
// reserved instead. The caller holds a.mu.
func (a *Agent) refuseReservation(reason rtwire.Reason) *rtwire.ReserveReply {
	return &rtwire.ReserveReply{Reason: reason, Free: int64(a.memory.Free())}
}

// Release frees a reservation.
func (s targetServer) Release(_ context.Context, message *rtwire.ReleaseRequest) (*rtwire.ReleaseReply, error) {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if group := rtid.Request(message.Group); a.groupReservations[group] {
		a.freeReservation(group)
	}
	return &rtwire.ReleaseReply{}, nil
}

// freeReservation frees a reservation in the account and at the engine. If the
// engine call fails, reconciliation finds the hold without an owner and frees
// it. The caller holds a.mu.
func (a *Agent) freeReservation(group rtid.Request) {
	a.memory.Release(group)
	delete(a.groupReservations, group)
	a.wakeDispatcher()
	a.tasks = append(a.tasks, rttask.Start(context.Background(), "unhold", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		return a.engine.Unhold(ctx, group)
	}))
}

// expireReservations frees reservations whose lease was not renewed. The caller
// holds a.mu.
func (a *Agent) expireReservations(now time.Time) {
	for _, group := range a.memory.Expire(now) {
		a.log.Info("Lease of a group reservation expired; freeing its memory.", "group", group)
		a.freeReservation(group)
	}
}
