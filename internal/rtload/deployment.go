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

// Services of a deployment.
const (
	draftService rtid.Service = "drafts"
	orderService rtid.Service = "orders"
)

// Sizes of both deployments.
const (
	zones          = 3
	zoneEntries    = 2
	zoneEngines    = 7 // 21 in all, about 20
	zoneServices   = 1
	engineSlots    = 8
	coldSlots      = 2
	engineMemory   = rtid.Tokens(400_000)
	orderTime      = 300 * time.Millisecond
	plannedOrders  = 3.0 // per zone and second, far above the load
	longestRequest = 3 * time.Minute
)

// Speed of the engines. Steps are longer and answers shorter than in reality,
// so that a virtual minute costs few events; a step is about as long as the
// first token of a short prompt.
const (
	engineStep    = 100 * time.Millisecond
	enginePrefill = rtid.Tokens(2048) // prompt tokens a step
)

// EngineRate is the prefill rate of one warm engine, in tokens a second.
const EnginePrefillRate = float64(enginePrefill) / (float64(engineStep) / float64(time.Second))

// Deployment is one of the two deployments.
type Deployment struct {
	Name          string
	Mix           Mix
	ZoneLatency   time.Duration // from zone to zone, one way
	CallerLatency time.Duration // from callers to a zone, one way
	PlannedRate   float64       // drafts per second that the engines can carry
}

// Within is the latency of links within a zone, one way.
const within = 250 * time.Microsecond

// Kavango and NepGap are the deployments of the design page. Planned comes
// from the saturation run in docs/measurements.md.
var (
	Kavango = Deployment{"Kavango", KavangoMix, 3 * time.Millisecond, 2500 * time.Microsecond, 28}
	NepGap  = Deployment{"Nep Gap", NepGapMix, 2500 * time.Microsecond, 500 * time.Microsecond, 55}
)

// World is a running deployment on an in-memory network.
type RunningDeployment struct {
	Fleet    *rtfleet.Fleet
	Driver   *Driver
	Document rtdocument.Document // last published
	fabric   *rtfake.Network
}

// NewWorld starts a deployment. Close ends it. Engines are warm, agents start
// with the limit of a cold target.
func StartDeployment(ctx context.Context, d *Deployment, policy Policy, seed uint64) (*RunningDeployment, error) {
	fabric := &rtfake.Network{Seed: seed, DefaultLatency: func(string, string) rtfake.Latency {
		return latencyOf(within, 0)
	}}
	w := &RunningDeployment{fabric: fabric, Document: d.document()}
	fleet, err := rtfleet.New(ctx, rtfleet.Options{
		Networks: &rtfleet.InMemory{Fabric: fabric},
		Document: w.Document,
		Entries:  zoneEntries,
		Engines:  zoneEngines,
		Services: zoneServices,
		Engine: rtfake.EngineConfig{
			PassTime: engineStep, PrefillPerPass: enginePrefill, Memory: engineMemory, Slots: 2 * engineSlots,
			Warm: true, ColdLimit: coldSlots,
		},
		Service:      rtfake.ServiceConfig{RunDuration: orderTime},
		Agent:        rtsettings.Agent{KVMemory: engineMemory, Slots: engineSlots, ColdSlots: coldSlots, PrefillRate: EnginePrefillRate},
		DrainTimeout: longestRequest,
		MaxTimeLimit: longestRequest,
		Log:          logr.Discard(),
		Seed:         seed,
		Chooser:      policy.chooser(),
		Queue:        policy.Queue,
		NoPriorities: policy.NoPriorities,
	})
	w.Fleet = fleet
	if err != nil {
		return w, err
	}
	d.setLinks(fabric, fleet)
	w.Driver = &Driver{DraftService: draftService, OrderService: orderService}
	for i, entry := range fleet.Entries {
		client := rtnet.Client(fabric.Host(callerHost(i)))
		w.Driver.Callers = append(w.Driver.Callers, rtfleet.Caller{Client: client, Address: entry.CallerAddress})
	}
	return w, nil
}

// Close ends the callers' connections and the fleet.
func (w *RunningDeployment) Close() error {
	if w.Driver != nil {
		for _, caller := range w.Driver.Callers {
			caller.Client.CloseIdleConnections()
		}
	}
	err := w.Fleet.Close()
	w.fabric.Close()
	return err
}

// SetZone publishes the state of an availability zone.
func (w *RunningDeployment) PublishZoneState(zone int, state rtdocument.ZoneState) error {
	w.Document.Zones = append([]rtdocument.Zone(nil), w.Document.Zones...)
	w.Document.Zones[zone].State = state
	w.Document.Base = w.Document.Revision
	w.Document.Revision++
	_, err := w.Fleet.Publish(w.Document)
	return err
}

// RestartEngines crashes the engines of a zone, so that they are cold.
func (w *RunningDeployment) RestartEngines(zone int) {
	for i := range zoneEngines {
		w.Fleet.Engines[rtfleet.EngineName(w.Document.Zones[zone].Name, i)].Crash()
	}
}

// Ready waits until every entry serves.
func (w *RunningDeployment) AwaitReady(ctx context.Context) error {
	const attempts = 100
	for _, caller := range w.Driver.Callers {
		caller.Organisation = w.Document.Organisations[0].Name
		err := errors.New("not tried")
		for i := 0; i < attempts && err != nil; i++ {
			pause(ctx, engineStep)
			err = probe(ctx, caller)
		}
		if err != nil {
			return fmt.Errorf("entry %s does not serve: %w", caller.Address, err)
		}
	}
	return nil
}

// document returns the document of the deployment, with Planned split evenly
// over the zones.
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
	for i := range zones {
		document.Zones = append(document.Zones, rtdocument.Zone{
			Name: rtid.Zone(fmt.Sprintf("zone-%d", i+1)), State: rtdocument.ZoneInService,
			Capacity: map[rtid.Service]float64{draftService: d.PlannedRate / zones, orderService: plannedOrders},
		})
	}
	return document
}
