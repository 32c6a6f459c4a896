// Package rtcatalog holds the published state and the known targets as one
// immutable view, which all decisions of a process read.
package rtcatalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Kind is the kind of a route's requests. It determines whether a request may be
// repeated.
type Kind int

// The kinds of requests. The zero value is the most restrictive one.
const (
	KindOrder  Kind = iota // order
	KindSafe               // safe
	KindStream             // stream
)

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service rtid.Service
	Weight  float64 // relative to the other shares of the route; at least 0
}

// Route maps requests by host and path prefix to services, with the limits that
// apply to them.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Kind       Kind
	Timeout    time.Duration // time limit of a request; 0 for none
	LatencySLO time.Duration // latency of an answer, or of the first event of a stream, at full value
	GapSLO     time.Duration // longest gap between the events of a stream at full value
	Attempts   int           // limit of targets that one request may be sent to; at least 1
	Priority   int           // 0 is the most urgent
	Public     bool          // needs no key
	Resumable  bool          // a stream may be continued at another target
	Shares     []Share       // at least one
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// AbandonTimeout returns the time without an event after which a caller abandons
// a stream.
func (r *Route) AbandonTimeout() time.Duration {
	return max(minAbandonTimeout, abandonLatencyFactor*r.LatencySLO, abandonGapFactor*r.GapSLO)
}

// By the callers' contract, a caller abandons a stream after the longest of a
// fixed time and these multiples of the route's SLOs.
const (
	minAbandonTimeout    = 2 * time.Second
	abandonLatencyFactor = 4
	abandonGapFactor     = 8
)

// Engine holds the published costs of a model engine.
type Engine struct {
	Slots                  int           // limit of running requests
	Memory                 rtid.Tokens   // KV memory of one engine
	StepsPerPass           int           // token steps in one pass
	StepTime               time.Duration // duration of one token step
	StepPerRequest         time.Duration // added to a step for each decoding request
	StepPerKilotoken       time.Duration // added to a step for each 1,000 tokens of context
	PrefillPerToken        time.Duration // prefill of one prompt token
	PrefillPerMillionPairs time.Duration // prefill of one million pairs of a token and an earlier token
	TypicalAnswer          rtid.Tokens   // typical length of an answer
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name     rtid.Service
	Engine   *Engine // nil for a plain service
	ColdRate float64 // requests per second that a cold target sustains; 0 for no limit
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name     rtid.Organisation
	Keys     []string
	Priority int // overrides the priority of a route; -1 for none
	// Weight is its part of scarce capacity, relative to other organisations. 0 counts
	// as 1.
	Weight float64
}

// Limits holds the limits of a caller's requests: the sizes of header and body,
// and the timeouts for receiving the header and for an idle connection.
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
	weights  map[rtid.Organisation]float64 // of those that have one
}

// Index builds the look-up tables. It must be called once, before the
// configuration is shared.
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
	c.weights = make(map[rtid.Organisation]float64)
	for i := range c.Organisations {
		if weight := c.Organisations[i].Weight; weight > 0 {
			c.weights[c.Organisations[i].Name] = weight
		}
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

// Organisation returns the organisation that has a key, or nil.
func (c *Configuration) Organisation(key string) *Organisation { return c.keys[key] }

// Weight returns the weight of an organisation, 1 for one that has none.
func (c *Configuration) Weight(organisation rtid.Organisation) float64 {
	if weight, ok := c.weights[organisation]; ok {
		return weight
	}
	return 1
}

// Instance is one start of a target: a target that restarts becomes a new
// instance.
type Instance struct {
	ID            rtid.Target
	Born          rtid.Incarnation // orders starts under one ID; 0 if unknown
	Service       rtid.Service
	Address       rtid.Address
	Zone          rtid.Zone
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // time until it is warm, as of its report
	// CreatedRevision is the revision at which the instance was first seen. Of
	// two instances at one address, the one seen later is kept.
	CreatedRevision rtid.StoreRevision
}

// Incarnation returns the identity of this start of the target.
func (i *Instance) Incarnation() rtid.TargetIncarnation {
	return rtid.TargetIncarnation{ID: i.ID, Born: i.Born}
}

// View is a process's immutable copy of the published state and the known
// targets, at one revision.
type View struct {
	Revision      rtid.StoreRevision // of the newest change in the view
	Configuration *Configuration     // configuration in force; nil until one is known
	ZonesOut      map[rtid.Zone]bool

	instances map[rtid.Service][]*Instance
	byID      map[rtid.Target]*Instance
	earlier   map[rtid.Target]*Instance // the next newest instance of the service at the address, by ID
}

// NewView returns a view. Of several instances at one address it lists the
// newest, and it sorts the instances by ID.
func NewView(revision rtid.StoreRevision, configuration *Configuration, zonesOut map[rtid.Zone]bool, instances []*Instance) *View {
	view := &View{
		Revision:      revision,
		Configuration: configuration,
		ZonesOut:      zonesOut,
		instances:     make(map[rtid.Service][]*Instance),
		byID:          make(map[rtid.Target]*Instance, len(instances)),
	}
	instances = view.newestPerAddress(instances)
	slices.SortFunc(instances, func(a, b *Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, instance := range instances {
		view.instances[instance.Service] = append(view.instances[instance.Service], instance)
		view.byID[instance.ID] = instance
	}
	return view
}

// newestPerAddress returns the instances without those whose address is used by a
// later one. These are recorded as earlier ones.
func (v *View) newestPerAddress(instances []*Instance) []*Instance {
	newest := make(map[rtid.Address]*Instance, len(instances))
	shared := make(map[rtid.Address][]*Instance) // addresses with several instances
	for _, instance := range instances {
		other := newest[instance.Address]
		if other == nil || instance.startedAfter(other) {
			newest[instance.Address] = instance
		}
		if other != nil {
			if len(shared[instance.Address]) == 0 {
				shared[instance.Address] = []*Instance{other}
			}
			shared[instance.Address] = append(shared[instance.Address], instance)
		}
	}
	for _, group := range shared {
		slices.SortFunc(group, func(a, b *Instance) int {
			switch {
			case a.startedAfter(b):
				return -1
			case b.startedAfter(a):
				return 1
			default:
				return strings.Compare(string(a.ID), string(b.ID))
			}
		})
		if v.earlier == nil {
			v.earlier = make(map[rtid.Target]*Instance)
		}
		newest[group[0].Address] = group[0]
		for i, instance := range group {
			// Addresses of targets that have ended are used again by other services.
			next := slices.IndexFunc(group[i+1:], func(other *Instance) bool { return other.Service == instance.Service })
			if next >= 0 {
				v.earlier[instance.ID] = group[i+1+next]
			}
		}
	}
	return slices.Collect(maps.Values(newest))
}

// startedAfter reports whether an instance started later than another one: by the
// times of their starts if both are known, otherwise by their entries.
func (i *Instance) startedAfter(other *Instance) bool {
	if i.Born != 0 && other.Born != 0 && i.Born != other.Born {
		return i.Born > other.Born
	}
	return i.CreatedRevision.After(other.CreatedRevision)
}

// Instances returns the known targets of a service, including those that are not
// usable.
func (v *View) Instances(service rtid.Service) []*Instance { return v.instances[service] }

// Instance returns a target by ID, or nil.
func (v *View) Instance(id rtid.Target) *Instance { return v.byID[id] }

// Earlier returns the instance of the same service whose entry names the same address
// as a newer one, or nil. It counts if the newer one turns out not to have the address.
func (v *View) Earlier(instance *Instance) *Instance { return v.earlier[instance.ID] }

// Usable reports whether new work may be sent to a target: whether it is not
// draining and its zone is not out.
func (v *View) Usable(instance *Instance) bool {
	return !instance.Draining && !v.ZonesOut[instance.Zone]
}

// Complete reports whether the view has a configuration and at least one target,
// which serving needs.
func (v *View) Complete() bool { return v != nil && v.Configuration != nil && len(v.byID) > 0 }

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Kind -linecomment
