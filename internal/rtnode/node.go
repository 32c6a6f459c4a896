// Package rtnode implements the control plane that entries and agents share:
// the configuration in force, the list of VMs, heartbeats and status.
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

// Options configures a node.
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

// AgentView is one agent as this process knows it from the agent's last status
// and the list of VMs.
type AgentView struct {
	Target           rtid.Target
	Service          rtid.Service
	Zone             rtid.Zone
	Address          rtid.Address
	Status           *rtwire.Status // last status received, nil if none; read only
	StatusReceivedAt time.Time      // zero if Status is nil
	Alive            bool           // a status was received within three heartbeat intervals
	Draining         bool           // according to its status or the list of VMs
}

// Node is the control plane of one process.
type Node struct {
	options       Options
	self          rtplatform.Member
	peers         peerClient
	platform      rtplatform.Client
	store         *rtconfig.Store
	counters      counters
	compressed    compressedDocument
	started       chan struct{}
	firstReadDone chan struct{}       // closed after the first attempt to read the platform
	pullQueue     chan *rtwire.Status // statuses of peers with a newer document or list of VMs

	mu                sync.Mutex
	incarnation       rtid.Incarnation // never decreases
	ready             bool
	draining          bool          // never reset to false
	drainStarted      chan struct{} // closed when draining becomes true
	confirmedAt       time.Time     // when a reader last confirmed that the version in force is the newest; zero if never
	runStarted        time.Time     // start of Run
	table             rtmember.Table
	designatedReader  bool                           // designated reader according to the list of VMs
	actingReader      bool                           // watches the platform because no designated reader confirmed the version
	confirmedByPeer   bool                           // a peer's confirmation was stored since actingReader was last set or reviewed
	rosterChanged     chan struct{}                  // closed when the list of VMs changes or actingReader becomes true
	subset            []rtplatform.Member            // agents that an entry sends heartbeats to, sorted by VM
	targets           map[rtid.Service][]rtid.Target // of the subset, or of an agent's own zone and service; sorted
	subsetVersion     rtid.Version                   // version of the list of VMs that subset was computed from
	subsetHadUnlisted bool                           // subset may contain agents that the list does not name
	interval          time.Duration                  // of heartbeats
	activePulls       map[pullKind]pull
}

// defaultHeartbeat is the heartbeat interval if the settings have none.
const defaultHeartbeat = time.Second

// New returns a node that has not started.
func New(options Options) *Node {
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	options.Log = options.Log.WithName("control")
	node := &Node{
		options:       options,
		peers:         newPeerClient(options.Network),
		platform:      rtplatform.Client{HTTP: rtnet.Client(options.Network), Address: options.Settings.PlatformAddress},
		store:         rtconfig.New(rtdocument.Decode),
		counters:      newCounters(options.Metrics),
		started:       make(chan struct{}),
		firstReadDone: make(chan struct{}),
		pullQueue:     make(chan *rtwire.Status, maxQueuedPulls),
		incarnation:   rtid.NewIncarnation(time.Now()),
		drainStarted:  make(chan struct{}),
		runStarted:    time.Now(),
		rosterChanged: make(chan struct{}),
		activePulls:   make(map[pullKind]pull),
	}
	node.self = selfOf(options)
	node.updateInterval()
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

// Started returns a channel that is closed when the node has a configuration
// from the platform or a peer, so that the process may serve requests.
func (n *Node) Started() <-chan struct{} { return n.started }

// Document returns the version of the document in force and the document, or 0
// and nil if there is none yet. The document is read only.
func (n *Node) Document() (rtid.Version, *rtdocument.Document) {
	current := n.store.Current()
	return current.Version, current.Document
}

// Changed returns a channel that is closed when a newer document is in force.
func (n *Node) Changed() <-chan struct{} { return n.store.Changed() }

// SetReady sets whether the status of this process reports it as serving
// requests.
func (n *Node) SetReady(ready bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = ready
}

// SetDraining marks this process as draining, which means that it accepts no
// new work until it exits, and notifies peers at once.
func (n *Node) SetDraining() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.draining {
		n.draining = true
		close(n.drainStarted)
	}
}

// Incarnation returns the incarnation of this process.
func (n *Node) Incarnation() rtid.Incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// RaiseIncarnation raises the incarnation to floor if it is lower. Agents call
// it before they serve, if their target has seen a higher fencing number.
func (n *Node) RaiseIncarnation(floor rtid.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation = max(n.incarnation, floor)
}

// AgentsOf returns the agents of a service: in an entry those of its subset, in
// an agent those of its own zone and service. They are sorted by target.
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

// Find returns the agent of a target, whether or not it is in the subset.
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
