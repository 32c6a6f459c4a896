// Package rtnode is the control part that entries and agents share: the
// configuration in force, the list of VMs, heartbeats and status.
package rtnode

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/rhubarbtally/rhubarbtally/internal/rtconfig"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmember"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Options are what a node needs from its program.
type Options struct {
	Settings rtsettings.Common
	Role     rtwire.Role
	Network  rtnet.Network
	Log      logr.Logger
	Metrics  tally.Scope // nil for none

	// The rest is set by agents only.
	Target  rtid.Target
	Service rtid.Service
	Load    func() *rtwire.Load
	Epoch   func() rtid.Epoch
}

// View is what this process knows about one agent.
type AgentView struct {
	Target           rtid.Target
	Service          rtid.Service
	Zone             rtid.Zone
	Address          rtid.Address
	Status           *rtwire.Status // last status heard, nil if none; read only
	StatusReceivedAt time.Time      // when Status was heard
	Alive            bool           // heard within three heartbeat intervals
	Draining         bool           // by status or by the list of VMs
}

// Node is the control part of one process.
type Node struct {
	options  Options
	self     rtplatform.Member
	peers    peerClient
	platform rtplatform.Client
	store    *rtconfig.Store
	counters counters
	packed   packed
	started  chan struct{}
	tried    chan struct{}       // closed after the first read of the platform
	pulls    chan *rtwire.Status // peers that know more than this process

	mu             sync.Mutex
	incarnation    rtid.Incarnation // rises only
	ready          bool
	leaving        bool          // never goes back to false
	left           chan struct{} // closed when leaving becomes true
	confirmed      time.Time     // when a reader last found the version in force to be the newest; zero if never
	begun          time.Time     // start of Run
	table          rtmember.Table
	reader         bool                           // designated reader by the list of VMs
	acting         bool                           // reads because the readers were silent
	confirmedBy    bool                           // another process confirmed while acting
	listChanged    chan struct{}                  // closed at the next change of the list of VMs or of acting
	subset         []rtplatform.Member            // agents that get heartbeats, sorted by VM
	targets        map[rtid.Service][]rtid.Target // of the subset, sorted
	chosenFrom     rtid.Version                   // list that subset was chosen from
	chosenUnlisted bool                           // subset may hold agents that the list does not name
	interval       time.Duration                  // of heartbeats
	pulling        map[pullKind]pull
}

// defaultHeartbeat is the interval of heartbeats without a setting.
const defaultHeartbeat = time.Second

// New returns a node that has not started.
func New(options Options) *Node {
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	options.Log = options.Log.WithName("control")
	node := &Node{
		options:     options,
		peers:       newPeerClient(options.Network),
		platform:    rtplatform.Client{HTTP: rtnet.Client(options.Network), Address: options.Settings.PlatformAddress},
		store:       rtconfig.New(rtdocument.Decode),
		counters:    newCounters(options.Metrics),
		started:     make(chan struct{}),
		tried:       make(chan struct{}),
		pulls:       make(chan *rtwire.Status, maxPulls),
		incarnation: rtid.NewIncarnation(time.Now()),
		left:        make(chan struct{}),
		begun:       time.Now(),
		listChanged: make(chan struct{}),
		pulling:     make(map[pullKind]pull),
	}
	node.self = selfOf(options)
	node.setInterval()
	return node
}

func selfOf(options Options) rtplatform.Member {
	self := rtplatform.Member{
		VM:      options.Settings.VM,
		Role:    rtplatform.RoleEntry,
		Zone:    options.Settings.Zone,
		Address: options.Settings.PeerAddress,
		State:   rtplatform.StateLive,
		Target:  options.Target,
		Service: options.Service,
	}
	if options.Role == rtwire.Role_ROLE_AGENT {
		self.Role = rtplatform.RoleAgent
	}
	return self
}

// Started returns a channel that is closed when the node has learned the
// configuration from the platform or its peers, so that the process may serve.
func (n *Node) Started() <-chan struct{} { return n.started }

// Document returns the document in force and its version; nil and 0 before
// one is known. The document is read only.
func (n *Node) Document() (rtid.Version, *rtdocument.Document) {
	current := n.store.Current()
	return current.Version, current.Document
}

// Changed returns a channel that is closed when a newer document is in force.
func (n *Node) Changed() <-chan struct{} { return n.store.Changed() }

// SetReady tells peers whether this process serves requests.
func (n *Node) SetReady(ready bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = ready
}

// SetLeaving tells peers that this process takes no new work until its end.
func (n *Node) SetDraining() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leaving {
		n.leaving = true
		close(n.left)
	}
}

// Incarnation returns the incarnation of this process.
func (n *Node) Incarnation() rtid.Incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// RaiseIncarnation makes the incarnation at least floor. Agents call it
// before they serve, when their target has seen a higher fencing number.
func (n *Node) RaiseIncarnation(floor rtid.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation = max(n.incarnation, floor)
}

// Targets returns the agents in this process's subset that serve a service,
// sorted by target.
func (n *Node) AgentsOf(service rtid.Service) []AgentView {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var views []AgentView
	for _, target := range n.targets[service] {
		if agent, found := n.table.Find(target, now); found {
			views = append(views, viewOf(target, agent))
		}
	}
	return views
}

// Find returns what is known about the agent of a target, in the subset or not.
func (n *Node) Find(target rtid.Target) (AgentView, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	agent, found := n.table.Find(target, time.Now())
	if !found {
		return AgentView{}, false
	}
	return viewOf(target, agent), true
}

func viewOf(target rtid.Target, agent rtmember.Agent) AgentView {
	return AgentView{
		Target:           target,
		Service:          agent.Member.Service,
		Zone:             agent.Member.Zone,
		Address:          agent.Member.Address,
		Status:           agent.LastStatus.Status,
		StatusReceivedAt: agent.LastStatus.ReceivedAt,
		Alive:            agent.Alive,
		Draining:         agent.Draining,
	}
}
