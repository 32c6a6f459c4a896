package rtgateway

import (
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtforecast"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// forecastBuckets are ratios of actual over predicted time, from 0.1 to 18 in steps of a
// factor of 1.25.
var forecastBuckets = tally.MustMakeExponentialValueBuckets(0.1, 1.25, 24)

// forecastingScheduler returns the scheduler of a service, which corrects predictions
// where the features in a view say so. The caller holds mu.
func (g *Gateway) forecastingScheduler(view *rtcatalog.View, service rtid.Service) *rtplacement.Scheduler {
	scheduler := g.schedulerOf(service)
	scheduler.Forecaster = nil
	if g.features(view).Prediction.Enabled {
		scheduler.Forecaster = rtforecast.Forecaster{Estimator: &g.forecasts, Service: service}
	}
	return scheduler
}

// observeFirstEvent learns from the time between the send of the current attempt and its
// first event. Attempts that say nothing about others are left out: continuations, those
// that waited for memory, and those that cold engines served.
func (d *delivery) observeFirstEvent(actual time.Duration) {
	s, g := d.scheduled, d.gateway
	if s.Corrected <= 0 || s.PredictedFirstEvent <= 0 || d.lastEventID != "" || d.memoryAwaited || coldPlacement(s.Placement) {
		return
	}
	band := rtforecast.BandOf(d.request.service.Name, d.request.work.Prompt, 1+len(s.Helpers))
	g.mu.Lock()
	g.forecasts.Observe(band, s.PredictedFirstEvent, actual, time.Now())
	g.mu.Unlock()
	g.recordForecast("predicted", actual, s.PredictedFirstEvent)
	g.recordForecast("corrected", actual, s.Corrected)
}

// forecastDetail returns the predicted first event, and the corrected one if there is one.
func (s scheduled) forecastDetail() string {
	if s.Corrected <= 0 {
		return s.PredictedFirstEvent.String()
	}
	return fmt.Sprintf("%v, corrected to %v", s.PredictedFirstEvent, s.Corrected)
}

// coldPlacement reports whether an engine of a placement said at last that it is cold.
func coldPlacement(p rtplacement.Placement) bool {
	if p.Target.ColdRemaining > 0 {
		return true
	}
	for _, helper := range p.Helpers {
		if helper.ColdRemaining > 0 {
			return true
		}
	}
	return false
}

func (g *Gateway) recordForecast(kind string, actual, forecast time.Duration) {
	g.metrics.Scope.Tagged(map[string]string{"forecast": kind}).Histogram("first_event_ratio", forecastBuckets).
		RecordValue(float64(actual) / float64(forecast))
}

// Forecasts returns how far predictions of this process were off, for its peers.
func (g *Gateway) Forecasts() []rtforecast.Figure {
	if !g.features(g.views.View()).Prediction.Enabled {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.forecasts.Figures(time.Now())
}

// MergeForecasts replaces the figures of a peer by those that it made at a time.
func (g *Gateway) MergeForecasts(peer rtid.VM, figures []rtforecast.Figure, at time.Time) {
	if !g.features(g.views.View()).Prediction.Enabled {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forecasts.Merge(peer, figures, at, time.Now())
}
