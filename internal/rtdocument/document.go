// Package rtdocument defines the configuration document that operators publish
// to the platform's configuration service and that every process puts in
// force.
package rtdocument

import "github.com/rhubarbtally/rhubarbtally/internal/rtid"

// MaxSize is the largest value that the configuration service accepts.
const MaxSize rtid.Bytes = 1 << 20

// Document is the configuration of the whole fleet.
type Document struct {
	Revision      rtid.Revision  `json:"revision"`      // greater than Base
	Base          rtid.Revision  `json:"base"`          // revision that this one is based on; 0 for the first
	Organisations []Organisation `json:"organisations"` // unique names, sorted
	Services      []Service      `json:"services"`      // unique names, sorted
	Zones         []Zone         `json:"zones"`         // unique names, sorted
}

// Organisation is a customer with the services that it may use.
type Organisation struct {
	Name     rtid.Organisation        `json:"name"`
	Services []rtid.Service           `json:"services"`         // each declared in Document.Services, sorted
	Share    float64                  `json:"share"`            // planned share of the services that Shares does not name, in (0, 1]
	Shares   map[rtid.Service]float64 `json:"shares,omitempty"` // planned shares of single services that differ from Share, in (0, 1]; keys are among Services
}

// Kind is the way in which a service is called.
type Kind string

// The kinds of services.
const (
	KindDraft Kind = "draft" // drafts by engines, streamed, safe to repeat
	KindOrder Kind = "order" // plain service whose calls must not be repeated
)

// Service is a service that organisations use and targets serve.
type Service struct {
	Name  rtid.Service `json:"name"`
	Kind  Kind         `json:"kind"`
	Model rtid.Model   `json:"model,omitempty"` // set for KindDraft only
}

// ZoneState tells whether an availability zone accepts new requests.
type ZoneState string

// The states of an availability zone.
const (
	ZoneInService    ZoneState = "in"
	ZoneOutOfService ZoneState = "out"
)

// Zone is an availability zone with its planned capacity.
type Zone struct {
	Name     rtid.Zone                `json:"name"`
	State    ZoneState                `json:"state"`
	Capacity map[rtid.Service]float64 `json:"capacity"` // requests per second of each service, not negative
}

// ZoneState returns the state of a zone. A zone that the document does not
// name is out of service, because no capacity is planned for it.
func (d *Document) ZoneState(name rtid.Zone) ZoneState {
	for i := range d.Zones {
		if d.Zones[i].Name == name {
			return d.Zones[i].State
		}
	}
	return ZoneOutOfService
}

// Organisation returns the organisation of that name, or nil.
func (d *Document) Organisation(name rtid.Organisation) *Organisation {
	for i := range d.Organisations {
		if d.Organisations[i].Name == name {
			return &d.Organisations[i]
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (d *Document) Service(name rtid.Service) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// ShareOf returns the planned share of a service, or 0 if the organisation may
// not use it.
func (o *Organisation) ShareOf(service rtid.Service) float64 {
	if !o.Allows(service) {
		return 0
	}
	if share, differs := o.Shares[service]; differs {
		return share
	}
	return o.Share
}

// Allows reports whether the organisation may use the service.
func (o *Organisation) Allows(service rtid.Service) bool {
	for _, name := range o.Services {
		if name == service {
			return true
		}
	}
	return false
}
