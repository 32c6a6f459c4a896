package rtsettings

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// The kinds of targets in Agent.Kind.
const (
	KindEngine  = "engine"
	KindService = "service"
)

func (f *file) checkEntry(entry *Entry) {
	f.checkCommon(&entry.Common)
	f.listener("callers", entry.CallerAddress)
	f.positive("longest", entry.MaxTimeLimit)
	if entry.MaxTimeLimit > entry.DrainTimeout && f.decoded("longest", "drain") {
		key := "longest"
		if !f.given(key) {
			key = "drain"
		}
		f.add(key, "longest time limit %v is over the drain limit %v; a planned stop would interrupt requests",
			time.Duration(entry.MaxTimeLimit), time.Duration(entry.DrainTimeout))
	}
	f.distinct([]keyAddress{{"peers", entry.PeerAddress}, {"operators", entry.OperatorAddress}, {"callers", entry.CallerAddress}})
}

func (f *file) checkAgent(agent *Agent) {
	f.checkCommon(&agent.Common)
	f.name("target", string(agent.Target))
	f.name("service", string(agent.Service))
	f.reachable("address", agent.TargetAddress)
	f.distinct([]keyAddress{{"peers", agent.PeerAddress}, {"operators", agent.OperatorAddress}, {"address", agent.TargetAddress}})
	f.checkSlots(agent)
	if !f.required("kind") {
		return
	}
	switch agent.Kind {
	case KindEngine:
		f.checkEngine(agent)
	case KindService:
		f.checkService()
	default:
		f.add("kind", "kind %q is not %q or %q", agent.Kind, KindEngine, KindService)
	}
}

func (f *file) checkSlots(agent *Agent) {
	slots := f.required("slots")
	if slots && agent.Slots < 1 {
		f.add("slots", "%d is not at least 1", agent.Slots)
		slots = false
	}
	switch {
	case !f.decoded("cold"):
	case agent.ColdSlots < 1:
		f.add("cold", "%d is not at least 1", agent.ColdSlots)
	case slots && agent.ColdSlots > agent.Slots:
		f.add("cold", "%d is over slots, which is %d", agent.ColdSlots, agent.Slots)
	}
}

func (f *file) checkEngine(agent *Agent) {
	if f.required("memory") && agent.KVMemory < 1 {
		f.add("memory", "%d is not at least 1 token", agent.KVMemory)
	}
	if f.required("rate") && (!(agent.PrefillRate > 0) || math.IsInf(agent.PrefillRate, 0)) { // also refuses NaN
		f.add("rate", "%v is not a finite number over 0", agent.PrefillRate)
	}
}

func (f *file) checkService() {
	for _, key := range []string{"memory", "rate"} {
		if f.given(key) {
			f.add(key, "is for kind %q only", KindEngine)
		}
	}
}

func (f *file) checkCommon(common *Common) {
	f.name("vm", string(common.VM))
	f.name("zone", string(common.Zone))
	f.reachable("peers", common.PeerAddress)
	f.listener("operators", common.OperatorAddress)
	f.reachable("platform", common.PlatformAddress)
	if f.decoded("seeds") {
		for i, seed := range common.Seeds {
			f.addressOfPeer(fmt.Sprintf("seeds[%d]", i), seed)
		}
	}
	f.level(common.LogLevel)
	f.positive("drain", common.DrainTimeout)
	f.positive("heartbeat", common.HeartbeatInterval)
}

// decoded reports whether the values of all keys are usable.
func (f *file) decoded(keys ...string) bool {
	for _, key := range keys {
		if f.faulty[key] {
			return false
		}
	}
	return true
}

// required reports a missing key, and returns whether there is a value to
// check.
func (f *file) required(key string) bool {
	if !f.given(key) {
		f.add(key, "required key is missing")
		return false
	}
	return f.decoded(key)
}

func (f *file) name(key, name string) {
	if f.required(key) && !rtid.ValidName(name) {
		f.add(key, "name %q: want 1 to 64 letters, digits, hyphens and underscores", name)
	}
}

func (f *file) level(level string) {
	switch level {
	case "debug", "info", "error":
	default:
		if f.decoded("level") {
			f.add("level", "level %q is not debug, info or error", level)
		}
	}
}

func (f *file) positive(key string, duration Duration) {
	if f.decoded(key) && duration <= 0 {
		f.add(key, "%v is not over 0", time.Duration(duration))
	}
}

// listener checks an address that nobody is told, so that any interface and
// port 0 are possible.
func (f *file) listener(key string, address rtid.Address) {
	if key == "operators" && !f.given(key) {
		return
	}
	if f.required(key) {
		f.address(key, address)
	}
}

// reachable checks a required address that this or another process connects
// to.
func (f *file) reachable(key string, address rtid.Address) {
	if f.required(key) {
		f.addressOfPeer(key, address)
	}
}

func (f *file) addressOfPeer(key string, address rtid.Address) {
	parsed, ok := f.address(key, address)
	if !ok {
		return
	}
	if parsed.Addr().IsUnspecified() {
		f.add(key, "address %q: nothing can connect to the host %v", address, parsed.Addr())
	}
	if parsed.Port() == 0 {
		f.add(key, "address %q: nothing can connect to port 0", address)
	}
}

func (f *file) address(key string, address rtid.Address) (netip.AddrPort, bool) {
	parsed, err := netip.ParseAddrPort(string(address))
	if err != nil {
		f.add(key, "address %q: want an IP number and a port such as 10.0.0.1:7000", address)
		return netip.AddrPort{}, false
	}
	return parsed, true
}

type keyAddress struct {
	key     string
	address rtid.Address
}

// distinct reports addresses that two keys name. Port 0 is a new port at each
// start, so it never clashes.
func (f *file) distinct(addresses []keyAddress) {
	first := make(map[netip.AddrPort]string)
	for _, a := range addresses {
		parsed, err := netip.ParseAddrPort(string(a.address))
		if err != nil || parsed.Port() == 0 {
			continue
		}
		if other, taken := first[parsed]; taken {
			f.add(a.key, "address %q is the same as that of %s", a.address, other)
			continue
		}
		first[parsed] = a.key
	}
}
