package rtgateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtexchange"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

const (
	// reservationTTL is how long an engine keeps memory reserved without a
	// renewal. It is shorter than the bound on reserved memory that is not used
	// (4 s), so that the memory is released in time if this process dies.
	reservationTTL = 3900 * time.Millisecond
	// renewInterval allows for two lost renewals within reservationTTL.
	renewInterval = 1200 * time.Millisecond
	// commandTimeout limits one command to an engine.
	commandTimeout = 500 * time.Millisecond
	// maxCommandDelay is how long a command without a reply may still be
	// executed. Until then memory is released again every releaseRetryInterval:
	// unused reserved memory counts after 2 s, and two releases may be lost.
	maxCommandDelay      = 13 * time.Second
	releaseRetryInterval = 600 * time.Millisecond
	maxCommandReply      = 64 << 10
	// maxMemoryRefusals is how many engines may refuse memory before the request is
	// refused. Each takes a round trip.
	maxMemoryRefusals = 4
)

var (
	// errNoMemory says that an engine has too little free memory.
	errNoMemory = errors.New("not enough free memory at the engine")
	// errTooLittleMemory says that the engines together have too little.
	errTooLittleMemory = errors.New("not enough free memory at engines")
)

// reservation is memory reserved at one engine for one request. It belongs to
// one attempt and is released after it.
type reservation struct {
	gateway *Gateway
	memory  rtplacement.Reservation
	ticket  string
	// unanswered says that a command got no reply and may still be executed.
	unanswered bool
}

// reserve reserves memory at other engines for a prompt that is larger than
// the memory of its target. It returns no reservations for other prompts. When an
// engine has less free memory than its known load says, it asks others.
func (d *delivery) reserve(ctx context.Context, placement rtplacement.Placement, inFlight *rtplacement.InFlightRequest) ([]*reservation, error) {
	if d.request.service.Engine == nil {
		return nil, nil
	}
	for refusals := 0; ; refusals++ {
		planned, err := d.gateway.planReservations(d.request, placement, d.withoutMemory, inFlight)
		if err != nil {
			return nil, err
		}
		reserved, err := d.reserveAt(ctx, planned, fmt.Sprintf("%s-%d-%d", d.request.info.ID, len(d.tried), refusals))
		if err == nil || !errors.Is(err, errNoMemory) || refusals == maxMemoryRefusals {
			return reserved, err
		}
	}
}

// reserveAt makes the planned reservations, all or none. Their tickets begin with a
// name that no others have.
func (d *delivery) reserveAt(ctx context.Context, planned []rtplacement.Reservation, name string) ([]*reservation, error) {
	reserved := make([]*reservation, 0, len(planned))
	for i, memory := range planned {
		r := &reservation{gateway: d.gateway, memory: memory, ticket: fmt.Sprint(name, "-", i)}
		reserved = append(reserved, r)
		if err := r.command(ctx, true); err != nil {
			d.gateway.log.Info("Memory not set aside.", "request", d.request.info.ID, "target", memory.Target.ID,
				"tokens", memory.Tokens, "error", err.Error())
			d.withoutMemory = append(d.withoutMemory, memory.Target.ID)
			d.release(reserved)
			return nil, err
		}
	}
	return reserved, nil
}

// planReservations returns the memory that a request needs at other engines,
// without the excluded ones, and records it as a load there. It returns an error if
// they have too little.
func (g *Gateway) planReservations(q *request, placement rtplacement.Placement, excluded []rtid.Target,
	inFlight *rtplacement.InFlightRequest) ([]rtplacement.Reservation, error) {
	view := g.views.View()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates, coolingDown, _ := g.usable(view, g.cellInstances(view, q.service), q.service, excluded, false, now)
	if len(candidates) == 0 {
		candidates = coolingDown
	}
	// Commands may count against a rate limit.
	candidates = slices.DeleteFunc(candidates, func(c rtplacement.Candidate) bool { return c.Limited })
	// The engine that holds memory prefills a part.
	taking := slices.DeleteFunc(slices.Clone(candidates), func(c rtplacement.Candidate) bool { return c.Refuses })
	planned, ok := rtplacement.PlanReservations(q.service.Engine, q.work, placement, taking)
	if !ok {
		planned, ok = rtplacement.PlanReservations(q.service.Engine, q.work, placement, candidates)
	}
	if !ok {
		return nil, errTooLittleMemory
	}
	g.loads.Reserve(inFlight, planned)
	return planned, nil
}

// renew starts a task that renews reservations until it is stopped.
func (d *delivery) renew(reserved []*reservation) *rttask.Task {
	if len(reserved) == 0 {
		return nil
	}
	return rttask.Start(context.Background(), "renew memory", func(ctx context.Context) error {
		ticker := time.NewTicker(renewInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			for _, r := range reserved {
				if err := r.command(ctx, true); err != nil && ctx.Err() == nil {
					d.gateway.log.Info("Memory not renewed.", "request", d.request.info.ID, "target", r.memory.Target.ID, "error", err.Error())
				}
			}
		}
	})
}

// release releases memory in the background, without delaying the request. If
// all commands are lost, the reservation expires.
func (d *delivery) release(reserved []*reservation) {
	for _, r := range reserved {
		d.gateway.background.start(func(ctx context.Context) { r.release(ctx) })
	}
}

// release sends the release command. It repeats it while an earlier command
// may still be executed after it.
func (r *reservation) release(ctx context.Context) {
	until := time.Now().Add(maxCommandDelay)
	for {
		if err := r.command(ctx, false); err != nil {
			r.gateway.log.Info("Memory not released.", "ticket", r.ticket, "target", r.memory.Target.ID, "error", err.Error())
		}
		if !r.unanswered || time.Now().After(until) {
			return
		}
		timer := time.NewTimer(releaseRetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// command sends one command that reserves, renews or releases the memory.
func (r *reservation) command(ctx context.Context, reserve bool) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	message := r.gateway.dialect.Release(r.memory.Target.ID, r.ticket)
	if reserve {
		message = r.gateway.dialect.Reserve(r.memory.Target.ID, r.ticket, r.memory.Tokens, reservationTTL)
	}
	message.Host = string(r.memory.Target.Address)
	sent := time.Now()
	response, err := rtexchange.Send(ctx, r.gateway.network, r.memory.Target.Address, message)
	if err != nil {
		r.unanswered = r.unanswered || !errors.Is(err, rtexchange.ErrNotSent)
		return err
	}
	defer response.Close()
	info := r.gateway.dialect.ParseResponse(response.Status, response.Header)
	r.gateway.recordRateLimit(r.memory.Target, info, false, sent)
	r.gateway.recordNotices(r.memory.Target, response.Status, info)
	if info.Request != "" {
		r.unanswered = true
		return errors.New("reply to a memory command has the id of a request")
	}
	if _, err := response.ReadAll(maxCommandReply, nil); err != nil {
		r.unanswered = true
		return err
	}
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errNoMemory
	default:
		return fmt.Errorf("memory command: got status %d, want 200 or 409", response.Status)
	}
}

// helpersOf returns the helpers of an attempt: first those with reserved
// memory for a part of the prompt, then those that only prefill.
func helpersOf(placement rtplacement.Placement, reserved []*reservation) []Helper {
	const maxHelpers = 16 // allowed by the platform for one request
	var helpers []Helper
	withMemory := make(map[rtid.Target]bool)
	for _, r := range reserved {
		withMemory[r.memory.Target.ID] = true
		helpers = append(helpers, Helper{Address: r.memory.Target.Address, Ticket: r.ticket})
	}
	for _, helper := range placement.Helpers {
		if !withMemory[helper.ID] && len(helpers) < maxHelpers {
			helpers = append(helpers, Helper{Address: helper.Address})
		}
	}
	return helpers
}
