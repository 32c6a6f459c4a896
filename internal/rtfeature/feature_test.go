package rtfeature

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
)

// Guards against features that take effect without being asked for, and against
// settings that are accepted though they cannot be meant.
func TestRead(t *testing.T) {
	tests := []struct {
		name, text string
		want       Settings
		findings   []string // text of each, in order
	}{
		{"empty", "", Settings{}, nil},
		{"all", "slo = \"4s\"\n[shares]\nenabled = true\n[prediction]\nenabled = true\n[returns]\nenabled = true\n[outliers]\nenabled = true\n[hedging]\nratio = 0.02\n",
			Settings{SLO: Duration(4 * time.Second), Shares: Switch{true}, Prediction: Switch{true}, Returns: Switch{true}, Outliers: Switch{true}, Hedging: Hedging{0.02}}, nil},
		{"unknown key", "[shares]\nweight = 1\n", Settings{}, []string{"shares.weight: is not a setting"}},
		{"two findings", "slo = \"-1s\"\n[hedging]\nratio = 0.5\n", Settings{}, []string{"slo: is -1s", "hedging.ratio: is 0.5"}},
		{"no number", "[hedging]\nratio = nan\n", Settings{}, []string{"hedging.ratio: is NaN"}},
		{"no duration", "slo = \"long\"\n", Settings{}, []string{"not valid"}},
		{"cut short", "slo = ", Settings{}, []string{"not valid"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "features.toml")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			got, findings := Read(path)
			all := findings.All()
			if len(all) != len(test.findings) {
				t.Fatalf("got findings %v, want %d", all, len(test.findings))
			}
			for i, want := range test.findings {
				if !strings.Contains(all[i].String(), want) {
					t.Errorf("got finding %q, want %q in it", all[i], want)
				}
			}
			if len(all) == 0 && got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
	if _, findings := Read(filepath.Join(t.TempDir(), "missing")); findings.Err() == nil {
		t.Error("missing file: got no finding")
	}
	if got, findings := Read(""); findings.Err() != nil || got != (Settings{}) {
		t.Errorf("no file: got %+v, error %v; want all off", got, findings.Err())
	}
}

// Guards against features in deployments whose callers cannot wait.
func TestFor(t *testing.T) {
	on := Settings{SLO: Duration(4 * time.Second), Shares: Switch{true}}
	tests := []struct {
		name string
		slos []time.Duration
		want Settings
	}{
		{"no route", nil, Settings{}},
		{"impatient", []time.Duration{300 * time.Millisecond, 3 * time.Second}, Settings{}},
		{"patient", []time.Duration{300 * time.Millisecond, 4 * time.Second}, on},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			configuration := &rtcatalog.Configuration{}
			for _, slo := range test.slos {
				configuration.Routes = append(configuration.Routes, rtcatalog.Route{LatencySLO: slo})
			}
			if got := on.For(configuration); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
	if got := on.For(nil); got != (Settings{}) {
		t.Errorf("no configuration: got %+v, want all off", got)
	}
}
