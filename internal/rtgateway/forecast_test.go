package rtgateway

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeature"
	"github.com/rhubarbtally/rhubarbtally/internal/rtforecast"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// usePrediction turns the feature on, for configurations with a route of at least the
// latency SLO.
func usePrediction(b *testbed, slo time.Duration) {
	b.gateway.settings.Features = rtfeature.Settings{SLO: rtfeature.Duration(slo), Prediction: rtfeature.Switch{Enabled: true}}
}

// firstEventAfter returns a script that sends the first event after a time.
func firstEventAfter(delay time.Duration) script {
	return func(c net.Conn, r *run) {
		time.Sleep(delay)
		answerOK(c, r)
	}
}

// lastForecast returns the predicted and the corrected first event of the last attempt.
func lastForecast(b *testbed) (predicted, corrected time.Duration) {
	b.t.Helper()
	lines := b.logged(`"Sent."`)
	if len(lines) == 0 {
		b.t.Fatal("nothing was sent")
	}
	found := regexp.MustCompile(`"predicted"="([^"]*)" "corrected"="([^"]*)"`).FindStringSubmatch(lines[len(lines)-1])
	if found == nil {
		b.t.Fatalf("no forecast in %s", lines[len(lines)-1])
	}
	predicted, err := time.ParseDuration(found[1])
	if err != nil {
		b.t.Fatal(err)
	}
	corrected, err = time.ParseDuration(found[2])
	if err != nil {
		b.t.Fatal(err)
	}
	return predicted, corrected
}

// callSlowEngine makes calls to an engine that needs 450 ms for the first event of 5,000
// tokens.
func callSlowEngine(b *testbed, calls int) {
	b.t.Helper()
	b.targets[0].set(firstEventAfter(400 * time.Millisecond))
	for i := range calls {
		if got := b.call(http.MethodPost, "/stream/x", headers(fmt.Sprint("id-", i), "Size", "5000"), ""); got.body != allEvents() {
			b.t.Errorf("request %d: got status %d, want 200 and the whole stream", i, got.status)
		}
	}
}

// Guards against predictions that stay wrong though each request shows it, and against
// corrections that outlive what they were learned from.
func TestPredictionIsCorrected(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		useEngineService(b)
		usePrediction(b, 3*time.Second)
		callSlowEngine(b, 12)
		if predicted, corrected := lastForecast(b); corrected < 2*predicted || corrected > 450*time.Millisecond {
			t.Errorf("predicted %v, corrected to %v, took 450 ms", predicted, corrected)
		}
		if figures := b.gateway.Forecasts(); len(figures) != 1 || figures[0].Samples != 12 || figures[0].Check() != nil {
			t.Errorf("figures for peers: %v, want one of 12 samples", figures)
		}
		time.Sleep(20 * time.Second)
		callSlowEngine(b, 1)
		if predicted, corrected := lastForecast(b); corrected != predicted {
			t.Errorf("after 20 s: predicted %v, corrected to %v, want no correction", predicted, corrected)
		}
	})
}

// Guards against corrections, and another prediction, where the configuration does not
// call for them: its routes have a latency SLO of 3 s.
func TestPredictionIsOff(t *testing.T) {
	var predictions []time.Duration
	for _, slo := range []time.Duration{0, 4 * time.Second} {
		withTestbed(t, 1, func(b *testbed) {
			useEngineService(b)
			if slo > 0 {
				usePrediction(b, slo)
			}
			b.gateway.MergeForecasts("vm", []rtforecast.Figure{{Band: rtforecast.BandOf("work", 5000, 1), Samples: 30, Ratio: 1}}, time.Now())
			callSlowEngine(b, 12)
			predicted, corrected := lastForecast(b)
			if figures := b.gateway.Forecasts(); corrected != 0 || figures != nil {
				t.Errorf("SLO %v: corrected to %v, figures %v, want none", slo, corrected, figures)
			}
			predictions = append(predictions, predicted)
		})
	}
	if predictions[0] != predictions[1] {
		t.Errorf("predicted %v where it is not called for, %v without the feature", predictions[1], predictions[0])
	}
}

// Guards against corrections by attempts whose first event says nothing about others.
func TestNotLearnedFrom(t *testing.T) {
	tests := []struct {
		name    string
		cold    time.Duration
		script  script
		path    string
		headers []string
		samples int
	}{
		{"usual", 0, answerOK, "/stream/x", []string{"Size", "5000"}, 1},
		{"no stream", 0, answerOK, "/safe/x", []string{"Size", "5000"}, 0},
		{"continuation", 0, answerOK, "/stream/x", []string{"Size", "5000", "After", "2"}, 0},
		{"cold engine", time.Minute, answerOK, "/stream/x", []string{"Size", "5000"}, 0},
		{"memory at others", 0, answerOK, "/stream/x", []string{"Size", "330000"}, 0},
		{"no event", 0, writeText(func(r *run) string { return r.responseHead(200, chunked) }), "/stream/x", []string{"Size", "5000"}, 0},
		{"refused", 0, refuseNotRun, "/stream/x", []string{"Size", "5000"}, 0},
		{"comments", 0, func(c net.Conn, r *run) {
			_, _ = io.WriteString(c, r.responseHead(200, chunked)+chunk(": wait\n\n"))
		}, "/stream/x", []string{"Size", "5000"}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 24, func(b *testbed) {
				useEngineService(b)
				usePrediction(b, 0)
				for _, instance := range b.view.Instances("work") {
					instance.ColdRemaining = test.cold
				}
				for _, target := range b.targets {
					target.set(test.script)
				}
				b.call(http.MethodPost, test.path, headers("id-1", test.headers...), "")
				samples := 0
				for _, f := range b.gateway.Forecasts() {
					samples += f.Samples
				}
				if samples != test.samples || len(b.allRuns()) == 0 {
					t.Errorf("learned from %d attempts, want %d", samples, test.samples)
				}
			})
		})
	}
}

// Guards against a request that is held, or sent, though all that peers have observed
// says that its caller gives up before the first event, and against the refusal of one
// of another kind.
func TestRefusedByForecast(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		useEngineService(b)
		usePrediction(b, 0)
		slow := rtforecast.Figure{Band: rtforecast.BandOf("work", 130_000, 1), Samples: 8, Ratio: math.Log(6)}
		for i := range 40 {
			b.gateway.MergeForecasts(rtid.VM(fmt.Sprint("vm", i)), []rtforecast.Figure{slow}, time.Now())
		}
		got := b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "130000"), "")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || got.took > 10*time.Millisecond || len(b.allRuns()) != 0 {
			t.Errorf("got status %d after %v and %d runs, want 503 at once and none", got.status, got.took, len(b.allRuns()))
		}
		if len(b.logged(", corrected to ")) != 1 {
			t.Error("the refusal does not say what the prediction was corrected to")
		}
		if got := b.call(http.MethodPost, "/stream/x", headers("id-2", "Size", "20000"), ""); got.status != http.StatusOK {
			t.Errorf("a prompt of another band: got status %d, want 200", got.status)
		}
		time.Sleep(20 * time.Second)
		if got := b.call(http.MethodPost, "/stream/x", headers("id-3", "Size", "130000"), ""); got.status != http.StatusOK {
			t.Errorf("20 s later: got status %d, want 200", got.status)
		}
	})
}
