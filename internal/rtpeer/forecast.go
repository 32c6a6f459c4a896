package rtpeer

import (
	"errors"
	"math"
	"net/netip"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtforecast"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// forecastRounds is how many digests are sent for each one with forecasts. They describe
// the last 20 s, so they need not be newer than the 3 s that this takes in a large cell,
// and 16 of them take half a kilobyte.
const forecastRounds = 4

// ForecastExchange is the part of a gateway whose knowledge of wrong predictions peers
// exchange.
type ForecastExchange interface {
	// Forecasts returns what this process has observed itself.
	Forecasts() []rtforecast.Figure
	// MergeForecasts replaces the figures of a peer by those that it made at a time.
	MergeForecasts(peer rtid.VM, figures []rtforecast.Figure, at time.Time)
}

// localForecasts returns the forecasts for the digest of a round.
func (g *Group) localForecasts(round int) []rtforecast.Figure {
	if g.options.Forecasts == nil || round%forecastRounds != 0 {
		return nil
	}
	figures := g.options.Forecasts.Forecasts()
	return figures[:min(len(figures), rtforecast.MaxFigures)]
}

// mergeForecasts passes on the forecasts in a digest that took longer than usual by
// delay. Malformed ones are dropped. A digest without forecasts says nothing.
func (g *Group) mergeForecasts(message digest, delay time.Duration) {
	if g.options.Forecasts == nil || len(message.Forecasts) == 0 {
		return
	}
	now := time.Now()
	figures, err := validForecasts(message.Forecasts)
	if err != nil {
		sender, _ := netip.ParseAddrPort(string(message.Address))
		g.logOnce(sender.Addr(), "Forecasts of a peer are malformed, dropping those.", err, now)
	}
	if len(figures) > 0 {
		g.options.Forecasts.MergeForecasts(message.VM, figures, now.Add(-max(0, delay)))
	}
}

// validForecasts returns the forecasts that a process may have sent, and the first
// error in the others.
func validForecasts(reported []rtforecast.Figure) ([]rtforecast.Figure, error) {
	var first error
	if len(reported) > rtforecast.MaxFigures {
		first = errors.New("too many forecasts")
		reported = reported[:rtforecast.MaxFigures]
	}
	var valid []rtforecast.Figure
	for _, f := range reported {
		if err := f.Check(); err != nil {
			if first == nil {
				first = err
			}
			continue
		}
		valid = append(valid, f)
	}
	return valid, first
}

func wireForecasts(figures []rtforecast.Figure) []*rtwire.ForecastBand {
	var w []*rtwire.ForecastBand
	for _, f := range figures {
		w = append(w, &rtwire.ForecastBand{
			Service: string(f.Service), Size: uint32(f.Size), Parts: uint32(f.Parts), Samples: uint32(f.Samples), Ratio: f.Ratio,
		})
	}
	return w
}

// forecastsFrom returns the forecasts in a digest. Numbers that do not fit the type int
// of some platforms become negative, which is malformed.
func forecastsFrom(w []*rtwire.ForecastBand) []rtforecast.Figure {
	var figures []rtforecast.Figure
	for _, f := range w {
		figures = append(figures, rtforecast.Figure{
			Band:    rtforecast.Band{Service: rtid.Service(f.GetService()), Size: intOf(f.GetSize()), Parts: intOf(f.GetParts())},
			Samples: intOf(f.GetSamples()),
			Ratio:   f.GetRatio(),
		})
	}
	return figures
}

func intOf(n uint32) int {
	if n > math.MaxInt32 {
		return -1
	}
	return int(n)
}
