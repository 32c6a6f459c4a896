// Package rtagent is the sidecar process beside one target and the only path
// to it.
package rtagent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdump"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtledger"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmemory"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwarm"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Bounds of an agent's own memory.
const (
	maxWaiting            = 1024
	maxBodies  rtid.Bytes = 256 << 20 // waiting bodies together
	maxAnswers rtid.Bytes = 256 << 20 // answers together, checked when a request is offered
)

// Node is the part of rtnode.Node that the agent uses. Its methods must not
// be called while Agent.mu is held, because Status calls back.
type Node interface {
	Started() <-chan struct{}
	Document() (rtid.Version, *rtdocument.Document)
	SetReady(bool)
	SetDraining()
	Incarnation() rtid.Incarnation
	RaiseIncarnation(rtid.Incarnation)
	Status() *rtwire.Status
	HandleStatus(*rtwire.Status)
	AgentsOf(rtid.Service) []rtnode.AgentView
	Configuration() rtnode.Configuration
	Dump() rtnode.Dump
	Handler() http.Handler
	Run(context.Context) error
}

// Dependencies are what the agent gets from its program.
type Dependencies struct {
	Network        rtnet.Network
	Log            logr.Logger
	Metrics        *rtmetric.Metrics
	NewNode        func(rtnode.Options) Node  // nil for rtnode.New
	NewQueue       func(rtqueue.Limits) Queue // nil for rtqueue.New
	SinglePriority bool                       // whether all requests have one priority at the engine
}

// Agent is the state of one agent process.
type Agent struct {
	settings rtsettings.Agent
	network  rtnet.Network
	log      logr.Logger
	metrics  tally.Scope
	scrape   http.Handler
	dump     rtdump.Registry
	node     Node
	client   *http.Client
	engine   *rttarget.Engine  // nil beside a plain service
	service  *rttarget.Service // nil beside an engine
	wake     chan struct{}     // holds a value when the dispatcher has work
	check    chan struct{}     // holds a value when the target must be checked at once
	fenced   chan error        // holds the reason why a later agent owns the target
	failed   chan error        // ends of listeners, nil after a planned stop

	mu           sync.Mutex
	ledger       *rtledger.Ledger
	memory       *rtmemory.Account
	queue        Queue
	flat         bool // all requests have one priority at the engine
	warm         *rtwarm.Limit
	pace         pace
	pause        pause
	requests     map[rtid.Request]*request // until their answers are gone
	groupRetries map[rtid.Request]*request // wait for the next try to reserve memory elsewhere
	held         map[rtid.Request]bool     // holds at the engine for groups led elsewhere
	unowned      map[rtid.Request]bool     // unknown at the engine in the last reconciliation
	tasks        []*rttask.Task            // one a running request, owned by the dispatcher
	ready        bool
	leaving      bool
	down         bool       // the target does not answer
	suspect      bool       // the target broke a call and has not been checked since
	reported     time.Time  // when the last report of the target was asked for
	start        int64      // of the target, 0 before its first report
	broken       time.Time  // last failure of the target
	kept         rtid.Bytes // of all answers at the last tick
}

// New returns an agent that has not started.
func New(settings rtsettings.Agent, dependencies Dependencies) *Agent {
	now := time.Now()
	client := rtnet.Client(dependencies.Network)
	agent := &Agent{
		settings:     settings,
		network:      dependencies.Network,
		log:          dependencies.Log.WithName("agent"),
		metrics:      dependencies.Metrics.Scope,
		scrape:       dependencies.Metrics.Handler,
		client:       client,
		wake:         make(chan struct{}, 1),
		check:        make(chan struct{}, 1),
		fenced:       make(chan error, 1),
		failed:       make(chan error, listeners),
		ledger:       rtledger.New(rtledger.DefaultLimits, now),
		memory:       rtmemory.New(settings.KVMemory),
		queue:        newQueue(dependencies, queueLimits(settings)),
		flat:         dependencies.SinglePriority,
		warm:         rtwarm.New(settings.ColdSlots, settings.Slots),
		pace:         newPace(settings.PrefillRate),
		pause:        pause{latest: now},
		requests:     make(map[rtid.Request]*request),
		groupRetries: make(map[rtid.Request]*request),
		held:         make(map[rtid.Request]bool),
		unowned:      make(map[rtid.Request]bool),
	}
	if settings.Kind == "engine" {
		agent.engine = rttarget.NewEngine(client, settings.TargetAddress)
	} else {
		agent.service = rttarget.NewService(client, settings.TargetAddress)
	}
	agent.node = newNode(dependencies, rtnode.Options{
		Settings: settings.Common,
		Role:     rtwire.Role_ROLE_AGENT,
		Network:  dependencies.Network,
		Log:      dependencies.Log,
		Metrics:  dependencies.Metrics.Scope,
		Target:   settings.Target,
		Service:  settings.Service,
		Load:     agent.load,
		Epoch:    agent.epoch,
	})
	agent.dump.Add("agent", agent.state)
	agent.dump.Add("control", func() any { return agent.node.Dump() })
	return agent
}

func newNode(dependencies Dependencies, options rtnode.Options) Node {
	if dependencies.NewNode != nil {
		return dependencies.NewNode(options)
	}
	return rtnode.New(options)
}

// queueLimits lets long prompts prefill for as much as half of the memory at
// a time, so that the other half stays with shorter ones.
func queueLimits(settings rtsettings.Agent) rtqueue.Limits {
	return rtqueue.Limits{
		MaxWaiting:     maxWaiting,
		MaxBytes:       maxBodies,
		MaxLongPrefill: settings.KVMemory / 2,
	}
}

func (a *Agent) epoch() rtid.Epoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Epoch(time.Now())
}

// load returns the state of the target for the status of this process.
func (a *Agent) load() *rtwire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &rtwire.Load{
		Queued:  int64(a.queue.WaitingTokens()),
		Prefill: int64(a.queue.PrefillBacklog()),
		Running: uint32(a.queue.Running()),
		Limit:   uint32(a.warm.Current()),
		Slots:   uint32(a.settings.Slots),
		Rate:    a.pace.rateAt(time.Now()),
		Used:    int64(a.memory.Used()),
		Total:   int64(a.memory.Total()),
		Cold:    a.warm.Cold(),
	}
}

// signal wakes the dispatcher.
func (a *Agent) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
