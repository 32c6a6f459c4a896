// Package rtpeer lets the serving processes of a deployment find each other and
// tell each other what they have placed and how much they know.
//
// A process sends a small digest by UDP to the peers that it knows, and fetches
// the published state by HTTP from a peer that knows more while it cannot
// learn it itself.
package rtpeer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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

// Loads is the part of a gateway that peers exchange.
type Loads interface {
	Loads() map[rtid.Target]rtplacement.Load
	Report(peer rtid.VM, loads map[rtid.Target]rtplacement.Load)
	// Suspects returns the targets that this process avoids, and Avoid takes in
	// those of a peer.
	Suspects() map[rtid.Target]time.Duration
	Avoid(targets map[rtid.Target]time.Duration)
}

// Options are the parts of a group.
type Options struct {
	VM      rtid.VM
	Address rtid.Address // of UDP and HTTP between processes
	Seeds   []rtid.Address
	Network rtnet.Network
	Feed    *rtfeed.Feed
	Loads   Loads
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
}

// peer is what is known of another process.
type peer struct {
	vm       rtid.VM // empty until it has spoken
	heard    time.Time
	revision uint64
	contact  time.Time // with the store, as it says; zero for none
	behind   time.Time // when this process was first seen behind it; zero if it is not
	alive    bool      // as last logged
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
	group.SetSeeds(options.Seeds)
	return group
}

// SetSeeds adds seeds.
func (g *Group) SetSeeds(seeds []rtid.Address) {
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

// Alive returns how many processes are known to run, with this one.
func (g *Group) Alive() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 1
	for _, p := range g.peers {
		if time.Since(p.heard) < aliveTime {
			count++
		}
	}
	return count
}

// Processes returns how many processes may share budgets, with this one. Seeds
// that have not spoken count, because a process that has just started knows no
// others.
func (g *Group) Processes() int {
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
func (g *Group) Nudge() { signal(g.nudge) }

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

// catchUp fetches what a peer knows more, and decides whether this process
// asks the store itself.
func (g *Group) catchUp(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-g.learnt:
		}
		reader := g.reader(time.Now())
		g.options.Feed.SetReader(reader)
		address, ok := g.ahead(reader)
		if !ok {
			continue
		}
		delta, err := g.fetch(ctx, address)
		if err != nil {
			g.log.Info("State of a peer not fetched.", "peer", address, "error", err.Error())
			g.forget(address)
			continue
		}
		g.options.Feed.Adopt(delta, string(address))
	}
}

// reader reports whether this process is one of the first, in an order that all
// share, of those that the store answers. One that the store turns away asks
// on, without counting for the others.
func (g *Group) reader(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := 0
	for _, p := range g.peers {
		if now.Sub(p.heard) < freshContact && now.Sub(p.contact) < freshContact && readerRank(p.vm) < readerRank(g.options.VM) {
			before++
		}
	}
	return before < maxReaders
}

// readerRank orders processes.
func readerRank(vm rtid.VM) uint64 { return xxhash.Sum64String("reader " + string(vm)) }

// forget passes over a peer that did not answer until it speaks again.
func (g *Group) forget(address rtid.Address) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[address]; p != nil {
		p.revision = 0
	}
}

// ahead returns a live peer that knows more. A reader gives the store some time
// to tell it the same.
func (g *Group) ahead(reader bool) (rtid.Address, bool) {
	own := g.options.Feed.Revision()
	g.mu.Lock()
	defer g.mu.Unlock()
	var best rtid.Address
	for address, p := range g.peers {
		silent := time.Since(p.heard) > aliveTime
		if silent && p.alive {
			p.alive = false
			g.log.Info("Peer is silent.", "peer", p.vm, "address", address)
		}
		if silent || p.revision <= own {
			continue
		}
		if reader && own > 0 && (p.behind.IsZero() || time.Since(p.behind) < behindTime) {
			continue
		}
		if best == "" || p.revision > g.peers[best].revision {
			best = address
		}
	}
	return best, best != ""
}

// fetch reads the state of a peer.
func (g *Group) fetch(ctx context.Context, address rtid.Address) (rtfeed.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	target := fmt.Sprintf("http://%s/state?after=%d", address, g.options.Feed.Revision())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return rtfeed.Delta{}, fmt.Errorf("create request: %w", err)
	}
	response, err := g.client.Do(request)
	if err != nil {
		return rtfeed.Delta{}, fmt.Errorf("fetch state: %w", err)
	}
	// The body has been read as far as it is needed.
	defer func() { _ = response.Body.Close() }()
	var delta rtfeed.Delta
	if err := json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&delta); err != nil {
		return rtfeed.Delta{}, fmt.Errorf("decode state: %w", err)
	}
	return delta, nil
}

// serveState answers a peer with what it lacks.
func (g *Group) serveState(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.options.Feed.Delta(after)); err != nil {
		g.log.Info("State not sent to a peer.", "error", err.Error())
	}
}
