// Package rtentry implements the entry process: it accepts callers' HTTP
// requests, selects a target and relays the answer.
//
// An entry only predicts, selects and relays. The agents enforce the guarantees,
// so a wrong prediction costs one round trip and nothing else.
package rtentry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdump"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Node is the subset of rtnode.Node that an entry uses.
type Node interface {
	Started() <-chan struct{}
	Document() (rtid.Version, *rtdocument.Document)
	SetReady(ready bool)
	SetDraining()
	Status() *rtwire.Status
	HandleStatus(status *rtwire.Status)
	AgentsOf(service rtid.Service) []rtnode.AgentView
	Find(target rtid.Target) (rtnode.AgentView, bool)
	LiveEntries(zone rtid.Zone) int
	Configuration() rtnode.Configuration
	Dump() rtnode.Dump
	Handler() http.Handler
	Run(ctx context.Context) error
}

// Dependencies are the parts that the program passes to an entry.
type Dependencies struct {
	Network rtnet.Network
	Log     logr.Logger
	Metrics *rtmetric.Metrics
	Dump    *rtdump.Registry // optional
	Node    Node             // optional; created from the settings if nil
	Seed    uint64           // of the random number generator; 0 for a random seed
	Chooser Chooser          // selects targets for drafts; nil to let the pool select them
}

// Entry is one entry process.
type Entry struct {
	settings      rtsettings.Entry
	network       rtnet.Network
	log           logr.Logger
	metrics       *rtmetric.Metrics
	dump          *rtdump.Registry
	node          Node
	agents        agents
	chooser       Chooser // nil to let the pool select targets
	limits        limits
	ready         atomic.Bool  // new requests are accepted
	runningDrafts atomic.Int64 // drafts in progress
	bufferedBytes atomic.Int64 // reserved for request bodies, at most maxBufferedBytes
	draining      atomic.Bool  // graceful shutdown has begun; never reset

	balancersMu sync.Mutex
	balancers   map[rtid.Service]*balancer
	random      *rand.Rand // seeds the balancers
}

// New returns an entry. Run starts it.
func New(settings rtsettings.Entry, dependencies Dependencies) (*Entry, error) {
	setDefaults(&settings)
	entry := &Entry{
		settings: settings,
		network:  dependencies.Network,
		log:      dependencies.Log.WithName("entry"),
		metrics:  dependencies.Metrics,
		dump:     dependencies.Dump,
		node:     dependencies.Node,
		agents:   newAgents(dependencies.Network),
		chooser:  dependencies.Chooser,

		balancers: make(map[rtid.Service]*balancer),
		random:    newRandom(dependencies.Seed),
	}
	if entry.metrics == nil {
		metrics, err := rtmetric.New("rhubarbtally_entry")
		if err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
		entry.metrics = metrics
	}
	if entry.dump == nil {
		entry.dump = &rtdump.Registry{}
	}
	if entry.node == nil {
		entry.node = rtnode.New(rtnode.Options{
			Settings: settings.Common,
			Role:     rtwire.Role_ROLE_ENTRY,
			Network:  dependencies.Network,
			Log:      dependencies.Log,
			Metrics:  entry.metrics.Scope,
		})
	}
	entry.dump.Add("entry", entry.dumpState)
	entry.dump.Add("control", func() any { return entry.node.Dump() })
	return entry, nil
}

// newRandom returns a generator with the given seed, or with a random one if
// seed is 0.
func newRandom(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, 0))
}

// setDefaults replaces zero settings by their defaults.
func setDefaults(settings *rtsettings.Entry) {
	if settings.MaxTimeLimit == 0 {
		settings.MaxTimeLimit = rtsettings.DefaultMaxTimeLimit
	}
	if settings.DrainTimeout == 0 {
		settings.DrainTimeout = rtsettings.DefaultDrainTimeout
	}
	if settings.OperatorAddress == "" {
		settings.OperatorAddress = rtsettings.DefaultOperatorAddress
	}
}
