package rtpeer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
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
		near, far := g.addresses()
		message := g.message(round%rosterRounds == 0 || g.newcomer.Swap(false))
		g.sendAll(socket, near, message)
		if round%farRounds == 0 && len(far) > 0 {
			message.Loads, message.Avoid = nil, nil
			g.sendAll(socket, far, message)
		}
		round++
		timer.Reset(interval * time.Duration(max(1, len(near)/peersPerInterval)))
	}
}

// addresses returns the peers of the own cell and those of others.
func (g *Group) addresses() (near, far []rtid.Address) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, p := range g.peers {
		if p.far {
			far = append(far, address)
		} else {
			near = append(near, address)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near, far
}

// message returns the digest of this moment.
func (g *Group) message(roster bool) digest {
	message := digest{VM: g.options.VM, Address: g.options.Address, Loads: make(map[rtid.Target]reportedLoad)}
	if view := g.options.Feed.View(); view != nil {
		message.Revision = g.options.Feed.Revision()
	}
	for target, load := range g.options.Loads.LocalLoads() {
		message.Loads[target] = report(load)
	}
	message.Age = unknownAge
	if contact := g.options.Feed.LastContact(); !contact.IsZero() {
		message.Age = time.Since(contact).Milliseconds()
	}
	if roster {
		message.Peers = g.named()
	}
	message.Avoid = make(map[rtid.Target]int64)
	for target, left := range g.options.Loads.Cooldowns() {
		message.Avoid[target] = left.Milliseconds()
	}
	return message
}

// sendAll sends a digest to peers.
func (g *Group) sendAll(socket *net.UDPConn, peers []rtid.Address, message digest) {
	data, err := json.Marshal(message)
	if err != nil || len(data) > maxDigest {
		g.log.Error(err, "Digest cannot be sent, peers do not learn the loads of this process.", "bytes", len(data))
		return
	}
	for _, address := range peers {
		to, err := net.ResolveUDPAddr("udp", string(address))
		if err != nil {
			g.log.Error(err, "Address of a peer cannot be used, it gets no digest.", "peer", address)
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
		if time.Since(p.heard) < p.life() && len(named) < maxNamed {
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
	g.options.Loads.SetPeerLoads(message.VM, loads)
	avoid := make(map[rtid.Target]time.Duration, len(message.Avoid))
	for target, left := range message.Avoid {
		avoid[target] = time.Duration(left) * time.Millisecond
	}
	g.options.Loads.ApplyPeerCooldowns(avoid)
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
		g.TriggerDigest()
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
