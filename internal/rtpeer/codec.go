package rtpeer

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Digests have two encodings. All versions read JSON. A process says in its digests
// that it reads the binary encoding, too, and then gets that.
const (
	jsonCodec   = 0
	binaryCodec = 1
)

// binaryMark is the first byte of a digest in the binary encoding. No JSON begins with
// it.
const binaryMark = 0x01

// maxVMName is the longest name of a VM in bytes that is taken for one.
const maxVMName = 200

// encodeDigest returns a message with the digest.
func encodeDigest(d digest, codec int) ([]byte, error) {
	if codec == jsonCodec {
		return json.Marshal(d)
	}
	wire, err := d.wire()
	if err != nil {
		return nil, err
	}
	return proto.MarshalOptions{}.MarshalAppend([]byte{binaryMark}, wire)
}

// decodeDigest returns the digest in a message of either encoding. It returns an error
// for one that no process of the deployment sends. Listed peers without an address are
// dropped.
func decodeDigest(data []byte) (digest, error) {
	var message digest
	if len(data) > 0 && data[0] == binaryMark {
		var wire rtwire.Digest
		if err := proto.Unmarshal(data[1:], &wire); err != nil {
			return digest{}, err
		}
		message = digestOf(&wire)
	} else if err := json.Unmarshal(data, &message); err != nil {
		return digest{}, err
	}
	if message.VM == "" || len(message.VM) > maxVMName {
		return digest{}, fmt.Errorf("name of the VM has %d bytes, want 1 to %d", len(message.VM), maxVMName)
	}
	if !validAddress(message.Address) {
		return digest{}, fmt.Errorf("address %.80q is not that of a process", message.Address)
	}
	if revision := message.StoreRevision; !revision.Valid() {
		return digest{}, fmt.Errorf("revision %v is out of range", revision)
	}
	message.Peers = slices.DeleteFunc(message.Peers, func(a rtid.Address) bool { return !validAddress(a) })
	message.Peers = message.Peers[:min(len(message.Peers), maxListedPeers)]
	return message, nil
}

// validAddress reports whether an address can be that of a process. A name would be
// looked up each time a digest is sent to it.
func validAddress(address rtid.Address) bool {
	parsed, err := netip.ParseAddrPort(string(address))
	return err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified() && !parsed.Addr().IsMulticast()
}

// wire returns the digest in the binary encoding.
func (d digest) wire() (*rtwire.Digest, error) {
	own, err := wireAddress(d.Address)
	if err != nil {
		return nil, err
	}
	w := &rtwire.Digest{
		Vm: string(d.VM), Address: own, Start: uint64(d.Start), Sent: d.Sent, Era: d.Era, Revision: d.Number,
		Version: uint64(d.Version), Kept: d.Kept, Age: d.ContactAge,
	}
	for _, peer := range d.Peers {
		address, err := wireAddress(peer)
		if err != nil {
			return nil, err
		}
		w.Peers = append(w.Peers, address)
	}
	for target, load := range d.Loads {
		w.Loads = append(w.Loads, &rtwire.TargetLoad{
			Target: string(target), Requests: load[0], Interactive: load[1], Context: load[2], Memory: load[3], Backlog: load[4],
		})
	}
	for target, remaining := range d.Cooldowns {
		w.Cooldowns = append(w.Cooldowns, &rtwire.Cooldown{Target: string(target), Remaining: remaining})
	}
	for _, e := range d.Evidence {
		w.Evidence = append(w.Evidence, &rtwire.PartEvidence{Part: string(e.Part), Crashes: wireCrashes(e.Crashes, e.Held), Refuted: wireCrashes(e.Refuted, nil), Age: e.Age})
	}
	for _, l := range d.Limits {
		w.Limits = append(w.Limits, &rtwire.TargetLimit{Target: wireStart(l.TargetIncarnation), Rate: l.Rate, Sent: l.Sent, Heard: l.Heard})
	}
	for _, target := range d.Leaving {
		w.Leaving = append(w.Leaving, wireStart(target))
	}
	w.Outcomes = wireOutcomes(d.Outcomes)
	w.Refusals = wireRefusals(d.Refusals)
	w.Forecasts = wireForecasts(d.Forecasts)
	for _, u := range d.Uses {
		w.Uses = append(w.Uses, &rtwire.OrganisationUse{Service: string(u.Service), Organisation: string(u.Organisation), Use: u.Use, Waiting: u.Waiting})
	}
	for _, service := range d.Scarce {
		w.Scarce = append(w.Scarce, string(service))
	}
	return w, nil
}

// digestOf returns the digest that was received in the binary encoding. Malformed
// addresses are empty.
func digestOf(w *rtwire.Digest) digest {
	d := digest{
		VM: rtid.VM(w.GetVm()), Address: addressFrom(w.GetAddress()), Start: rtid.Incarnation(w.GetStart()), Sent: w.GetSent(),
		StoreRevision: rtid.StoreRevision{Era: w.GetEra(), Number: w.GetRevision()},
		Version:       rtid.Version(w.GetVersion()), Kept: w.GetKept(), ContactAge: w.GetAge(), Codec: binaryCodec,
		Loads: make(map[rtid.Target]reportedLoad, len(w.GetLoads())), Cooldowns: make(map[rtid.Target]int64, len(w.GetCooldowns())),
	}
	for _, peer := range w.GetPeers() {
		d.Peers = append(d.Peers, addressFrom(peer))
	}
	for _, l := range w.GetLoads() {
		d.Loads[rtid.Target(l.GetTarget())] = reportedLoad{l.GetRequests(), l.GetInteractive(), l.GetContext(), l.GetMemory(), l.GetBacklog()}
	}
	for _, c := range w.GetCooldowns() {
		d.Cooldowns[rtid.Target(c.GetTarget())] = c.GetRemaining()
	}
	for _, e := range w.GetEvidence() {
		d.Evidence = append(d.Evidence, reportedEvidence{
			Part: rtid.Part(e.GetPart()), Crashes: crashesFrom(e.GetCrashes()), Held: heldFrom(e.GetCrashes()), Refuted: crashesFrom(e.GetRefuted()), Age: e.GetAge(),
		})
	}
	for _, l := range w.GetLimits() {
		d.Limits = append(d.Limits, reportedLimit{TargetIncarnation: startFrom(l.GetTarget()), Rate: l.GetRate(), Sent: l.GetSent(), Heard: l.GetHeard()})
	}
	for _, target := range w.GetLeaving() {
		d.Leaving = append(d.Leaving, startFrom(target))
	}
	d.Outcomes = outcomesFrom(w.GetOutcomes())
	d.Refusals = refusalsFrom(w.GetRefusals())
	d.Forecasts = forecastsFrom(w.GetForecasts())
	for _, u := range w.GetUses() {
		d.Uses = append(d.Uses, reportedUse{
			Service: rtid.Service(u.GetService()), Organisation: rtid.Organisation(u.GetOrganisation()), Use: u.GetUse(), Waiting: u.GetWaiting(),
		})
	}
	for _, service := range w.GetScarce() {
		d.Scarce = append(d.Scarce, rtid.Service(service))
	}
	return d
}

func wireAddress(address rtid.Address) ([]byte, error) {
	parsed, err := netip.ParseAddrPort(string(address))
	if err != nil {
		return nil, err
	}
	return parsed.MarshalBinary()
}

func addressFrom(data []byte) rtid.Address {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(data); err != nil || !address.IsValid() {
		return ""
	}
	return rtid.Address(address.String())
}

func wireStart(target rtid.TargetIncarnation) *rtwire.TargetStart {
	return &rtwire.TargetStart{Id: string(target.ID), Born: uint64(target.Born)}
}

func startFrom(w *rtwire.TargetStart) rtid.TargetIncarnation {
	return rtid.TargetIncarnation{ID: rtid.Target(w.GetId()), Born: rtid.Incarnation(w.GetBorn())}
}

func wireCrashes(crashes, held reportedCrashes) []*rtwire.TargetCrashes {
	var w []*rtwire.TargetCrashes
	for target, ages := range crashes {
		w = append(w, &rtwire.TargetCrashes{Target: string(target), Ages: ages, Held: held[target]})
	}
	return w
}

func crashesFrom(w []*rtwire.TargetCrashes) reportedCrashes {
	if len(w) == 0 {
		return nil
	}
	crashes := make(reportedCrashes, len(w))
	for _, c := range w {
		crashes[rtid.Target(c.GetTarget())] = c.GetAges()
	}
	return crashes
}

// heldFrom returns how long targets had had the request at their crashes; nil if nothing
// is known.
func heldFrom(w []*rtwire.TargetCrashes) reportedCrashes {
	var held reportedCrashes
	for _, c := range w {
		if len(c.GetHeld()) == 0 {
			continue
		}
		if held == nil {
			held = make(reportedCrashes, len(w))
		}
		held[rtid.Target(c.GetTarget())] = c.GetHeld()
	}
	return held
}
