package rtmodel

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtforecast"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// ratios are actual over forecast times to the first event, by size band.
type ratios map[int][]float64

// median returns the median of the ratios of some size bands.
func (r ratios) median(sizes ...int) float64 {
	var all []float64
	for _, size := range sizes {
		all = append(all, r[size]...)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// forecastCell is the gateways of a run, which exchange figures.
type forecastCell struct {
	learns    bool // whether the gateways correct their predictions
	policies  []*forecastPolicy
	predicted ratios
	corrected ratios
}

// forecastPolicy is the policy of a gateway that may correct its predictions.
type forecastPolicy struct {
	GatewayPolicy
	cell      *forecastCell
	name      rtid.VM
	estimator rtforecast.Estimator
	exchanged time.Time
}

// forecastExchange is the time between two digests with figures in a large cell.
const forecastExchange = 3 * time.Second

func (c *forecastCell) newPolicy() Policy {
	p := &forecastPolicy{cell: c, name: rtid.VM(fmt.Sprint("gateway-", len(c.policies)))}
	if c.learns {
		p.scheduler.Forecaster = rtforecast.Forecaster{Estimator: &p.estimator, Service: "model"}
	}
	c.policies = append(c.policies, p)
	return p
}

// Observe learns from a first event, and gives the figures to the other gateways now and
// then.
func (p *forecastPolicy) Observe(work rtplacement.Work, placement rtplacement.Placement, firstEvent time.Duration, now time.Time) {
	band := rtforecast.BandOf("model", work.Prompt, 1+len(placement.Helpers))
	p.cell.predicted[band.Size] = append(p.cell.predicted[band.Size], float64(firstEvent)/float64(placement.PredictedFirstEvent))
	if !p.cell.learns {
		return
	}
	p.cell.corrected[band.Size] = append(p.cell.corrected[band.Size], float64(firstEvent)/float64(placement.Corrected))
	p.estimator.Observe(band, placement.PredictedFirstEvent, firstEvent, now)
	if now.Sub(p.exchanged) < forecastExchange {
		return
	}
	p.exchanged = now
	figures := p.estimator.Figures(now)
	for _, other := range p.cell.policies {
		if other != p {
			other.estimator.Merge(p.name, figures, now, now)
		}
	}
}

// Guards against predictions that are further off than what admission leaves of the
// latency SLO for prompts up to 24,000 tokens, against corrections that make those of
// longer prompts worse, and against ones that cost callers more than the noise of the
// model: with swings between long and short prompts, and at the planned load.
func TestForecast(t *testing.T) {
	const (
		sloShare = 0.85 // part of the latency SLO that a prediction may use
		noise    = 0.02 // of the mean worth of three seeds
	)
	loads := []struct {
		name   string
		fleet  Fleet
		factor func(string, time.Duration) float64
	}{
		{"planned load", fleetOf(21, 4), plannedLoad},
		{"long prompts beside bursts of short ones", fleetOf(21, 20), alternatingLoad},
	}
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			workload := Workload{Kinds: plannedKinds(), Duration: 40 * time.Second, RateFactor: load.factor}
			play := func(learns bool) (*forecastCell, float64) {
				all := &forecastCell{predicted: make(ratios), corrected: make(ratios)}
				worth := 0.0
				for _, seed := range seeds {
					cell := &forecastCell{learns: learns, predicted: all.predicted, corrected: all.corrected}
					worth += Run(load.fleet, workload, cell.newPolicy, seed).Worth() / float64(len(seeds))
				}
				return all, worth
			}
			plain, plainWorth := play(false)
			learned, worth := play(true)
			t.Logf("worth %.3f, without forecasts %.3f", worth, plainWorth)
			short, before := learned.corrected.median(0, 1), plain.predicted.median(0, 1)
			t.Logf("up to 24,000 tokens: median of actual over corrected %.2f, predicted by passes %.2f, without forecasts %.2f", short, learned.predicted.median(0, 1), before)
			if short < sloShare || short > 1/sloShare {
				t.Errorf("up to 24,000 tokens: median of actual over corrected time %.2f, want %.2f to %.2f", short, sloShare, 1/sloShare)
			}
			long, longBefore := learned.corrected.median(2, 3, 4), plain.predicted.median(2, 3, 4)
			t.Logf("longer: median of actual over corrected %.2f, predicted by passes %.2f, without forecasts %.2f", long, learned.predicted.median(2, 3, 4), longBefore)
			if math.Abs(math.Log(long)) > math.Abs(math.Log(longBefore)) {
				t.Errorf("longer: median of actual over corrected time %.2f, further off than %.2f without corrections", long, longBefore)
			}
			if worth < plainWorth-noise {
				t.Errorf("worth %.3f, without forecasts %.3f", worth, plainWorth)
			}
		})
	}
}
