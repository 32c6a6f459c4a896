// Package rtsettings reads and checks the TOML settings of the programs.
package rtsettings

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Common holds the settings that entry and agent share.
type Common struct {
	VM                rtid.VM        `toml:"vm"`        // unique in the fleet
	Zone              rtid.Zone      `toml:"zone"`      // availability zone of this VM
	PeerAddress       rtid.Address   `toml:"peers"`     // listener for the other processes; also the address given to them
	OperatorAddress   rtid.Address   `toml:"operators"` // listener for operators; default 127.0.0.1:0
	PlatformAddress   rtid.Address   `toml:"platform"`  // configuration service and list of VMs
	Seeds             []rtid.Address `toml:"seeds"`     // peers to ask at start beside those in the list of VMs
	LogLevel          string         `toml:"level"`     // debug, info or error; default info
	DrainTimeout      Duration       `toml:"drain"`     // longest graceful stop; default 10m
	HeartbeatInterval Duration       `toml:"heartbeat"` // interval of Hello; default 1s
}

// Entry holds the settings of rhubarbtally-entry.
type Entry struct {
	Common
	CallerAddress rtid.Address `toml:"callers"` // listener for callers
	MaxTimeLimit  Duration     `toml:"longest"` // longest time limit a caller may ask for; default 10m, at most Drain
}

// Agent holds the settings of rhubarbtally-agent.
type Agent struct {
	Common
	Target        rtid.Target  `toml:"target"`  // name of the target beside this process
	Kind          string       `toml:"kind"`    // "engine" or "service"
	TargetAddress rtid.Address `toml:"address"` // the target's own address
	Service       rtid.Service `toml:"service"` // service that the target serves
	KVMemory      rtid.Tokens  `toml:"memory"`  // KV memory of the engine; 0 for a plain service
	Slots         int          `toml:"slots"`   // most concurrent requests of a warm target
	ColdSlots     int          `toml:"cold"`    // most concurrent requests of a cold target; default 1
	PrefillRate   float64      `toml:"rate"`    // prefill tokens per second of a warm engine, used until measured
	Fencing       bool         `toml:"fencing"` // whether the target rejects old fencing numbers
}

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText returns the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
