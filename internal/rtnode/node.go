// Package rtnode is the control part that entries and agents share: the
// configuration in force, the list of VMs, heartbeats and status.
package rtnode

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Options are what a node needs from its program.
type Options struct {
	Settings rtsettings.Common
	Role     rtwire.Role
	Network  rtnet.Network
	Log      logr.Logger
	Metrics  tally.Scope

	// The rest is set by agents only.
	Target  rtid.Target
	Service rtid.Service
	Load    func() *rtwire.Load
	Epoch   func() rtid.Epoch
}

// View is what this process knows about one agent.
type View struct {
	Target  rtid.Target
	Service rtid.Service
	Zone    rtid.Zone
	Address rtid.Address
	Status  *rtwire.Status // last status heard, nil if none; read only
	Heard   time.Time      // when Status was heard
	Alive   bool           // heard within three heartbeat intervals
	Leaving bool           // by status or by the list of VMs
}

// Node is the control part of one process.
type Node struct {
	options Options
	client  *http.Client

	mu          sync.Mutex
	incarnation rtid.Incarnation // rises only
	ready       bool
	leaving     bool         // never goes back to false
	version     rtid.Version // rises only
	document    *rtdocument.Document
	body        []byte
	changed     chan struct{} // closed at the next change of version
	roster      rtid.Version  // version of members, rises only
	members     map[rtid.VM]*rtwire.Member
	heard       map[rtid.Target]View
	started     chan struct{}
}

// New returns a node that has not started.
func New(options Options) *Node {
	return &Node{
		options:     options,
		client:      rtnet.Client(options.Network),
		incarnation: rtid.NewIncarnation(time.Now()),
		changed:     make(chan struct{}),
		heard:       make(map[rtid.Target]View),
		started:     make(chan struct{}),
	}
}

// Started returns a channel that is closed when the node has learned the
// configuration from the platform or its peers, so that the process may serve.
func (n *Node) Started() <-chan struct{} { return n.started }

// Document returns the document in force and its version; nil and 0 before
// one is known. The document is read only.
func (n *Node) Document() (rtid.Version, *rtdocument.Document) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.document
}

// Changed returns a channel that is closed when a newer document is in force.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// SetReady tells peers whether this process serves requests.
func (n *Node) SetReady(ready bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = ready
}

// SetLeaving tells peers that this process takes no new work until its end.
func (n *Node) SetLeaving() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
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

// Status returns the status of this process for its peers.
func (n *Node) Status() *rtwire.Status {
	n.mu.Lock()
	status := &rtwire.Status{
		Vm:          string(n.options.Settings.VM),
		Role:        n.options.Role,
		Zone:        string(n.options.Settings.Zone),
		Address:     string(n.options.Settings.Peers),
		Incarnation: uint64(n.incarnation),
		Version:     uint64(n.version),
		Roster:      uint64(n.roster),
		Leaving:     n.leaving,
		Ready:       n.ready,
		Confirmed:   durationpb.New(0),
		Target:      string(n.options.Target),
		Service:     string(n.options.Service),
	}
	n.mu.Unlock()
	if n.options.Load != nil {
		status.Load = n.options.Load()
	}
	if n.options.Epoch != nil {
		status.Epoch = uint32(n.options.Epoch())
	}
	return status
}

// Observe takes in a status that came with any exchange, as a heartbeat.
func (n *Node) Observe(status *rtwire.Status) {
	if status == nil || status.Target == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard[rtid.Target(status.Target)] = View{
		Target:  rtid.Target(status.Target),
		Service: rtid.Service(status.Service),
		Zone:    rtid.Zone(status.Zone),
		Address: rtid.Address(status.Address),
		Status:  proto.Clone(status).(*rtwire.Status),
		Heard:   time.Now(),
		Alive:   true,
		Leaving: status.Leaving,
	}
}

// Targets returns the agents in this process's subset that serve a service,
// sorted by target.
func (n *Node) Targets(service rtid.Service) []View {
	n.mu.Lock()
	defer n.mu.Unlock()
	var views []View
	for _, member := range n.members {
		if member.Role == rtwire.Role_ROLE_AGENT && member.Service == string(service) {
			views = append(views, n.view(member))
		}
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Target, b.Target) })
	return views
}

// Find returns what is known about the agent of a target, in the subset or not.
func (n *Node) Find(target rtid.Target) (View, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, member := range n.members {
		if member.Role == rtwire.Role_ROLE_AGENT && member.Target == string(target) {
			return n.view(member), true
		}
	}
	view, found := n.heard[target]
	return view, found
}

// view joins the list of VMs with the last status heard. n.mu is held.
func (n *Node) view(member *rtwire.Member) View {
	view := View{
		Target:  rtid.Target(member.Target),
		Service: rtid.Service(member.Service),
		Zone:    rtid.Zone(member.Zone),
		Address: rtid.Address(member.Address),
	}
	if heard, found := n.heard[view.Target]; found {
		view = heard
		view.Alive = time.Since(heard.Heard) <= 3*n.heartbeat()
	}
	view.Leaving = view.Leaving || member.Leaving
	return view
}
