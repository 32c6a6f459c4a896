package rtload

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfleet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
)

// Services of both deployments.
const (
	draftService rtid.Service = "drafts"
	orderService rtid.Service = "orders"
)

// Sizes of both deployments.
const (
	zoneCount        = 3
	entriesPerZone   = 2
	enginesPerZone   = 7 // 21 in total; the deployments have about 20
	servicesPerZone  = 1
	engineSlots      = 8
	coldSlots        = 2
	engineMemory     = rtid.Tokens(400_000)
	orderRunDuration = 300 * time.Millisecond
	plannedOrderRate = 3.0 // per zone and second; far above the load
	maxTimeLimit     = 3 * time.Minute
)

// Speed of the fake engines. Passes are longer and answers shorter than in
// reality, so that a minute of virtual time takes few passes. A pass takes about
// as long as the first token of a short prompt.
const (
	enginePassTime       = 100 * time.Millisecond
	enginePrefillPerPass = rtid.Tokens(2048) // prompt tokens
)

// EnginePrefillRate is the prefill rate of one warm engine, in tokens per
// second.
const EnginePrefillRate = float64(enginePrefillPerPass) / (float64(enginePassTime) / float64(time.Second))

// Deployment describes one of the two deployments.
type Deployment struct {
	Name          string
	Mix           Mix
	ZoneLatency   time.Duration // one way between two zones
	CallerLatency time.Duration // one way between callers and entries
	PlannedRate   float64       // drafts per second that the engines sustain
}

// inZoneLatency is the one-way latency of links within a zone.
const inZoneLatency = 250 * time.Microsecond

// Kavango and NepGap are the deployments of the design page. Their planned rates
// come from the saturation run in docs/measurements.md.
var (
	Kavango = Deployment{"Kavango", KavangoMix, 3 * time.Millisecond, 2500 * time.Microsecond, 28}
	NepGap  = Deployment{"Nep Gap", NepGapMix, 2500 * time.Microsecond, 500 * time.Microsecond, 55}
)

// RunningDeployment is a deployment that runs on an in-memory network.
type RunningDeployment struct {
	Fleet    *rtfleet.Fleet
	Driver   *Driver
	Document rtdocument.Document // last published
	fabric   *rtfake.Network
}

// StartDeployment starts a deployment. Close stops it. Engines start warm, but
// agents start with the limit of a cold target.
func StartDeployment(ctx context.Context, d *Deployment, policy Policy, seed uint64) (*RunningDeployment, error) {
	fabric := &rtfake.Network{Seed: seed, DefaultLatency: func(string, string) rtfake.Latency {
		return linkLatency(inZoneLatency, 0)
	}}
	r := &RunningDeployment{fabric: fabric, Document: d.document()}
	fleet, err := rtfleet.New(ctx, rtfleet.Options{
		Networks: &rtfleet.InMemory{Fabric: fabric},
		Document: r.Document,
		Entries:  entriesPerZone,
		Engines:  enginesPerZone,
		Services: servicesPerZone,
		Engine: rtfake.EngineConfig{
			PassTime: enginePassTime, PrefillPerPass: enginePrefillPerPass, Memory: engineMemory, Slots: 2 * engineSlots,
			Warm: true, ColdLimit: coldSlots,
		},
		Service:      rtfake.ServiceConfig{RunDuration: orderRunDuration},
		Agent:        rtsettings.Agent{KVMemory: engineMemory, Slots: engineSlots, ColdSlots: coldSlots, PrefillRate: EnginePrefillRate},
		DrainTimeout: maxTimeLimit,
		MaxTimeLimit: maxTimeLimit,
		Log:          logr.Discard(),
		Seed:         seed,
		Chooser:      policy.newChooser(),
		Queue:        policy.Queue,
		NoPriorities: policy.NoPriorities,
	})
	r.Fleet = fleet
	if err != nil {
		return r, err
	}
	d.setLatencies(fabric, fleet)
	r.Driver = &Driver{DraftService: draftService, OrderService: orderService}
	for i, entry := range fleet.Entries {
		client := rtnet.Client(fabric.Host(callerHost(i)))
		r.Driver.Callers = append(r.Driver.Callers, rtfleet.Caller{Client: client, Address: entry.CallerAddress})
	}
	return r, nil
}

// Close closes the connections of the callers and stops the fleet.
func (r *RunningDeployment) Close() error {
	if r.Driver != nil {
		for _, caller := range r.Driver.Callers {
			caller.Client.CloseIdleConnections()
		}
	}
	err := r.Fleet.Close()
	r.fabric.Close()
	return err
}

// PublishZoneState publishes the document with a new state of an availability
// zone.
func (r *RunningDeployment) PublishZoneState(zone int, state rtdocument.ZoneState) error {
	r.Document.Zones = append([]rtdocument.Zone(nil), r.Document.Zones...)
	r.Document.Zones[zone].State = state
	r.Document.Base = r.Document.Revision
	r.Document.Revision++
	_, err := r.Fleet.Publish(r.Document)
	return err
}

// RestartEngines crashes the engines of a zone, so that they restart cold.
func (r *RunningDeployment) RestartEngines(zone int) {
	for i := range enginesPerZone {
		r.Fleet.Engines[rtfleet.EngineName(r.Document.Zones[zone].Name, i)].Crash()
	}
}

// AwaitReady waits until every entry completes a draft.
func (r *RunningDeployment) AwaitReady(ctx context.Context) error {
	const attempts = 100
	for _, caller := range r.Driver.Callers {
		caller.Organisation = r.Document.Organisations[0].Name
		err := errors.New("no draft sent")
		for i := 0; i < attempts && err != nil; i++ {
			sleep(ctx, enginePassTime)
			err = sendProbe(ctx, caller)
		}
		if err != nil {
			return fmt.Errorf("entry %s does not complete drafts: %w", caller.Address, err)
		}
	}
	return nil
}

// document returns the configuration document of the deployment. The planned
// rate is split evenly over the zones.
func (d *Deployment) document() rtdocument.Document {
	document := rtdocument.Document{
		Revision: 1,
		Services: []rtdocument.Service{
			{Name: draftService, Kind: rtdocument.KindDraft, Model: "model-1"},
			{Name: orderService, Kind: rtdocument.KindOrder},
		},
	}
	for _, share := range d.Mix.Organisations {
		document.Organisations = append(document.Organisations, rtdocument.Organisation{
			Name: share.Organisation, Services: []rtid.Service{draftService, orderService}, Share: share.Fraction,
		})
	}
	for i := range zoneCount {
		document.Zones = append(document.Zones, rtdocument.Zone{
			Name: rtid.Zone(fmt.Sprintf("zone-%d", i+1)), State: rtdocument.ZoneInService,
			Capacity: map[rtid.Service]float64{draftService: d.PlannedRate / zoneCount, orderService: plannedOrderRate},
		})
	}
	return document
}
