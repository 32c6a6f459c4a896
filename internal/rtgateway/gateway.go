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
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// Settings are what a gateway learns at its start. Bounds may change later.
type Settings struct {
	VM        rtid.VM
	Zone      rtid.Zone
	Callers   rtid.Address
	Readiness rtid.Address
	Metrics   rtid.Address
	Bounds    Bounds
}

// Bounds are the published figures that promises over all processes keep to.
type Bounds struct {
	RetryRatio     float64       // retries for each request of a service
	RetryAllowance float64       // further retries of all processes in a window
	RetryWindow    time.Duration // of the two above
	Grace          time.Duration // from the signal to stop until the kill
	ColdFactor     float64       // of the rate that a cold target bears
	ColdSlack      float64       // requests a second beyond it
}

// Views tells what is published.
type Views interface {
	View() *rtcatalog.View
}

// Peers counts the gateways of a deployment.
type Peers interface {
	// Cell returns the part of the deployment that this one belongs to.
	Cell() rtplacement.Cell
	// Alive returns those of the cell that are known to run, with this one.
	LiveInCell() int
	// Processes returns those that may share budgets, with this one. It is
	// never less than there are.
	BudgetProcesses() int
}

// Dependencies are what a gateway needs from its program.
type Dependencies struct {
	Network     rtnet.Network
	Log         logr.Logger
	Metrics     *rtmetric.Metrics
	Dialect     Dialect
	Views       Views
	Peers       Peers
	OnPlacement func() // called after a placement that peers should know soon
}

// Gateway is one serving process.
type Gateway struct {
	settings Settings
	network  rtnet.Network
	log      logr.Logger
	metrics  *rtmetric.Metrics
	dialect  Dialect
	views    Views
	peers    Peers
	placed   func()
	leaving  atomic.Pointer[time.Time] // since when; nil while it serves
	started  time.Time

	background background

	mu         sync.Mutex
	bounds     Bounds
	book       rtplacement.LoadTracker
	schedulers map[rtid.Service]*rtplacement.Scheduler
	retries    map[rtid.Service]*rtlimit.RetryShare
	starts     map[rtid.Target]*rtlimit.Window // sends of the last second
	own        map[rtid.Service]ownEngines
	suspects   map[rtid.Target]suspicion
	heard      map[rtid.Target]time.Time // last bytes of a target
}

// New returns a gateway that has not started.
func New(settings Settings, dependencies Dependencies) *Gateway {
	return &Gateway{
		settings:   settings,
		network:    dependencies.Network,
		log:        dependencies.Log.WithName("gateway"),
		metrics:    dependencies.Metrics,
		dialect:    dependencies.Dialect,
		views:      dependencies.Views,
		peers:      dependencies.Peers,
		placed:     dependencies.OnPlacement,
		started:    time.Now(),
		bounds:     settings.Bounds,
		schedulers: make(map[rtid.Service]*rtplacement.Scheduler),
		retries:    make(map[rtid.Service]*rtlimit.RetryShare),
		starts:     make(map[rtid.Target]*rtlimit.Window),
		own:        make(map[rtid.Service]ownEngines),
		suspects:   make(map[rtid.Target]suspicion),
		heard:      make(map[rtid.Target]time.Time),
	}
}

// SetBounds changes the bounds.
func (g *Gateway) SetBounds(bounds Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bounds = bounds
}

// Loads returns the loads by the work of this process, for its peers.
func (g *Gateway) LocalLoads() map[rtid.Target]rtplacement.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.LocalLoads(time.Now())
}

// Report takes in the loads of a peer.
func (g *Gateway) SetPeerLoads(peer rtid.VM, loads map[rtid.Target]rtplacement.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.SetPeerLoads(peer, loads, time.Now())
}

// Ready reports whether new callers are welcome.
func (g *Gateway) Ready() bool {
	return g.leaving.Load() == nil && g.views.View().Complete()
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{w: w, r: r, arrived: time.Now(), view: g.views.View(), facts: g.dialect.ParseRequest(r)}
	for _, stage := range stages {
		if refused := stage(g, q); refused != nil {
			g.refuse(q, refused)
			return
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if refused := newDelivery(g, q).run(ctx); refused != nil {
		g.refuse(q, refused)
	}
}

// refuse answers with a refusal.
func (g *Gateway) refuse(q *request, refused *refusal) {
	g.log.Info("Refused.", "request", q.facts.ID, "status", refused.status, "reason", refused.reason,
		"detail", refused.detail, "prompt", q.work.Prompt, "after", refused.after.String(), "version", version(q.view), "took", time.Since(q.arrived).String())
	g.metrics.Scope.Tagged(map[string]string{"reason": refused.reason}).Counter("refused").Inc(1)
	refused.write(q.w)
}

func version(view *rtcatalog.View) rtid.Version {
	if view == nil || view.Configuration == nil {
		return 0
	}
	return view.Configuration.Version
}

// hash orders targets alike in all processes.
func hash(target rtid.Target) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(target)) // never fails
	return sum.Sum32()
}

// pick chooses one of a route's services by weight.
func pick(route *rtcatalog.Route) rtid.Service {
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
