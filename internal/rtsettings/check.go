package rtsettings

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// The values of Agent.Kind.
const (
	KindEngine  = "engine"
	KindService = "service"
)

func (f *settingsFile) checkEntry(entry *Entry) {
	f.checkCommon(&entry.Common)
	f.checkListenAddress("callers", entry.CallerAddress)
	f.checkPositive("longest", entry.MaxTimeLimit)
	if entry.MaxTimeLimit > entry.DrainTimeout && f.decoded("longest", "drain") {
		key := "longest"
		if !f.hasKey(key) {
			key = "drain"
		}
		f.addFinding(key, "longest time limit %v is over the drain limit %v; a graceful shutdown would interrupt requests",
			time.Duration(entry.MaxTimeLimit), time.Duration(entry.DrainTimeout))
	}
	f.checkDistinct([]keyAddress{{"peers", entry.PeerAddress}, {"operators", entry.OperatorAddress}, {"callers", entry.CallerAddress}})
}

func (f *settingsFile) checkAgent(agent *Agent) {
	f.checkCommon(&agent.Common)
	f.checkName("target", string(agent.Target))
	f.checkName("service", string(agent.Service))
	f.requireDialAddress("address", agent.TargetAddress)
	f.checkDistinct([]keyAddress{{"peers", agent.PeerAddress}, {"operators", agent.OperatorAddress}, {"address", agent.TargetAddress}})
	f.checkSlots(agent)
	if !f.requireKey("kind") {
		return
	}
	switch agent.Kind {
	case KindEngine:
		f.checkEngine(agent)
	case KindService:
		f.checkService()
	default:
		f.addFinding("kind", "kind %q is not %q or %q", agent.Kind, KindEngine, KindService)
	}
}

func (f *settingsFile) checkSlots(agent *Agent) {
	slotsValid := f.requireKey("slots")
	if slotsValid && agent.Slots < 1 {
		f.addFinding("slots", "%d is not at least 1", agent.Slots)
		slotsValid = false
	}
	switch {
	case !f.decoded("cold"):
	case agent.ColdSlots < 1:
		f.addFinding("cold", "%d is not at least 1", agent.ColdSlots)
	case slotsValid && agent.ColdSlots > agent.Slots:
		f.addFinding("cold", "%d is over slots, which is %d", agent.ColdSlots, agent.Slots)
	}
}

func (f *settingsFile) checkEngine(agent *Agent) {
	if f.requireKey("memory") && agent.KVMemory < 1 {
		f.addFinding("memory", "%d is not at least 1 token", agent.KVMemory)
	}
	if f.requireKey("rate") && (!(agent.PrefillRate > 0) || math.IsInf(agent.PrefillRate, 0)) { // also rejects NaN
		f.addFinding("rate", "%v is not a finite number over 0", agent.PrefillRate)
	}
}

func (f *settingsFile) checkService() {
	for _, key := range []string{"memory", "rate"} {
		if f.hasKey(key) {
			f.addFinding(key, "is for kind %q only", KindEngine)
		}
	}
}

func (f *settingsFile) checkCommon(common *Common) {
	f.checkName("vm", string(common.VM))
	f.checkName("zone", string(common.Zone))
	f.requireDialAddress("peers", common.PeerAddress)
	f.checkListenAddress("operators", common.OperatorAddress)
	f.requireDialAddress("platform", common.PlatformAddress)
	if f.decoded("seeds") {
		for i, seed := range common.Seeds {
			f.checkDialAddress(fmt.Sprintf("seeds[%d]", i), seed)
		}
	}
	f.checkLogLevel(common.LogLevel)
	f.checkPositive("drain", common.DrainTimeout)
	f.checkPositive("heartbeat", common.HeartbeatInterval)
}

// decoded reports whether none of the keys has a value that could not be decoded.
// A missing key counts as decoded.
func (f *settingsFile) decoded(keys ...string) bool {
	for _, key := range keys {
		if f.undecoded[key] {
			return false
		}
	}
	return true
}

// requireKey adds a finding if the key is missing. It reports whether there is a
// decoded value to check.
func (f *settingsFile) requireKey(key string) bool {
	if !f.hasKey(key) {
		f.addFinding(key, "required key is missing")
		return false
	}
	return f.decoded(key)
}

func (f *settingsFile) checkName(key, name string) {
	if f.requireKey(key) && !rtid.ValidName(name) {
		f.addFinding(key, "name %q: want 1 to 64 letters, digits, hyphens and underscores", name)
	}
}

func (f *settingsFile) checkLogLevel(level string) {
	switch level {
	case "debug", "info", "error":
	default:
		if f.decoded("level") {
			f.addFinding("level", "level %q is not debug, info or error", level)
		}
	}
}

func (f *settingsFile) checkPositive(key string, duration Duration) {
	if f.decoded(key) && duration <= 0 {
		f.addFinding(key, "%v is not over 0", time.Duration(duration))
	}
}

// checkListenAddress checks an address that is not advertised, so that an
// unspecified host and port 0 are valid. The key "operators" may be missing,
// because it has a default.
func (f *settingsFile) checkListenAddress(key string, address rtid.Address) {
	if key == "operators" && !f.hasKey(key) {
		return
	}
	if f.requireKey(key) {
		f.parseAddress(key, address)
	}
}

// requireDialAddress checks a required address to which this or another process
// connects.
func (f *settingsFile) requireDialAddress(key string, address rtid.Address) {
	if f.requireKey(key) {
		f.checkDialAddress(key, address)
	}
}

func (f *settingsFile) checkDialAddress(key string, address rtid.Address) {
	parsed, ok := f.parseAddress(key, address)
	if !ok {
		return
	}
	if parsed.Addr().IsUnspecified() {
		f.addFinding(key, "address %q: nothing can connect to the host %v", address, parsed.Addr())
	}
	if parsed.Port() == 0 {
		f.addFinding(key, "address %q: nothing can connect to port 0", address)
	}
}

func (f *settingsFile) parseAddress(key string, address rtid.Address) (netip.AddrPort, bool) {
	parsed, err := netip.ParseAddrPort(string(address))
	if err != nil {
		f.addFinding(key, "address %q: want an IP number and a port such as 10.0.0.1:7000", address)
		return netip.AddrPort{}, false
	}
	return parsed, true
}

type keyAddress struct {
	key     string
	address rtid.Address
}

// checkDistinct adds a finding for each address that equals that of an earlier
// key. Port 0 is skipped: the system assigns a free port, which cannot conflict.
func (f *settingsFile) checkDistinct(addresses []keyAddress) {
	keyOf := make(map[netip.AddrPort]string)
	for _, setting := range addresses {
		parsed, err := netip.ParseAddrPort(string(setting.address))
		if err != nil || parsed.Port() == 0 {
			continue
		}
		if otherKey, found := keyOf[parsed]; found {
			f.addFinding(setting.key, "address %q is the same as that of %s", setting.address, otherKey)
			continue
		}
		keyOf[parsed] = setting.key
	}
}
