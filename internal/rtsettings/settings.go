// Package rtsettings reads and validates the TOML settings files of the entry
// and the agent.
package rtsettings

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Common holds the settings that the entry and the agent have in common.
type Common struct {
	VM                rtid.VM        `toml:"vm"`        // name of this VM, unique in the fleet
	Zone              rtid.Zone      `toml:"zone"`      // availability zone of this VM
	PeerAddress       rtid.Address   `toml:"peers"`     // listen address for other entries and agents, which is also advertised to them
	OperatorAddress   rtid.Address   `toml:"operators"` // listen address of the operator endpoints; default 127.0.0.1:0
	PlatformAddress   rtid.Address   `toml:"platform"`  // address of the platform service with the configuration and the list of VMs
	Seeds             []rtid.Address `toml:"seeds"`     // peers to contact at start, in addition to those in the list of VMs
	LogLevel          string         `toml:"level"`     // debug, info or error; default info
	DrainTimeout      Duration       `toml:"drain"`     // limit of a graceful shutdown; default 10m
	HeartbeatInterval Duration       `toml:"heartbeat"` // interval between Hello messages; default 1s
}

// Entry holds the settings of rhubarbtally-entry.
type Entry struct {
	Common
	CallerAddress rtid.Address `toml:"callers"` // listen address for callers
	MaxTimeLimit  Duration     `toml:"longest"` // longest time limit that a caller may request; default 10m, at most DrainTimeout
}

// Agent holds the settings of rhubarbtally-agent.
type Agent struct {
	Common
	Target        rtid.Target  `toml:"target"`  // name of the target that this agent serves
	Kind          string       `toml:"kind"`    // KindEngine or KindService
	TargetAddress rtid.Address `toml:"address"` // address on which the target listens
	Service       rtid.Service `toml:"service"` // service that the target serves
	KVMemory      rtid.Tokens  `toml:"memory"`  // KV memory of the engine, in tokens; 0 for a plain service
	Slots         int          `toml:"slots"`   // maximum concurrent requests of a warm target
	ColdSlots     int          `toml:"cold"`    // maximum concurrent requests of a cold target; default 1, at most Slots
	PrefillRate   float64      `toml:"rate"`    // prefill tokens per second of a warm engine, used until a measured rate exists
	Fencing       bool         `toml:"fencing"` // whether the target rejects requests with an outdated fencing number
}

// Duration is a time.Duration that is encoded as text such as "1.5s".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText returns the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
