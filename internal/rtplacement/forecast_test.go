package rtplacement

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// fixedForecaster corrects all predictions by the same ratios.
type fixedForecaster struct{ median, optimistic float64 }

func (f fixedForecaster) Correct(_ rtid.Tokens, _ int, predicted time.Duration, _ time.Time) (median, optimistic time.Duration) {
	return time.Duration(f.median * float64(predicted)), time.Duration(f.optimistic * float64(predicted))
}

// Guards against a prediction that leaves out passes which an engine makes before the
// first event.
func TestPredictedPasses(t *testing.T) {
	pass := func(requests int, context rtid.Tokens) time.Duration {
		return DecodePassTime(publishedCosts, Load{Requests: requests, Context: context})
	}
	short := shortWork
	prefill := PrefillTime(publishedCosts, short.Prompt, 1)
	tests := []struct {
		name string
		load Load
		want time.Duration
	}{
		{"idle", Load{}, prefill + pass(1, short.Prompt)},
		// Half of the pass that runs, one with the prefill, and one with the first event.
		{"decoding", Load{Requests: 4, Interactive: 4, Context: 20000}, pass(4, 20000)/2 + pass(4, 20000) + prefill + pass(5, 20000+short.Prompt)},
		{"backlog", Load{Requests: 1, Context: 5000, PrefillBacklog: 80 * time.Millisecond},
			pass(1, 5000)/2 + pass(1, 5000) + 80*time.Millisecond + prefill + pass(2, 5000+short.Prompt)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			candidates := idleEngines(1)
			candidates[0].Load = test.load
			scheduler := Scheduler{Forecaster: fixedForecaster{2, 1}}
			got, ok := scheduler.Decide(publishedCosts, short, candidates, 1, now)
			if !ok || got.PredictedFirstEvent != test.want || got.Corrected != 2*test.want {
				t.Errorf("got %v, corrected to %v, want %v and twice that", got.PredictedFirstEvent, got.Corrected, test.want)
			}
		})
	}
}

// Guards against requests that are refused although the optimistic end of the spread is
// in time, that are held although nothing can serve them before their caller gives up,
// and that count as in time by a prediction known to be wrong.
func TestAdmitByForecast(t *testing.T) {
	tests := []struct {
		name        string
		work        Work
		placement   Placement
		backlog     time.Duration
		want        Decision
		uncorrected Decision // without a Forecaster
	}{
		{"right", longWork, Placement{PredictedFirstEvent: time.Second, Corrected: time.Second, optimistic: time.Second}, 0, Send, Send},
		{"late by the median", longWork, Placement{PredictedFirstEvent: time.Second, Corrected: 4 * time.Second, optimistic: time.Second}, 100 * time.Millisecond, Wait, Send},
		{"in time by the median", longWork, Placement{PredictedFirstEvent: 3 * time.Second, Corrected: 2 * time.Second, optimistic: time.Second}, 100 * time.Millisecond, Send, Wait},
		{"perhaps before the caller gives up", shortWork, Placement{PredictedFirstEvent: time.Second, Corrected: 3 * time.Second, optimistic: 1900 * time.Millisecond}, 0, Send, Send},
		{"never before the caller gives up", shortWork, Placement{PredictedFirstEvent: time.Second, Corrected: 3 * time.Second, optimistic: 2100 * time.Millisecond}, 0, Refuse, Send},
		{"never, but begun", begun(shortWork), Placement{PredictedFirstEvent: time.Second, Corrected: 3 * time.Second, optimistic: 2100 * time.Millisecond}, 0, Send, Send},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := LongPoolLoad{PrefillBacklog: test.backlog, Engines: 21}
			if got := Admit(test.work, test.placement, pool); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
			plain := Placement{PredictedFirstEvent: test.placement.PredictedFirstEvent}
			if got := Admit(test.work, plain, pool); got != test.uncorrected {
				t.Errorf("without a Forecaster: got %v, want %v", got, test.uncorrected)
			}
		})
	}
}

// Guards against a Forecaster that changes where requests are placed.
func TestForecastKeepsPlacement(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	var plain, forecasting Scheduler
	forecasting.Forecaster = fixedForecaster{3, 2}
	for i := range 2000 {
		candidates := idleEngines(21)
		for j := range candidates {
			candidates[j].TieBreak = random.Uint32()
			candidates[j].Load = Load{
				Requests: random.IntN(16), Interactive: random.IntN(4), Context: rtid.Tokens(random.IntN(200_000)),
				Memory: rtid.Tokens(random.IntN(200_000)), PrefillBacklog: time.Duration(random.IntN(600)) * time.Millisecond,
			}
		}
		work := shortWork
		if i%3 == 0 {
			work = longWork
		}
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		before, _ := plain.Decide(publishedCosts, work, candidates, 4, at)
		after, _ := forecasting.Decide(publishedCosts, work, candidates, 4, at)
		if before.Target != after.Target || !reflect.DeepEqual(before.Helpers, after.Helpers) {
			t.Fatalf("request %d is placed elsewhere", i)
		}
	}
}
