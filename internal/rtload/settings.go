package rtload

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfleet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
)

// Bounds of a load over TCP, so that a mistyped flag does not overload entries.
const (
	maxRate   = 200.0
	maxLength = 10 * time.Minute
)

// Settings describe a load on entries that are already running.
type Settings struct {
	Entries       []rtid.Address
	Organisations []rtid.Organisation // the largest first; each sends half the traffic of the preceding one
	DraftService  rtid.Service
	OrderService  rtid.Service // empty: no orders
	Mix           string       // kavango or nepgap
	Rate          float64      // drafts per second
	Duration      time.Duration
	Seed          uint64
	BandCount     int // number of bands used, starting with the shortest
}

// Check returns an error that names all invalid settings, or nil.
func (s *Settings) Check() error {
	var errs []error
	add := func(wrong bool, format string, values ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, values...))
		}
	}
	add(len(s.Entries) == 0, "-entries: no address")
	add(len(s.Organisations) == 0, "-organisations: no name")
	add(s.DraftService == "", "-drafts: no service")
	add(s.Mix != "kavango" && s.Mix != "nepgap", "-mix %q: want kavango or nepgap", s.Mix)
	add(!(s.Rate > 0 && s.Rate <= maxRate), "-rate %v: want over 0 and at most %v", s.Rate, maxRate)
	add(s.Duration <= 0 || s.Duration > maxLength, "-length %v: want over 0 and at most %v", s.Duration, maxLength)
	add(s.BandCount < 1 || s.BandCount > len(Bands), "-bands %d: want from 1 to %d", s.BandCount, len(Bands))
	return errors.Join(errs...)
}

// Run sends a load over TCP and writes a table of the results to w.
func Run(ctx context.Context, s Settings, w io.Writer) error {
	driver := &Driver{DraftService: s.DraftService, OrderService: s.OrderService}
	for _, entry := range s.Entries {
		driver.Callers = append(driver.Callers, newCaller(entry))
	}
	mix := s.mix()
	err := driver.Run(ctx, Schedule(s.Seed, &mix, Phase{s.Duration, s.Rate}))
	for _, caller := range driver.Callers {
		caller.Client.CloseIdleConnections()
	}
	return errors.Join(err, driver.Recorder.Write(w))
}

// newCaller returns a caller of an entry over TCP.
func newCaller(entry rtid.Address) rtfleet.Caller {
	return rtfleet.Caller{Client: rtnet.Client(&rtnet.TCP{}), Address: entry}
}

// mix returns the mix with the organisations and bands of the settings.
func (s *Settings) mix() Mix {
	mix := KavangoMix
	if s.Mix == "nepgap" {
		mix = NepGapMix
	}
	if s.OrderService == "" {
		mix.OrdersPerDraft = 0
	}
	// The shortest band gets the shares of the bands that are left out.
	mix.BandShares = slices.Clone(mix.BandShares[:s.BandCount])
	remaining := 1.0
	for _, share := range mix.BandShares[1:] {
		remaining -= share
	}
	mix.BandShares[0] = remaining
	mix.Organisations = nil
	fraction := 1.0
	for _, name := range s.Organisations {
		fraction /= 2
		mix.Organisations = append(mix.Organisations, Share{name, fraction})
	}
	return mix
}
