// Package rtpeer lets the gateways of a deployment discover each other and
// exchange their loads, cooldowns, evidence against parts of prompts, the rate
// limits that targets have named, the targets that are leaving and the revision of
// their published state.
//
// A process sends a small digest by UDP to the peers that it knows. When a peer
// reports a higher revision, and the process does not read the store or has not
// got the changes from it in time, it fetches the published state from that peer
// by HTTP.
package rtpeer

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeed"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rtquarantine"
	"github.com/rhubarbtally/rhubarbtally/internal/rtshare"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

const (
	// digestInterval is the shortest time between two digests of a process,
	// except for those that are sent at once.
	digestInterval = 150 * time.Millisecond
	// peersPerInterval is the number of peers in the cell for which the time
	// between digests is digestInterval. With more peers it grows in proportion,
	// so that the rate of digests that a process receives stays bounded.
	peersPerInterval = 6
	// aliveTimeout is how long a peer counts as alive after its last digest.
	aliveTimeout = 4 * time.Second
	// memberTimeout is how long a silent peer keeps its share of the budgets and
	// its place in the cells. It is longer than any window of a budget.
	memberTimeout = 30 * time.Second
	// discoveryTime is how long after its start a process assumes that at least
	// assumedProcesses share the budgets, because it may not know all peers yet.
	// A seed that receives its first digest replies at once with a list of
	// peers. assumedProcesses is about the size of the largest deployment at
	// present.
	discoveryTime    = rtlimit.DiscoveryTime
	assumedProcesses = 30
	// catchUpDelay is how long a reader waits for the store to return the
	// changes that a peer has, before it fetches them from that peer.
	catchUpDelay = 500 * time.Millisecond
	// keptFetchInterval is the shortest time between two fetches from a peer of what
	// it keeps in place of items of the store.
	keptFetchInterval = 500 * time.Millisecond
	// fetchTimeout is the timeout of fetching the state of a peer.
	fetchTimeout = 1500 * time.Millisecond
	// maxDigestBytes is the size limit of a digest.
	maxDigestBytes = 32 << 10
	// maxStateBytes is the size limit of a state fetched from a peer.
	maxStateBytes = 32 << 20
	// peerListRounds is how many digests are sent for each one that lists the
	// live peers.
	peerListRounds = 8
	// maxReaders is how many processes of a cell read the store for all. It is
	// high enough for one or two to fail or be refused by the store, because the
	// others detect that only after a while.
	maxReaders = 4
	// maxContactAge is the age of a reader's last response from the store up to
	// which it counts as a reader: the wait of a watch that returns no changes,
	// and a margin for its delay.
	maxContactAge = 2500 * time.Millisecond
	// unknownAge is the age that a process reports if the store never answered it.
	unknownAge = -1
	// maxListedPeers is how many peers a digest lists at most: after a new peer was
	// heard, which may know few others.
	maxListedPeers = 40
	// sampledPeers is how many peers every peerListRounds-th digest lists besides, so
	// that processes learn of one another that have missed the other lists.
	sampledPeers = 6
)

// LoadExchange is the part of a gateway whose loads and cooldowns peers exchange.
type LoadExchange interface {
	// LocalLoads returns the loads that this process has placed, by target.
	LocalLoads() map[rtid.Target]rtplacement.Load
	// SetPeerLoads replaces the loads that a peer has placed.
	SetPeerLoads(peer rtid.VM, loads map[rtid.Target]rtplacement.Load)
	// Cooldowns returns the remaining cooldowns of this process, by target, and
	// ApplyPeerCooldowns applies those of a peer.
	Cooldowns() map[rtid.Target]time.Duration
	ApplyPeerCooldowns(targets map[rtid.Target]time.Duration)
}

// EvidenceExchange is the part of a gateway whose evidence against parts of
// prompts peers exchange.
type EvidenceExchange interface {
	// Observations returns what this process knows, by itself or from peers, most
	// relevant first.
	Observations() []rtquarantine.Observation
	// MergeObservations adds what a peer knows. Observations that are known have
	// no effect.
	MergeObservations(observations []rtquarantine.Observation)
}

// LimitExchange is the part of a gateway whose knowledge of rate limits of targets
// peers exchange.
type LimitExchange interface {
	// RateLimits returns what targets have said to this process, the newest first.
	RateLimits() []rtlimit.Statement
	// MergeRateLimits adds what targets have said to a peer, in any order.
	MergeRateLimits(statements []rtlimit.Statement)
}

// LeaveExchange is the part of a gateway whose knowledge of leaving targets peers
// exchange.
type LeaveExchange interface {
	// LeavesToReport returns the starts of targets that have announced that they are
	// leaving and that peers may still take for usable, the newest first.
	LeavesToReport() []rtid.TargetIncarnation
	// MergeLeaves adds what a peer knows. What is known already has no effect.
	MergeLeaves(targets []rtid.TargetIncarnation)
}

// ShareExchange is the part of a gateway whose knowledge of the usage of organisations
// peers exchange.
type ShareExchange interface {
	// Uses returns what organisations have used through this process of services with
	// scarce capacity: the largest uses, most at most, and the sums of the rest.
	Uses(most int) []rtshare.Use
	// ScarceServices returns the services whose capacity is scarce in this process.
	ScarceServices() []rtid.Service
	// SetPeerUses records what a peer reports. Without uses the earlier ones stay.
	SetPeerUses(peer rtid.VM, uses []rtshare.Use, scarce []rtid.Service)
}

// Options are the settings and dependencies of a group.
type Options struct {
	VM        rtid.VM
	Address   rtid.Address // own address for UDP and HTTP between processes
	Seeds     []rtid.Address
	Network   rtnet.Network
	Feed      *rtfeed.Feed
	Loads     LoadExchange
	Evidence  EvidenceExchange // nil for none
	Limits    LimitExchange    // nil for none
	Leaves    LeaveExchange    // nil for none
	Outcomes  OutcomeExchange  // nil for none
	Refusals  RefusalExchange  // nil for none
	Forecasts ForecastExchange // nil for none
	Shares    ShareExchange    // nil for none
	Log       logr.Logger
	Scope     tally.Scope // nil for no metrics
}

// Group tracks the processes of the deployment that this one knows.
type Group struct {
	options   Options
	log       logr.Logger
	client    *http.Client
	sendNow   chan struct{} // capacity 1; signalled to send the next digest at once
	newerPeer chan struct{} // capacity 1; signalled when a peer reports a higher revision

	traffic traffic

	started time.Time
	// settledAt is when peers know this process, and it knows them. It is later
	// than the start, and than the end of a pause.
	settledAt atomic.Pointer[time.Time]

	droppedLogs map[netip.Addr]time.Time // last line about a dropped message, by sender; used by receiveDigests only

	refusalFindings map[rtid.VM]time.Time // last line about malformed refusals, by sender; used by receiveDigests only
	usesSent        time.Time             // last digest with uses of organisations; used by newDigest only

	newPeer atomic.Bool // set when a peer becomes alive, so that the next digest lists the live peers

	mu    sync.Mutex
	peers map[rtid.Address]*peer
	cell  rtplacement.Cell
	// heardRunning says that a peer was heard that has run for discoveryTime, and so
	// uses its own part of shared limits.
	heardRunning bool
	lastTick     time.Time // last call of detectPause
}

// peer is the last reported state of another process.
type peer struct {
	vm           rtid.VM // empty until its first digest
	lastDigest   time.Time
	revision     rtid.StoreRevision
	version      rtid.Version // of its configuration
	kept         uint64       // identifies what it keeps in place of items of the store; 0 for nothing
	keptFetched  time.Time    // when that was last fetched
	storeContact time.Time    // last response from the store that it reported; zero for none
	aheadSince   time.Time    // since when its revision is above the own one; zero if it is not
	delays       delayEstimate
	binary       bool // reads binaryCodec
	loggedAlive  bool // the last log line about it says that it is alive
	otherCell    bool // belongs to another cell
}

// New returns a group that knows its seeds only.
func New(options Options) *Group {
	group := &Group{
		options:   options,
		log:       options.Log.WithName("peers"),
		client:    rtnet.Client(options.Network),
		sendNow:   make(chan struct{}, 1),
		newerPeer: make(chan struct{}, 1),
		started:   time.Now(),
		peers:     make(map[rtid.Address]*peer),

		droppedLogs:     make(map[netip.Addr]time.Time),
		refusalFindings: make(map[rtid.VM]time.Time),
	}
	group.traffic.scope = options.Scope
	group.unsettle(group.started)
	group.AddSeeds(options.Seeds)
	return group
}

// unsettle records that this process may not know all peers, or they may not know
// it, for aliveTimeout.
func (g *Group) unsettle(now time.Time) {
	settledAt := now.Add(aliveTimeout)
	g.settledAt.Store(&settledAt)
}

// settled reports whether this process and its peers have had time to hear of one
// another.
func (g *Group) settled(now time.Time) bool { return !now.Before(*g.settledAt.Load()) }

// AddSeeds adds the addresses of peers to send digests to. It keeps those that
// are known already.
func (g *Group) AddSeeds(seeds []rtid.Address) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, seed := range seeds {
		g.addPeer(seed)
	}
}

// addPeer returns the peer with an address and adds it if it is not known. It
// returns nil for the own address. The caller holds mu.
func (g *Group) addPeer(address rtid.Address) *peer {
	if address == g.options.Address || address == "" {
		return nil
	}
	p := g.peers[address]
	if p == nil {
		p = &peer{}
		g.peers[address] = p
	}
	return p
}

// LiveInCell returns the number of live processes in the cell, including this
// one.
func (g *Group) LiveInCell() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 1
	for _, p := range g.peers {
		if !p.otherCell && time.Since(p.lastDigest) < aliveTimeout {
			count++
		}
	}
	return count
}

// BudgetProcesses returns the number of processes that may share the budgets,
// including this one. Seeds that have sent no digest yet count too, because a
// process that has just started knows no other peers.
func (g *Group) BudgetProcesses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budgetProcesses()
}

// budgetProcesses is BudgetProcesses for a caller that holds mu.
func (g *Group) budgetProcesses() int {
	count := 1
	for _, p := range g.peers {
		if p.lastDigest.IsZero() || time.Since(p.lastDigest) < memberTimeout {
			count++
		}
	}
	if time.Since(g.started) < discoveryTime {
		return max(count, assumedProcesses)
	}
	return count
}

// Share returns the place of this process among those that may share something,
// in an order that the key determines. A process that does not know all peers yet,
// or that they may have given up, is the last one.
func (g *Group) Share(key string) rtlimit.Share {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	share := rtlimit.Share{Processes: g.budgetProcesses()}
	if !g.settled(now) {
		share.Rank = max(share.Processes, assumedProcesses)
		share.Processes = share.Rank + 1
		return share
	}
	share.Rank = g.rank(key, now)
	return share
}

// BudgetShare returns the place of this process among BudgetProcesses. During
// discoveryTime it is the last one.
func (g *Group) BudgetShare(key string) rtlimit.Share {
	g.mu.Lock()
	defer g.mu.Unlock()
	rank, age := 0, time.Since(g.started)
	if age >= discoveryTime {
		rank = g.rank(key, time.Now())
	}
	position := float64(designationHash(key, g.options.VM)) / math.MaxUint64
	return rtlimit.StartShare(rank, g.budgetProcesses(), age, position, !g.heardRunning)
}

// rank returns how many known processes come before this one in the order that a
// key determines. The caller holds mu.
func (g *Group) rank(key string, now time.Time) int {
	own := designationHash(key, g.options.VM)
	rank := 0
	for _, p := range g.peers {
		if p.vm != "" && now.Sub(p.lastDigest) < memberTimeout && designationHash(key, p.vm) < own {
			rank++
		}
	}
	return rank
}

// Designated reports whether this process is the one of all live processes that
// a key designates. Processes that are cut off from one another designate one in
// each part, and one that has just started designates itself for nothing, because
// it does not know all others yet.
func (g *Group) Designated(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.settled(time.Now()) {
		return false
	}
	own := designationHash(key, g.options.VM)
	for _, p := range g.peers {
		if time.Since(p.lastDigest) < p.aliveTimeout() && designationHash(key, p.vm) < own {
			return false
		}
	}
	return true
}

// designationHash returns the hash that orders processes for a key.
func designationHash(key string, vm rtid.VM) uint64 {
	return xxhash.Sum64String(key + " " + string(vm))
}

// TriggerDigest makes the group send its next digest at once.
func (g *Group) TriggerDigest() { signal(g.sendNow) }

// signal sends to a channel of capacity 1 unless it is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run exchanges digests and states with peers until the context ends.
func (g *Group) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", string(g.options.Address))
	if err != nil {
		return fmt.Errorf("peers: resolve own address: %w", err)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return fmt.Errorf("peers: listen for digests: %w", err)
	}
	listener, err := g.options.Network.Listen(g.options.Address)
	if err != nil {
		_ = socket.Close()
		return fmt.Errorf("peers: listen for state requests: %w", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(g.serveState), ReadHeaderTimeout: fetchTimeout}
	tasks := []*rttask.Task{
		rttask.Start(ctx, "receive digests", func(ctx context.Context) error { return g.receiveDigests(ctx, socket) }),
		rttask.Start(ctx, "log traffic", g.logTraffic),
		rttask.Start(ctx, "serve state", func(context.Context) error { return server.Serve(listener) }),
		rttask.Start(ctx, "catch up", func(ctx context.Context) error { return g.keepCatchingUp(ctx, g.catchUp) }),
	}
	g.sendDigests(ctx, socket)
	_ = socket.Close()
	_ = server.Close()
	for _, task := range tasks {
		// The tasks fail because their sockets have just been closed.
		_ = task.Stop()
	}
	return nil
}
