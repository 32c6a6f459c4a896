// Package rtagent implements the sidecar process that runs beside one target.
// All requests reach the target through its agent.
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

// Limits on the memory that an agent uses for requests and answers.
const (
	maxWaiting                 = 1024
	maxWaitingBytes rtid.Bytes = 256 << 20 // bodies of all waiting requests
	maxAnswerBytes  rtid.Bytes = 256 << 20 // all stored answers, checked when a request is offered
)

// Node is the part of rtnode.Node that the agent uses. Its methods must not
// be called while Agent.mu is held: Status calls Agent.load and Agent.epoch,
// which lock it.
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

// Dependencies holds the collaborators that the program passes to New.
type Dependencies struct {
	Network        rtnet.Network
	Log            logr.Logger
	Metrics        *rtmetric.Metrics
	NewNode        func(rtnode.Options) Node  // nil selects rtnode.New
	NewQueue       func(rtqueue.Limits) Queue // nil selects rtqueue.New
	SinglePriority bool                       // sends every request to the engine with priority 0
}

// Agent is one agent process.
type Agent struct {
	settings       rtsettings.Agent
	network        rtnet.Network
	log            logr.Logger
	metrics        tally.Scope
	metricsHandler http.Handler
	dump           rtdump.Registry
	node           Node
	client         *http.Client
	engine         *rttarget.Engine  // nil beside a plain service
	service        *rttarget.Service // nil beside an engine
	wake           chan struct{}     // holds a value while the dispatcher has work
	checkNow       chan struct{}     // holds a value while a check of the target is requested
	fenced         chan error        // receives the error that ends Run when a later agent owns the target
	serverEnded    chan error        // one result per server when it stops, nil after a planned shutdown

	mu                sync.Mutex
	ledger            *rtledger.Ledger
	memory            *rtmemory.Account
	queue             Queue
	singlePriority    bool // every request has priority 0 at the engine
	warmUp            *rtwarm.Limit
	speed             speedEstimate
	pauses            pauseDetector
	requests          map[rtid.Request]*request // accepted requests, until their answers are freed
	groupRetries      map[rtid.Request]*request // wait for the next attempt to reserve memory at other engines
	groupReservations map[rtid.Request]bool     // memory reserved at this engine for prompts that other agents lead
	unownedMemory     map[rtid.Request]bool     // memory listed by the engine without an owner here at the last reconciliation
	tasks             []*rttask.Task            // runs of requests and calls that free reservations; stopped by the dispatcher
	ready             bool
	draining          bool
	targetDown        bool       // the last check of the target failed
	checkPending      bool       // a call to the target failed and no check has completed since
	lastReport        time.Time  // when the last load report of the target was requested
	targetStart       int64      // start ID of the target, 0 before its first report
	lastFailure       time.Time  // time of the last failed call to the target
	answerBytes       rtid.Bytes // size of all stored answers at the last tick
}

// New returns an agent that is not running yet.
func New(settings rtsettings.Agent, dependencies Dependencies) *Agent {
	now := time.Now()
	client := rtnet.Client(dependencies.Network)
	agent := &Agent{
		settings:          settings,
		network:           dependencies.Network,
		log:               dependencies.Log.WithName("agent"),
		metrics:           dependencies.Metrics.Scope,
		metricsHandler:    dependencies.Metrics.Handler,
		client:            client,
		wake:              make(chan struct{}, 1),
		checkNow:          make(chan struct{}, 1),
		fenced:            make(chan error, 1),
		serverEnded:       make(chan error, listenerCount),
		ledger:            rtledger.New(rtledger.DefaultLimits, now),
		memory:            rtmemory.New(settings.KVMemory),
		queue:             newQueue(dependencies, queueLimits(settings)),
		singlePriority:    dependencies.SinglePriority,
		warmUp:            rtwarm.New(settings.ColdSlots, settings.Slots),
		speed:             newSpeedEstimate(settings.PrefillRate),
		pauses:            pauseDetector{lastSeen: now},
		requests:          make(map[rtid.Request]*request),
		groupRetries:      make(map[rtid.Request]*request),
		groupReservations: make(map[rtid.Request]bool),
		unownedMemory:     make(map[rtid.Request]bool),
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

// queueLimits allows running long prompts to prefill at most half of the KV
// memory at a time. The other half stays available to shorter prompts.
func queueLimits(settings rtsettings.Agent) rtqueue.Limits {
	return rtqueue.Limits{
		MaxWaiting:     maxWaiting,
		MaxBytes:       maxWaitingBytes,
		MaxLongPrefill: settings.KVMemory / 2,
	}
}

func (a *Agent) epoch() rtid.Epoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Epoch(time.Now())
}

// load returns the load of the target, which the node sends in its status.
func (a *Agent) load() *rtwire.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &rtwire.Load{
		Queued:  int64(a.queue.WaitingTokens()),
		Prefill: int64(a.queue.PrefillBacklog()),
		Running: uint32(a.queue.Running()),
		Limit:   uint32(a.warmUp.Current()),
		Slots:   uint32(a.settings.Slots),
		Rate:    a.speed.predictedRate(time.Now()),
		Used:    int64(a.memory.Used()),
		Total:   int64(a.memory.Total()),
		Cold:    a.warmUp.Cold(),
	}
}

// wakeDispatcher makes the dispatcher run before its next tick.
func (a *Agent) wakeDispatcher() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
