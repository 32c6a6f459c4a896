// Package rtcatalog holds what operators have published and which targets
// exist, as one immutable view that all decisions of a process read.
package rtcatalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Kind says what may be repeated of the requests of a route.
type Kind int

// The kinds of requests. The zero value is the most careful one.
const (
	KindOrder  Kind = iota // order
	KindSafe               // safe
	KindStream             // stream
)

// Share is the part of a route's requests that one service takes.
type Share struct {
	Service rtid.Service
	Weight  float64 // at least 0
}

// Route says which service takes a request and within which bounds.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Kind       Kind
	Timeout    time.Duration // longest wait of a caller; 0 for none
	LatencySLO time.Duration // full value of an answer, or of the first event of a stream
	GapSLO     time.Duration // full value of a stream: its longest pause
	Attempts   int           // targets that one request may be sent to; at least 1
	Priority   int           // 0 is the most urgent
	Public     bool          // needs no key
	Resumable  bool          // a stream may go on at another target
	Shares     []Share       // at least one
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Patience returns the silence after which a caller leaves a stream.
func (r *Route) AbandonTimeout() time.Duration {
	return max(minPatience, patienceAims*r.LatencySLO, patienceGaps*r.GapSLO)
}

// Callers of streams leave after the longest of these (callers' contract).
const (
	minPatience  = 2 * time.Second
	patienceAims = 4
	patienceGaps = 8
)

// Engine holds the published costs of a model engine.
type Engine struct {
	Slots                  int           // requests that run together
	Memory                 rtid.Tokens   // KV memory of one engine
	StepsPerPass           int           // token steps of one pass
	StepTime               time.Duration // one token step
	StepPerRequest         time.Duration // added to a step for each writing request
	StepPerKilotoken       time.Duration // added to a step for 1,000 tokens of context
	PrefillPerToken        time.Duration // reading one prompt token
	PrefillPerMillionPairs time.Duration // reading one million pairs of a token and an earlier one
	TypicalAnswer          rtid.Tokens   // usual length of an answer
}

// Service is a group of targets that take the same requests.
type Service struct {
	Name     rtid.Service
	Engine   *Engine // nil for a plain service
	ColdRate float64 // requests a second that a cold target bears; 0 for no limit
}

// Organisation is a customer and its keys.
type Organisation struct {
	Name     rtid.Organisation
	Keys     []string
	Priority int // goes before that of a route; -1 for none
}

// Limits bound what a caller may send, and for how long it may be silent.
type Limits struct {
	Header        rtid.Bytes
	Body          rtid.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one published configuration.
type Configuration struct {
	Version       rtid.Version
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	hosts    map[string][]*Route // longest prefix first
	services map[rtid.Service]*Service
	keys     map[string]*Organisation
}

// Index prepares the configuration for look-ups. It must be called once, before
// the configuration is shared.
func (c *Configuration) Index() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		route := &c.Routes[i]
		host := strings.ToLower(route.Host)
		c.hosts[host] = append(c.hosts[host], route)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.services = make(map[rtid.Service]*Service, len(c.Services))
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	c.keys = make(map[string]*Organisation)
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			c.keys[key] = &c.Organisations[i]
		}
	}
}

// Route returns the route with the longest prefix for a host and path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, route := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (c *Configuration) Service(name rtid.Service) *Service { return c.services[name] }

// Organisation returns the holder of a key, or nil.
func (c *Configuration) Organisation(key string) *Organisation { return c.keys[key] }

// Instance is one start of a target.
type Instance struct {
	ID              rtid.Target // of this start only
	Service         rtid.Service
	Address         rtid.Address
	Zone            rtid.Zone
	Slots           int
	Draining        bool
	ColdRemaining   time.Duration // how long it was going to stay cold when it reported
	CreatedRevision uint64        // revision at which it was first seen; the later of two at an address lives
}

// View is what a process believes at one moment. It is not changed after it
// was published.
type View struct {
	Revision      uint64         // of the newest change that the view holds
	Configuration *Configuration // nil until one is known
	ZonesOut      map[rtid.Zone]bool

	instances map[rtid.Service][]*Instance
	byID      map[rtid.Target]*Instance
}

// NewView returns a view of instances in a stable order.
func NewView(revision uint64, configuration *Configuration, out map[rtid.Zone]bool, instances []*Instance) *View {
	view := &View{
		Revision:      revision,
		Configuration: configuration,
		ZonesOut:      out,
		instances:     make(map[rtid.Service][]*Instance),
		byID:          make(map[rtid.Target]*Instance, len(instances)),
	}
	instances = latest(instances)
	slices.SortFunc(instances, func(a, b *Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, instance := range instances {
		view.instances[instance.Service] = append(view.instances[instance.Service], instance)
		view.byID[instance.ID] = instance
	}
	return view
}

// latest returns the instances without those whose address a later one has.
func latest(instances []*Instance) []*Instance {
	holders := make(map[rtid.Address]*Instance, len(instances))
	for _, instance := range instances {
		if holder := holders[instance.Address]; holder == nil || instance.CreatedRevision > holder.CreatedRevision {
			holders[instance.Address] = instance
		}
	}
	return slices.Collect(maps.Values(holders))
}

// Instances returns the known targets of a service, with those that may not be
// used.
func (v *View) Instances(service rtid.Service) []*Instance { return v.instances[service] }

// Instance returns a target by id, or nil.
func (v *View) Instance(id rtid.Target) *Instance { return v.byID[id] }

// Usable reports whether new work may be sent to a target.
func (v *View) Usable(instance *Instance) bool {
	return !instance.Draining && !v.ZonesOut[instance.Zone]
}

// Complete reports whether the view has all that serving needs.
func (v *View) Complete() bool { return v != nil && v.Configuration != nil && len(v.byID) > 0 }

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Kind -linecomment
