package rtpeer

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// digest is what a process tells its peers.
type digest struct {
	VM       rtid.VM                      `json:"vm"`
	Address  rtid.Address                 `json:"address"`
	Revision uint64                       `json:"revision"`
	Age      int64                        `json:"age"` // of the last answer of the store, in ms; -1 for none
	Peers    []rtid.Address               `json:"peers,omitempty"`
	Loads    map[rtid.Target]reportedLoad `json:"loads,omitempty"`
	Avoid    map[rtid.Target]int64        `json:"avoid,omitempty"` // targets that failed, for so many ms
}

// reportedLoad is a load in a short form: requests, writers, context and memory
// in thousands of tokens, reading in milliseconds.
type reportedLoad [5]int64

func report(load rtplacement.Load) reportedLoad {
	return reportedLoad{
		int64(load.Requests), int64(load.Writers), int64(load.Context / 1000), int64(load.Memory / 1000),
		load.Reading.Milliseconds(),
	}
}

func (l reportedLoad) load() rtplacement.Load {
	return rtplacement.Load{
		Requests: int(l[0]),
		Writers:  int(l[1]),
		Context:  rtid.Tokens(l[2] * 1000),
		Memory:   rtid.Tokens(l[3] * 1000),
		Reading:  time.Duration(l[4]) * time.Millisecond,
	}
}

// send sends digests until the context ends.
func (g *Group) send(ctx context.Context, socket *net.UDPConn) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	round := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.nudge:
		case <-g.options.Feed.Changed():
		}
		peers := g.addresses()
		g.sendAll(socket, peers, round%rosterRounds == 0 || g.newcomer.Swap(false))
		round++
		timer.Reset(interval * time.Duration(max(1, len(peers)/peersPerInterval)))
	}
}

// addresses returns the peers to send to.
func (g *Group) addresses() []rtid.Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses := slices.Collect(maps.Keys(g.peers))
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// sendAll sends one digest to each peer.
func (g *Group) sendAll(socket *net.UDPConn, peers []rtid.Address, roster bool) {
	message := digest{VM: g.options.VM, Address: g.options.Address, Loads: make(map[rtid.Target]reportedLoad)}
	if view := g.options.Feed.View(); view != nil {
		message.Revision = g.options.Feed.Revision()
	}
	for target, load := range g.options.Loads.Loads() {
		message.Loads[target] = report(load)
	}
	message.Age = unknownAge
	if contact := g.options.Feed.Contact(); !contact.IsZero() {
		message.Age = time.Since(contact).Milliseconds()
	}
	if roster {
		message.Peers = g.named()
	}
	message.Avoid = make(map[rtid.Target]int64)
	for target, left := range g.options.Loads.Suspects() {
		message.Avoid[target] = left.Milliseconds()
	}
	data, err := json.Marshal(message)
	if err != nil || len(data) > maxDigest {
		g.log.Error(err, "Digest cannot be sent.", "bytes", len(data))
		return
	}
	for _, address := range peers {
		to, err := net.ResolveUDPAddr("udp", string(address))
		if err != nil {
			g.log.Error(err, "Peer has no address.", "peer", address)
			continue
		}
		if _, err := socket.WriteToUDP(data, to); err != nil {
			g.log.V(1).Info("Digest not sent.", "peer", address, "error", err.Error())
		}
	}
}

// named returns live peers for a digest.
func (g *Group) named() []rtid.Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	var named []rtid.Address
	for address, p := range g.peers {
		if time.Since(p.heard) < aliveTime && len(named) < maxNamed {
			named = append(named, address)
		}
	}
	return named
}

// receive takes in digests until the socket is closed.
func (g *Group) receive(ctx context.Context, socket *net.UDPConn) error {
	buffer := make([]byte, maxDigest)
	for ctx.Err() == nil {
		n, _, err := socket.ReadFromUDP(buffer)
		if err != nil {
			return fmt.Errorf("receive digest: %w", err)
		}
		var message digest
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			g.log.Info("Digest cannot be read.", "error", err.Error())
			continue
		}
		g.take(message)
	}
	return nil
}

// take takes in one digest.
func (g *Group) take(message digest) {
	loads := make(map[rtid.Target]rtplacement.Load, len(message.Loads))
	for target, load := range message.Loads {
		loads[target] = load.load()
	}
	g.options.Loads.Report(message.VM, loads)
	avoid := make(map[rtid.Target]time.Duration, len(message.Avoid))
	for target, left := range message.Avoid {
		avoid[target] = time.Duration(left) * time.Millisecond
	}
	g.options.Loads.Avoid(avoid)
	own := g.options.Feed.Revision()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.learn(message.Address)
	if p == nil {
		return
	}
	for _, address := range message.Peers {
		g.learn(address)
	}
	now := time.Now()
	p.vm, p.heard, p.revision, p.contact = message.VM, now, message.Revision, time.Time{}
	if message.Age != unknownAge {
		p.contact = now.Add(-time.Duration(message.Age) * time.Millisecond)
	}
	if !p.alive {
		p.alive = true
		g.newcomer.Store(true)
		g.Nudge()
		g.log.Info("Peer heard.", "peer", p.vm, "address", message.Address)
	}
	switch {
	case p.revision <= own:
		p.behind = time.Time{}
	case p.behind.IsZero():
		p.behind = now
	}
	if p.revision > own {
		signal(g.learnt)
	}
}
