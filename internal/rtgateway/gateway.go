package rtgateway

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdelivery"
	"github.com/rhubarbtally/rhubarbtally/internal/rtexchange"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfeature"
	"github.com/rhubarbtally/rhubarbtally/internal/rtforecast"
	"github.com/rhubarbtally/rhubarbtally/internal/rthelper"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtintake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnotice"
	"github.com/rhubarbtally/rhubarbtally/internal/rtoutlier"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rtquarantine"
	"github.com/rhubarbtally/rhubarbtally/internal/rtreturn"
)

// Settings are the settings of a gateway at its start. SetBounds changes
// Bounds later.
type Settings struct {
	VM        rtid.VM
	Zone      rtid.Zone
	Callers   rtid.Address // where callers are served
	Readiness rtid.Address // where readiness probes are answered
	Metrics   rtid.Address
	Bounds    Bounds
	Features  rtfeature.Settings // that hold where the configuration calls for them
	Intake    rtintake.Limits    // on what callers may use; the zero value bounds nothing
}

// Bounds are published limits. Those on retries and on cold targets hold for all
// processes together.
type Bounds struct {
	RetryRatio     float64       // retries allowed for each request of a service
	RetryAllowance float64       // further retries allowed to all processes in a window
	RetryWindow    time.Duration // over which requests and retries are counted
	Grace          time.Duration // from the signal to stop until the process is killed
	ColdFactor     float64       // allowed multiple of the rate that a cold target sustains
	ColdSlack      float64       // requests per second allowed in addition
}

// Views returns the current view of the published state.
type Views interface {
	View() *rtcatalog.View
}

// Peers counts the gateways of a deployment.
type Peers interface {
	// Cell returns the cell that this process belongs to.
	Cell() rtplacement.Cell
	// LiveInCell returns the number of live processes of the cell, including
	// this one.
	LiveInCell() int
	// BudgetProcesses returns the number of processes that may use shared
	// budgets, including this one. It is never less than the true number.
	BudgetProcesses() int
	// Share returns the place of this process among those that may send to a
	// target with a limit, in an order that the key determines.
	Share(key string) rtlimit.Share
	// BudgetShare returns the place of this process among those that may use a
	// budget, of which there are BudgetProcesses.
	BudgetShare(key string) rtlimit.Share
	// Designated reports whether this process is the one of all live processes
	// that a key designates.
	Designated(key string) bool
}

// Dependencies are what a gateway needs from its program.
type Dependencies struct {
	Network rtnet.Network
	Log     logr.Logger
	Metrics *rtmetric.Metrics
	Dialect Dialect
	Views   Views
	Peers   Peers
	OnNews  func() // called after a change that peers should soon know of
}

// Gateway is a process that serves callers from targets.
type Gateway struct {
	settings      Settings
	network       rtnet.Network
	log           logr.Logger
	metrics       *rtmetric.Metrics
	dialect       Dialect
	views         Views
	peers         Peers
	onNews        func()
	drainingSince atomic.Pointer[time.Time] // start of the graceful shutdown; nil before it
	refusingFrom  atomic.Pointer[time.Time] // when it refuses new requests; nil before drainingSince
	started       time.Time

	activeConnections atomic.Int64    // of callers, on which a request is read or served
	grace             context.Context // ends with the grace period of a planned stop
	endGrace          context.CancelCauseFunc

	background    background
	lateResponses atomic.Int64       // that abandoned attempts still wait for
	bodies        *rtexchange.Budget // memory of long responses and events
	intake        *intake

	mu           sync.Mutex
	bounds       Bounds
	loads        rtplacement.LoadTracker
	schedulers   map[rtid.Service]*rtplacement.Scheduler
	retries      map[rtid.Service]*rtlimit.RetryShare
	recentSends  map[rtid.Target]*rtlimit.Window // of the last rtlimit.TargetWindow
	cellEngines  map[rtid.Service]cellEngines
	born         map[rtid.Target]rtid.Incarnation // start of the target that the records below are about
	cooldowns    map[rtid.Target]cooldown
	lastReceived map[rtid.Target]time.Time    // when data of a target was last received
	checks       map[rtid.Target]*targetCheck // the last one of each target
	quarantine   rtquarantine.Register
	truncations  rtdelivery.Truncations
	rateLimits   rtlimit.TargetLimits
	limitLogs    map[rtid.Target]limitLog
	limitWaiting map[rtid.Service]int // requests that wait for a place at a limited target
	leaves       rtnotice.Leaves
	backoffs     rtnotice.Backoffs
	forecasts    rtforecast.Estimator
	sharing      sharing
	hedging      hedging
	returns      map[rtid.Service]*rtreturn.Schedule

	outliers       rtoutlier.Tracker
	helperRefusals rthelper.Refusals

	noticeFindings, backoffLogs, outlierLogs lineLimiter
}

// New returns a gateway that has not started.
func New(settings Settings, dependencies Dependencies) *Gateway {
	grace, endGrace := context.WithCancelCause(context.Background())
	return &Gateway{
		grace:        grace,
		endGrace:     endGrace,
		settings:     settings,
		network:      dependencies.Network,
		log:          dependencies.Log.WithName("gateway"),
		metrics:      dependencies.Metrics,
		dialect:      dependencies.Dialect,
		views:        dependencies.Views,
		peers:        dependencies.Peers,
		bodies:       rtexchange.NewBudget(responseMemory(settings.Intake)),
		intake:       newIntake(settings.Intake, dependencies.Log, dependencies.Metrics),
		onNews:       dependencies.OnNews,
		started:      time.Now(),
		bounds:       settings.Bounds,
		schedulers:   make(map[rtid.Service]*rtplacement.Scheduler),
		retries:      make(map[rtid.Service]*rtlimit.RetryShare),
		recentSends:  make(map[rtid.Target]*rtlimit.Window),
		cellEngines:  make(map[rtid.Service]cellEngines),
		born:         make(map[rtid.Target]rtid.Incarnation),
		cooldowns:    make(map[rtid.Target]cooldown),
		lastReceived: make(map[rtid.Target]time.Time),
		checks:       make(map[rtid.Target]*targetCheck),
		limitLogs:    make(map[rtid.Target]limitLog),
		limitWaiting: make(map[rtid.Service]int),
		returns:      make(map[rtid.Service]*rtreturn.Schedule),
	}
}

// SetBounds changes the bounds.
func (g *Gateway) SetBounds(bounds Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bounds = bounds
}

// features returns the optional features that hold in a view.
func (g *Gateway) features(view *rtcatalog.View) rtfeature.Settings {
	if view == nil {
		return rtfeature.Settings{}
	}
	return g.settings.Features.For(view.Configuration)
}

// LocalLoads returns the loads from the requests of this process, for its
// peers.
func (g *Gateway) LocalLoads() map[rtid.Target]rtplacement.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loads.LocalLoads(time.Now())
}

// SetPeerLoads stores the loads that a peer reports.
func (g *Gateway) SetPeerLoads(peer rtid.VM, loads map[rtid.Target]rtplacement.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads.SetPeerLoads(peer, loads, time.Now())
}

// Ready reports whether the load balancer should send new callers here.
func (g *Gateway) Ready() bool {
	return g.drainingSince.Load() == nil && g.views.View().Complete()
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	done := resetUntilDone(r)
	g.serve(w, r)
	done() // not after a panic, which breaks the response off
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{w: w, r: r, arrived: time.Now(), view: g.views.View(), info: g.dialect.ParseRequest(r)}
	defer g.returnMemory(q) // no further attempt is possible
	for _, stage := range stages {
		if refused := stage(g, q); refused != nil {
			g.refuse(q, refused)
			return
		}
	}
	ctx, leave := g.withinGrace(r.Context())
	defer leave()
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if refused := newDelivery(g, q).run(ctx); refused != nil {
		g.refuse(q, refused)
	}
}

// refuse logs and writes a refusal.
func (g *Gateway) refuse(q *request, r *refusal) {
	fields := []any{"request", q.info.ID, "status", r.status, "reason", r.reason,
		"detail", r.detail, "prompt", q.work.Prompt, "after", r.retryAfter.String(), "version", configurationVersion(q.view), "took", time.Since(q.arrived).String()}
	g.noteRefusal(q, r)
	g.log.Info("Refused.", append(fields, g.organisationFields(q)...)...)
	g.metrics.Scope.Tagged(map[string]string{"reason": r.reason}).Counter("refused").Inc(1)
	r.write(q.w)
}

func configurationVersion(view *rtcatalog.View) rtid.Version {
	if view == nil || view.Configuration == nil {
		return 0
	}
	return view.Configuration.Version
}

// targetHash orders targets alike in all processes.
func targetHash(target rtid.Target) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(target)) // never fails
	return sum.Sum32()
}

// pickService picks one of a route's services at random, by weight.
func pickService(route *rtcatalog.Route) rtid.Service {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	at := rand.Float64() * total
	for _, share := range route.Shares {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return route.Shares[len(route.Shares)-1].Service
}
