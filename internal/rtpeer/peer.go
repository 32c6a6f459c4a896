// Package rtpeer lets the serving processes of a deployment find each other and
// tell each other what they have placed and how much they know.
//
// A process sends a small digest by UDP to the peers that it knows, and fetches
// the published state by HTTP from a peer that knows more while it cannot
// learn it itself.
package rtpeer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeed"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

const (
	// interval is the time between two digests of a process with few peers.
	interval = 150 * time.Millisecond
	// peersPerInterval is how many peers the interval is meant for; with more,
	// it grows in proportion, so that the messages a process gets stay bounded.
	peersPerInterval = 6
	// aliveTime is how long a peer counts as alive after a digest.
	aliveTime = 4 * time.Second
	// shareTime is how long a silent peer keeps its part of shared budgets:
	// longer than any window that they are counted over.
	shareTime = 30 * time.Second
	// startTime is how long a process does not rely on the peers that it has
	// heard of: a seed that hears of it names all that it knows at once. Until
	// then it takes there to be startProcesses, about the largest deployment of
	// today.
	startTime      = 500 * time.Millisecond
	startProcesses = 30
	// behindTime is how long the own source may take to catch up with a peer
	// before its state is fetched.
	behindTime = 500 * time.Millisecond
	// fetchTimeout bounds the transfer of a state.
	fetchTimeout = 1500 * time.Millisecond
	// maxDigest bounds a digest in bytes.
	maxDigest = 32 << 10
	// maxState bounds a state in bytes.
	maxState = 32 << 20
	// rosterRounds is how many digests share one list of live peers.
	rosterRounds = 8
	// maxReaders is how many processes ask the store for all; the others learn
	// from them. One or two may be lost or turned away unnoticed for a while.
	maxReaders = 4
	// freshContact is the age of a reader's last answer up to which it counts:
	// a watch without news and what it may be late by.
	freshContact = 2500 * time.Millisecond
	unknownAge   = -1
	// maxNamed bounds the peers that a digest names.
	maxNamed = 40
)

// Loads is the part of a gateway that peers exchange.
type LoadExchange interface {
	LocalLoads() map[rtid.Target]rtplacement.Load
	SetPeerLoads(peer rtid.VM, loads map[rtid.Target]rtplacement.Load)
	// Suspects returns the targets that this process avoids, and Avoid takes in
	// those of a peer.
	Cooldowns() map[rtid.Target]time.Duration
	ApplyPeerCooldowns(targets map[rtid.Target]time.Duration)
}

// Options are the parts of a group.
type Options struct {
	VM      rtid.VM
	Address rtid.Address // of UDP and HTTP between processes
	Seeds   []rtid.Address
	Network rtnet.Network
	Feed    *rtfeed.Feed
	Loads   LoadExchange
	Log     logr.Logger
}

// Group is the processes that this one knows.
type Group struct {
	options Options
	log     logr.Logger
	client  *http.Client
	nudge   chan struct{} // capacity 1; receives when a digest should go out soon
	learnt  chan struct{} // capacity 1; receives when a peer knows more

	started time.Time

	newcomer atomic.Bool // a peer has been heard for the first time

	mu    sync.Mutex
	peers map[rtid.Address]*peer
	cell  rtplacement.Cell
}

// peer is what is known of another process.
type peer struct {
	vm       rtid.VM // empty until it has spoken
	heard    time.Time
	revision uint64
	contact  time.Time // with the store, as it says; zero for none
	behind   time.Time // when this process was first seen behind it; zero if it is not
	alive    bool      // as last logged
	far      bool      // belongs to another cell
}

// New returns a group that knows its seeds.
func New(options Options) *Group {
	group := &Group{
		options: options,
		log:     options.Log.WithName("peers"),
		client:  rtnet.Client(options.Network),
		nudge:   make(chan struct{}, 1),
		learnt:  make(chan struct{}, 1),
		started: time.Now(),
		peers:   make(map[rtid.Address]*peer),
	}
	group.AddSeeds(options.Seeds)
	return group
}

// SetSeeds adds seeds.
func (g *Group) AddSeeds(seeds []rtid.Address) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, seed := range seeds {
		g.learn(seed)
	}
}

// learn adds a peer by address. The caller holds mu.
func (g *Group) learn(address rtid.Address) *peer {
	if address == g.options.Address || address == "" {
		return nil
	}
	known := g.peers[address]
	if known == nil {
		known = &peer{}
		g.peers[address] = known
	}
	return known
}

// Alive returns how many processes of the cell are known to run, with this one.
func (g *Group) LiveInCell() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 1
	for _, p := range g.peers {
		if !p.far && time.Since(p.heard) < aliveTime {
			count++
		}
	}
	return count
}

// Processes returns how many processes may share budgets, with this one. Seeds
// that have not spoken count, because a process that has just started knows no
// others.
func (g *Group) BudgetProcesses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 1
	for _, p := range g.peers {
		if p.heard.IsZero() || time.Since(p.heard) < shareTime {
			count++
		}
	}
	if time.Since(g.started) < startTime {
		return max(count, startProcesses)
	}
	return count
}

// Nudge sends the next digest soon.
func (g *Group) TriggerDigest() { signal(g.nudge) }

// signal sends on a channel of capacity 1 unless it is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run exchanges digests until the context ends.
func (g *Group) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", string(g.options.Address))
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	listener, err := g.options.Network.Listen(g.options.Address)
	if err != nil {
		_ = socket.Close()
		return fmt.Errorf("peers: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(g.serveState), ReadHeaderTimeout: fetchTimeout}
	tasks := []*rttask.Task{
		rttask.Start(ctx, "receive digests", func(ctx context.Context) error { return g.receive(ctx, socket) }),
		rttask.Start(ctx, "serve state", func(context.Context) error { return server.Serve(listener) }),
		rttask.Start(ctx, "catch up", g.catchUp),
	}
	g.send(ctx, socket)
	_ = socket.Close()
	_ = server.Close()
	for _, task := range tasks {
		// The sockets have just been closed on purpose.
		_ = task.Stop()
	}
	return nil
}
