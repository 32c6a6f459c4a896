package rtgateway

import (
	"context"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// silenceShare is the part of a caller's patience after which a silent target
// is given up for another: the rest is left for the other one.
const silenceShare = 0.6

// silence ends a send whose target says nothing, if the request may go on at
// another one.
type silence struct {
	timer *time.Timer // nil where the request may not be repeated
	limit time.Duration
}

// watchSilence starts the watch of one send. A target that answers other
// requests meanwhile is busy, not silent, as long as no event has come.
func (d *delivery) watchSilence(target rtid.Target, cancel context.CancelCauseFunc) *silence {
	route := d.request.route
	if d.course.IsLastAttempt() {
		return &silence{}
	}
	limit := time.Duration(silenceShare * float64(d.request.work.AbandonTimeout))
	if route.Kind == rtcatalog.KindSafe {
		limit = time.Duration(silenceShare * float64(time.Until(d.request.deadline)))
	}
	sent := time.Now()
	watch := &silence{limit: limit}
	watch.timer = time.AfterFunc(limit, func() {
		if route.Kind == rtcatalog.KindStream && d.gateway.heardSince(target, sent.Add(limit/2)) {
			return
		}
		cancel(errSilent)
	})
	return watch
}

// reset starts the limit again.
func (s *silence) reset() {
	if s.timer != nil {
		s.timer.Reset(s.limit)
	}
}

// stop ends the watch.
func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
