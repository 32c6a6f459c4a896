package rtpeer

import (
	"math"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"google.golang.org/protobuf/proto"

	"github.com/rhubarbtally/rhubarbtally/internal/rtforecast"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// forecastRegister is the part of a gateway that exchanges forecasts.
type forecastRegister struct {
	own   []rtforecast.Figure
	heard map[rtid.VM][]rtforecast.Figure
	at    time.Time // of the last figures that were heard
}

func (r *forecastRegister) Forecasts() []rtforecast.Figure { return r.own }

func (r *forecastRegister) MergeForecasts(peer rtid.VM, figures []rtforecast.Figure, at time.Time) {
	if r.heard == nil {
		r.heard = make(map[rtid.VM][]rtforecast.Figure)
	}
	r.heard[peer], r.at = figures, at
}

func figures(n int) []rtforecast.Figure {
	var all []rtforecast.Figure
	for i := range n {
		all = append(all, rtforecast.Figure{Band: rtforecast.Band{Service: "m", Size: i % 5, Parts: i % 4}, Samples: 1 + i, Ratio: 0.5})
	}
	return all
}

// Guards against forecasts that do not reach the peers of the cell, that other cells
// get, that take up each digest, or that processes of an earlier version cannot read.
func TestForecastsReachPeers(t *testing.T) {
	g, _ := newTestGroup()
	g.options.Forecasts = &forecastRegister{own: figures(3)}
	message := digestFrom(1, 1, 0)
	rounds := 0
	for round := range 2 * forecastRounds {
		message.Forecasts = g.localForecasts(round)
		if len(message.Forecasts) > 0 {
			rounds++
		}
	}
	if rounds != 2 {
		t.Errorf("%d of %d digests have forecasts, want 2", rounds, 2*forecastRounds)
	}
	message.Forecasts = g.localForecasts(0)
	for codec, want := range []int{jsonCodec: 0, binaryCodec: 3} {
		data, err := encodeDigest(message, codec)
		if err != nil {
			t.Fatal(err)
		}
		received, err := decodeDigest(data)
		if err != nil {
			t.Fatal(err)
		}
		register := &forecastRegister{}
		other, _ := newTestGroup()
		other.options.Forecasts = register
		other.applyDigest(received)
		if got := register.heard["vm1"]; len(got) != want || want > 0 && !slices.Equal(got, figures(3)) {
			t.Errorf("encoding %d: heard %v, want the %d that were sent", codec, got, want)
		}
	}
	if left := message.forOtherCells().Forecasts; left != nil {
		t.Errorf("other cells get %v", left)
	}
}

// Guards against figures that replace newer ones because their digest was late.
func TestForecastsOfLateDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newTestGroup()
		register := &forecastRegister{}
		g.options.Forecasts = register
		message := digestFrom(1, 1, 0)
		message.Forecasts = figures(1)
		g.applyDigest(message)
		time.Sleep(5 * time.Second)
		message.Sent = 2000 // sent 2 s after the first one, received 5 s after it
		g.applyDigest(message)
		// Delays are measured with an allowance for clocks that drift.
		if got := time.Since(register.at); got < 2900*time.Millisecond || got > 3*time.Second {
			t.Errorf("the figures of a digest that is 3 s late have an age of %v, want 2.9 s to 3 s", got)
		}
	})
}

// Guards against figures of a peer that no process sends: they must be dropped, with one
// log line a minute, without the loss of sound ones or of the rest of the digest.
func TestMalformedForecasts(t *testing.T) {
	sound := &rtwire.ForecastBand{Service: "m", Size: 1, Parts: 1, Samples: 2, Ratio: 0.5}
	tests := []struct {
		name string
		bad  *rtwire.ForecastBand
	}{
		{"empty", &rtwire.ForecastBand{}},
		{"no service", &rtwire.ForecastBand{Samples: 1}},
		{"long service", &rtwire.ForecastBand{Service: strings.Repeat("m", 1000), Samples: 1}},
		{"size", &rtwire.ForecastBand{Service: "m", Size: 5, Samples: 1}},
		{"greatest size", &rtwire.ForecastBand{Service: "m", Size: math.MaxUint32, Samples: 1}},
		{"parts", &rtwire.ForecastBand{Service: "m", Parts: 4, Samples: 1}},
		{"no samples", &rtwire.ForecastBand{Service: "m"}},
		{"many samples", &rtwire.ForecastBand{Service: "m", Samples: math.MaxUint32}},
		{"ratio too large", &rtwire.ForecastBand{Service: "m", Samples: 1, Ratio: 2}},
		{"ratio too small", &rtwire.ForecastBand{Service: "m", Samples: 1, Ratio: -1}},
		{"infinite", &rtwire.ForecastBand{Service: "m", Samples: 1, Ratio: math.Inf(1)}},
		{"no number", &rtwire.ForecastBand{Service: "m", Samples: 1, Ratio: math.NaN()}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g, loads := newTestGroup()
			register := &forecastRegister{}
			g.options.Forecasts = register
			lines := 0
			g.log = funcr.New(func(_, line string) {
				if strings.Contains(line, "malformed") {
					lines++
				}
			}, funcr.Options{})
			for range 3 {
				g.applyDigest(received(t, test.bad, sound))
			}
			if got := register.heard["vm1"]; len(got) != 1 || got[0].Check() != nil || lines != 1 {
				t.Errorf("heard %v with %d lines, want the sound one with one line", got, lines)
			}
			if _, ok := loads.peerLoads["vm1"]; !ok {
				t.Error("the loads in the digest were dropped")
			}
		})
	}
}

// Guards against a peer that sends more figures than a process has, and against one that
// fills the digests of others.
func TestForecastsAreBounded(t *testing.T) {
	g, _ := newTestGroup()
	register := &forecastRegister{own: figures(10 * rtforecast.MaxFigures)}
	g.options.Forecasts = register
	if got := len(g.localForecasts(0)); got != rtforecast.MaxFigures {
		t.Errorf("%d figures are sent, want %d", got, rtforecast.MaxFigures)
	}
	var many []*rtwire.ForecastBand
	for range 500 {
		many = append(many, &rtwire.ForecastBand{Service: "m", Samples: 1})
	}
	g.applyDigest(received(t, many...))
	if got := len(register.heard["vm1"]); got != rtforecast.MaxFigures {
		t.Errorf("%d figures are taken from a digest, want at most %d", got, rtforecast.MaxFigures)
	}
}

// received returns a digest with forecasts as it is received.
func received(t *testing.T, forecasts ...*rtwire.ForecastBand) digest {
	t.Helper()
	wire, err := digestFrom(1, 1, 0).wire()
	if err != nil {
		t.Fatal(err)
	}
	wire.Forecasts = forecasts
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{binaryMark}, wire)
	if err != nil {
		t.Fatal(err)
	}
	message, err := decodeDigest(data)
	if err != nil {
		t.Fatal(err)
	}
	return message
}
