// Package rtfeature reads the optional features of a gateway and decides whether a
// configuration calls for them.
package rtfeature

import (
	"errors"
	"io/fs"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
)

// Settings are the optional features of a gateway. The zero value has all of them
// off.
type Settings struct {
	// SLO is the latency SLO that the most patient route of a configuration must have
	// for the features to hold. Where no caller can wait that long, no order of waiting
	// requests helps any of them.
	SLO        Duration `toml:"slo"`
	Shares     Switch   `toml:"shares"`     // fair shares among organisations
	Prediction Switch   `toml:"prediction"` // predictions corrected by what was observed
	Returns    Switch   `toml:"returns"`    // retry delays by expected room
	Outliers   Switch   `toml:"outliers"`   // targets that fail more often than others are avoided
	Hedging    Hedging  `toml:"hedging"`
}

// Switch turns a feature on.
type Switch struct {
	Enabled bool `toml:"enabled"`
}

// Hedging limits the extra attempts at requests whose first attempt is slow.
type Hedging struct {
	Ratio float64 `toml:"ratio"` // extra attempts for each request of a service, from 0 for none to maxHedgingRatio
}

// maxHedgingRatio is the most work that extra attempts may add: one for each request
// would double the load.
const maxHedgingRatio = 0.2

// Duration is a time span that is written as in "4s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// For returns the features that hold under a configuration: all that are on if it has a
// route with at least the latency SLO that they need, otherwise none.
func (s Settings) For(configuration *rtcatalog.Configuration) Settings {
	if configuration == nil || !slices.ContainsFunc(configuration.Routes, func(r rtcatalog.Route) bool {
		return r.LatencySLO >= time.Duration(s.SLO)
	}) {
		return Settings{}
	}
	return s
}

// Read reads a TOML file. An empty path turns all features off. The settings may be used
// only if Err of the findings returns nil.
func Read(path string) (Settings, rtfinding.List) {
	var settings Settings
	var findings rtfinding.List
	if path == "" {
		return settings, findings
	}
	data, err := os.ReadFile(path)
	if err != nil {
		var pathError *fs.PathError
		if errors.As(err, &pathError) {
			err = pathError.Err
		}
		findings.Add(rtfinding.Location{File: path}, "cannot be read: %v", err)
		return Settings{}, findings
	}
	meta, err := toml.Decode(string(data), &settings)
	if err != nil {
		location := rtfinding.Location{File: path}
		text := err.Error()
		var parseError toml.ParseError
		if errors.As(err, &parseError) {
			location.Line, location.Field, text = parseError.Position.Line, parseError.LastKey, parseError.Message
		}
		findings.Add(location, "not valid: %s", text)
		return Settings{}, findings
	}
	for _, key := range meta.Undecoded() {
		findings.Add(rtfinding.Location{File: path, Field: key.String()}, "is not a setting")
	}
	if settings.SLO < 0 {
		findings.Add(rtfinding.Location{File: path, Field: "slo"}, "is %v, want 0 or more", time.Duration(settings.SLO))
	}
	// The negated form also rejects NaN.
	if !(settings.Hedging.Ratio >= 0 && settings.Hedging.Ratio <= maxHedgingRatio) {
		findings.Add(rtfinding.Location{File: path, Field: "hedging.ratio"}, "is %g, want 0 to %g", settings.Hedging.Ratio, maxHedgingRatio)
	}
	return settings, findings
}
