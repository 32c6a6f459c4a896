package rtpeer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtforecast"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtoutlier"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rtquarantine"
)

// digest is the message that a process sends to its peers.
type digest struct {
	VM      rtid.VM          `json:"vm"`
	Address rtid.Address     `json:"address"`
	Start   rtid.Incarnation `json:"start"`
	Sent    int64            `json:"sent"` // time since Start, in ms
	rtid.StoreRevision
	Version    rtid.Version                 `json:"version,omitempty"` // of the configuration in force
	Kept       uint64                       `json:"kept,omitempty"`    // identifies what is kept in place of items of the store; 0 for nothing
	ContactAge int64                        `json:"age"`               // time since the last response from the store, in ms; unknownAge for none
	Peers      []rtid.Address               `json:"peers,omitempty"`
	Loads      map[rtid.Target]reportedLoad `json:"loads,omitempty"`
	Cooldowns  map[rtid.Target]int64        `json:"avoid,omitempty"` // remaining cooldown of targets that failed, in ms
	Evidence   []reportedEvidence           `json:"evidence,omitempty"`
	Limits     []reportedLimit              `json:"limits,omitempty"`  // named by targets to the sender
	Leaving    []rtid.TargetIncarnation     `json:"leaving,omitempty"` // at most maxReportedLeaves
	Outcomes   []rtoutlier.Report           `json:"-"`                 // in the binary encoding only
	Refusals   []reportedRefusal            `json:"-"`                 // at most maxReportedRefusals
	Forecasts  []rtforecast.Figure          `json:"-"`                 // at most rtforecast.MaxFigures; sent in the binary encoding only
	Uses       []reportedUse                `json:"-"`                 // of organisations; at most maxReportedUses
	Scarce     []rtid.Service               `json:"-"`                 // services whose capacity is scarce
	Codec      int                          `json:"codec,omitempty"`   // latest encoding that the sender reads
}

// reportedLoad is the encoding of a load in a digest: requests, interactive
// requests, context and memory in thousands of tokens, prefill backlog in
// milliseconds.
type reportedLoad [5]int64

func newReportedLoad(load rtplacement.Load) reportedLoad {
	return reportedLoad{
		int64(load.Requests), int64(load.Interactive), int64(load.Context / 1000), int64(load.Memory / 1000),
		load.PrefillBacklog.Milliseconds(),
	}
}

func (l reportedLoad) load() rtplacement.Load {
	return rtplacement.Load{
		Requests:       int(l[0]),
		Interactive:    int(l[1]),
		Context:        rtid.Tokens(l[2] * 1000),
		Memory:         rtid.Tokens(l[3] * 1000),
		PrefillBacklog: time.Duration(l[4]) * time.Millisecond,
	}
}

// sendDigests sends digests until the context ends: at intervals, and at once
// after TriggerDigest and, if this process reads the store, after a new view of the
// feed.
func (g *Group) sendDigests(ctx context.Context, socket *net.UDPConn) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	round := 0
	for {
		kind := intervalDigest
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.sendNow:
			kind = newsDigest
		case <-g.options.Feed.Changed():
			if !g.options.Feed.Reader() {
				// The processes that read the store have told all others, too.
				continue
			}
			kind = viewDigest
		}
		ownCell, otherCells := g.peerAddresses()
		message := g.newDigest(g.listedNow(round))
		message.Forecasts = g.localForecasts(round)
		g.sendTo(socket, ownCell, message, kind)
		if round%roundsToOtherCells(len(otherCells)) == 0 && len(otherCells) > 0 {
			g.sendTo(socket, otherCells, message.forOtherCells(), otherCellDigest)
		}
		round++
		timer.Reset(digestInterval * time.Duration(max(1, len(ownCell)/peersPerInterval)))
	}
}

// listedNow returns how many peers the digest of a round lists.
func (g *Group) listedNow(round int) int {
	switch {
	case g.newPeer.Swap(false):
		return maxListedPeers
	case round%peerListRounds == 0:
		return sampledPeers
	default:
		return 0
	}
}

// versionOf returns the version of the configuration in force, or 0.
func versionOf(view *rtcatalog.View) rtid.Version {
	if view == nil || view.Configuration == nil {
		return 0
	}
	return view.Configuration.Version
}

// forOtherCells returns the digest without what concerns the targets of the cell.
func (d digest) forOtherCells() digest {
	d.Loads, d.Cooldowns = nil, nil
	d.Outcomes, d.Refusals, d.Forecasts = nil, nil, nil
	d.Uses, d.Scarce = nil, nil
	return d
}

// peerAddresses returns the addresses of the peers of the own cell, in random
// order, and of those of other cells.
func (g *Group) peerAddresses() (ownCell, otherCells []rtid.Address) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, p := range g.peers {
		if p.otherCell {
			otherCells = append(otherCells, address)
		} else {
			ownCell = append(ownCell, address)
		}
	}
	rand.Shuffle(len(ownCell), func(i, j int) { ownCell[i], ownCell[j] = ownCell[j], ownCell[i] })
	return ownCell, otherCells
}

// cellPeers returns the number of known peers of the own cell.
func (g *Group) cellPeers() int {
	ownCell, _ := g.peerAddresses()
	return len(ownCell)
}

// newDigest returns a digest of the current state. It lists a number of live peers.
func (g *Group) newDigest(listed int) digest {
	message := digest{
		VM:      g.options.VM,
		Address: g.options.Address,
		Start:   rtid.NewIncarnation(g.started),
		Sent:    time.Since(g.started).Milliseconds(),
		Loads:   make(map[rtid.Target]reportedLoad),
		Codec:   binaryCodec,
	}
	if view := g.options.Feed.View(); view != nil {
		message.StoreRevision = g.options.Feed.Revision()
		message.Version = versionOf(view)
		message.Kept = g.options.Feed.KeptHash()
	}
	for target, load := range g.options.Loads.LocalLoads() {
		message.Loads[target] = newReportedLoad(load)
	}
	message.ContactAge = unknownAge
	if contact := g.options.Feed.LastContact(); !contact.IsZero() {
		message.ContactAge = time.Since(contact).Milliseconds()
	}
	if listed > 0 {
		message.Peers = g.livePeers(listed)
	}
	message.Cooldowns = make(map[rtid.Target]int64)
	for target, remaining := range g.options.Loads.Cooldowns() {
		message.Cooldowns[target] = remaining.Milliseconds()
	}
	message.Evidence = g.localEvidence()
	message.Limits = g.localLimits()
	message.Leaving = g.localLeaves()
	message.Outcomes = g.localOutcomes()
	message.Refusals = g.localRefusals()
	message.Uses, message.Scarce = g.localUses(g.cellPeers(), time.Now())
	return message
}

// sendTo sends a digest to each of the peers, in an encoding that the peer reads.
func (g *Group) sendTo(socket *net.UDPConn, peers []rtid.Address, message digest, kind messageKind) {
	var encoded [binaryCodec + 1][]byte
	for _, address := range peers {
		codec := g.codecOf(address)
		if encoded[codec] == nil {
			data, err := encodeDigest(message, codec)
			if err != nil || len(data) > maxDigestBytes {
				g.log.Error(err, "Digest not sent because it cannot be encoded or is too large, peers do not receive the loads of this process.", "bytes", len(data))
				return
			}
			encoded[codec] = data
		}
		resolved, err := net.ResolveUDPAddr("udp", string(address))
		if err != nil {
			g.log.Error(err, "Digest not sent because the address of the peer cannot be resolved.", "peer", address)
			continue
		}
		if _, err := socket.WriteToUDP(encoded[codec], resolved); err != nil {
			g.log.V(1).Info("Digest not sent because the write to the socket failed.", "peer", address, "error", err.Error())
			continue
		}
		g.traffic.record(kind, len(encoded[codec]))
	}
}

// codecOf returns the encoding of digests to a peer.
func (g *Group) codecOf(address rtid.Address) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[address]; p != nil && p.binary {
		return binaryCodec
	}
	return jsonCodec
}

// livePeers returns the addresses of live peers, at most a number of them, which
// differ each time.
func (g *Group) livePeers(most int) []rtid.Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	var live []rtid.Address
	for address, p := range g.peers {
		if time.Since(p.lastDigest) < p.aliveTimeout() && len(live) < most {
			live = append(live, address)
		}
	}
	return live
}

const (
	// dropLogInterval is the shortest time between two log lines about dropped
	// messages of one sender.
	dropLogInterval = time.Minute
	// maxDropSenders is how many senders of dropped messages are remembered.
	maxDropSenders = 256
)

// logDropped logs that a message was dropped.
func (g *Group) logDropped(sender netip.Addr, err error, now time.Time) {
	g.logOnce(sender, "Digest dropped.", err, now)
}

// logOnce logs what is wrong with a message, unless dropLogInterval has not passed since
// the last line about its sender.
func (g *Group) logOnce(sender netip.Addr, line string, err error, now time.Time) {
	maps.DeleteFunc(g.droppedLogs, func(_ netip.Addr, last time.Time) bool { return now.Sub(last) >= dropLogInterval })
	if _, quiet := g.droppedLogs[sender]; quiet || len(g.droppedLogs) >= maxDropSenders {
		return
	}
	g.droppedLogs[sender] = now
	g.log.Info(line, "sender", sender.String(), "error", fmt.Sprintf("%.200s", err))
}

// receiveDigests receives and applies digests until the socket is closed. It
// drops those that no process of the deployment sends.
func (g *Group) receiveDigests(ctx context.Context, socket *net.UDPConn) error {
	buffer := make([]byte, maxDigestBytes)
	for ctx.Err() == nil {
		n, sender, err := socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("receive digest: %w", err)
		}
		if err != nil {
			g.log.Error(err, "Digest cannot be received.")
			wait(ctx, digestInterval) // the error may last
			continue
		}
		message, err := decodeDigest(buffer[:n])
		if err != nil {
			g.logDropped(sender.AddrPort().Addr(), err, time.Now())
			continue
		}
		if recovered := panics.Try(func() { g.applyDigest(message) }); recovered != nil {
			// The process must go on hearing its peers.
			g.log.Error(recovered.AsError(), "Digest of a peer failed unexpectedly.", "peer", message.VM)
		}
	}
	return nil
}

// wait waits until d has passed or the context ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// applyDigest applies one digest: it passes the loads, cooldowns and evidence on,
// records the state of the sender and adds the peers that the digest lists.
func (g *Group) applyDigest(message digest) {
	loads := make(map[rtid.Target]rtplacement.Load, len(message.Loads))
	for target, load := range message.Loads {
		loads[target] = load.load()
	}
	g.options.Loads.SetPeerLoads(message.VM, loads)
	cooldowns := make(map[rtid.Target]time.Duration, len(message.Cooldowns))
	for target, remaining := range message.Cooldowns {
		cooldowns[target] = time.Duration(remaining) * time.Millisecond
	}
	g.options.Loads.ApplyPeerCooldowns(cooldowns)
	delay := g.recordDelay(message, time.Now())
	if delay <= rtquarantine.MaxDelay {
		g.mergeEvidence(message.Evidence)
	}
	g.mergeLimits(message.Limits, delay)
	g.mergeLeaves(message.Leaving)
	g.setOutcomes(message.VM, message.Outcomes)
	g.mergeRefusals(message.Refusals, message.VM, delay)
	g.mergeForecasts(message, delay)
	g.mergeUses(message)
	ownRevision := g.options.Feed.Revision()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.addPeer(message.Address)
	if p == nil {
		return
	}
	for _, address := range message.Peers {
		g.addPeer(address)
	}
	now := time.Now()
	p.vm, p.lastDigest, p.revision, p.storeContact = message.VM, now, message.StoreRevision, time.Time{}
	p.version, p.kept = message.Version, message.Kept
	p.binary = message.Codec >= binaryCodec
	if message.Sent >= discoveryTime.Milliseconds() {
		g.heardRunning = true
	}
	if message.ContactAge != unknownAge {
		p.storeContact = now.Add(-time.Duration(message.ContactAge) * time.Millisecond)
	}
	if !p.loggedAlive {
		p.loggedAlive = true
		g.newPeer.Store(true)
		g.TriggerDigest()
		g.log.Info("Peer heard.", "peer", p.vm, "address", message.Address)
	}
	switch {
	case !p.revision.After(ownRevision):
		p.aheadSince = time.Time{}
	case p.aheadSince.IsZero():
		p.aheadSince = now
	}
	if p.revision.After(ownRevision) {
		signal(g.newerPeer)
	}
}
