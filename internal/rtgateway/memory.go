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
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

const (
	// holdTime is how long memory stays set aside without a renewal. It is
	// shorter than the bound on memory that nobody uses (4 s), so that the death
	// of this process releases it in time.
	holdTime = 3900 * time.Millisecond
	// renewInterval leaves room for two renewals that are lost.
	renewInterval = 1200 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 500 * time.Millisecond
	// lateOrders is how long after an order without an answer it may still be
	// carried out, and releaseInterval how often memory is then released again:
	// memory that nobody uses counts after 2 s, and two releases may be lost.
	lateOrders      = 13 * time.Second
	releaseInterval = 600 * time.Millisecond
	maxOrderReply   = 64 << 10
)

// errNoMemory says that an engine has not set memory aside.
var errNoMemory = errors.New("memory is not free")

// reservation is memory set aside for one request at one engine. It belongs to
// one send and is released after it.
type reservation struct {
	gateway *Gateway
	hold    rtplacement.Reservation
	ticket  string
	// unanswered is whether an order may still be carried out late.
	unanswered bool
}

// reserve sets memory aside for a prompt that is larger than one engine. It
// returns no reservations for other prompts.
func (d *delivery) reserve(ctx context.Context, choice rtplacement.Placement) ([]*reservation, error) {
	engine := d.request.service.Engine
	if engine == nil {
		return nil, nil
	}
	holds, ok := d.gateway.holds(d.request, choice.Target)
	if !ok {
		return nil, errNoMemory
	}
	reserved := make([]*reservation, 0, len(holds))
	for i, hold := range holds {
		r := &reservation{
			gateway: d.gateway,
			hold:    hold,
			ticket:  fmt.Sprintf("%s-%d-%d", d.request.facts.ID, len(d.tried), i),
		}
		reserved = append(reserved, r)
		if err := r.order(ctx, true); err != nil {
			d.gateway.log.Info("Memory not set aside.", "request", d.request.facts.ID, "target", hold.Target.ID,
				"tokens", hold.Tokens, "error", err.Error())
			d.release(reserved)
			return nil, err
		}
	}
	return reserved, nil
}

// holds returns the memory that a request needs at other engines.
func (g *Gateway) holds(q *request, target *rtcatalog.Instance) ([]rtplacement.Reservation, bool) {
	view := g.views.View()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return rtplacement.PlanReservations(q.service.Engine, q.work, target, g.candidates(view, g.ownEngines(view, q.service), q.service, nil, now))
}

// renew keeps reservations until the context ends.
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
				if err := r.order(ctx, true); err != nil && ctx.Err() == nil {
					d.gateway.log.Info("Memory not renewed.", "request", d.request.facts.ID, "target", r.hold.Target.ID, "error", err.Error())
				}
			}
		}
	})
}

// release gives memory back. It does not hold up the request: an order that is
// lost is made up for by the end of the hold.
func (d *delivery) release(reserved []*reservation) {
	for _, r := range reserved {
		d.gateway.background.start(func(ctx context.Context) { r.release(ctx) })
	}
}

// release sends the order, and again while an earlier one may be carried out
// after it.
func (r *reservation) release(ctx context.Context) {
	until := time.Now().Add(lateOrders)
	for {
		if err := r.order(ctx, false); err != nil {
			r.gateway.log.Info("Memory not released.", "ticket", r.ticket, "target", r.hold.Target.ID, "error", err.Error())
		}
		if !r.unanswered || time.Now().After(until) {
			return
		}
		timer := time.NewTimer(releaseInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// order sends one order about the reservation.
func (r *reservation) order(ctx context.Context, reserve bool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	message := r.gateway.dialect.Release(r.hold.Target.ID, r.ticket)
	if reserve {
		message = r.gateway.dialect.Reserve(r.hold.Target.ID, r.ticket, r.hold.Tokens, holdTime)
	}
	message.Host = string(r.hold.Target.Address)
	answer, err := rtexchange.Send(ctx, r.gateway.network, r.hold.Target.Address, message)
	if err != nil {
		r.unanswered = r.unanswered || !errors.Is(err, rtexchange.ErrNotSent)
		return err
	}
	defer answer.Close()
	if _, err := answer.ReadAll(maxOrderReply); err != nil {
		r.unanswered = true
		return err
	}
	switch answer.Status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errNoMemory
	default:
		return fmt.Errorf("order answered with %d", answer.Status)
	}
}

// helpersOf returns the helpers of a send: first those that hold a part of the
// prompt's memory, then those that only read.
func helpersOf(choice rtplacement.Placement, reserved []*reservation) []Helper {
	const most = 16
	var helpers []Helper
	holding := make(map[rtid.Target]bool)
	for _, r := range reserved {
		holding[r.hold.Target.ID] = true
		helpers = append(helpers, Helper{Address: r.hold.Target.Address, Ticket: r.ticket})
	}
	for _, helper := range choice.Helpers {
		if !holding[helper.ID] && len(helpers) < most {
			helpers = append(helpers, Helper{Address: helper.Address})
		}
	}
	return helpers
}
