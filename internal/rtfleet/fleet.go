// Package rtfleet runs a whole fleet in one process: entries, agents and fakes
// of the platform and the targets, each on a virtual host of its own. The demo,
// the fault tests and the measurements use it.
package rtfleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtagent"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtentry"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtqueue"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// Options describe a fleet.
type Options struct {
	Networks     NetworkProvider
	Document     rtdocument.Document // engines serve its first draft service, plain services its first order service
	Entries      int                 // per availability zone
	Engines      int                 // per availability zone
	Services     int                 // plain services per availability zone
	Engine       rtfake.EngineConfig
	Service      rtfake.ServiceConfig
	Agent        rtsettings.Agent // slots, cold slots, prefill rate and KV memory
	DrainTimeout time.Duration
	MaxTimeLimit time.Duration
	Log          logr.Logger

	// The remaining options are for measurements.
	Seed         uint64                             // of the entries' random numbers; 0: a random seed
	Chooser      rtentry.Chooser                    // nil: the production policy of the entries
	Queue        func(rtqueue.Limits) rtagent.Queue // nil: the production queue of the agents
	NoPriorities bool                               // agents send engines no priorities
}

// Fleet is a running fleet.
type Fleet struct {
	Platform *rtfake.Platform
	Entries  []*Process
	Agents   []*Process // by availability zone, in each those of engines first
	Engines  map[rtid.Target]*rtfake.Engine
	Services map[rtid.Target]*rtfake.Service
	HostOf   map[rtid.Target]string // IP address of each target

	options         Options
	targetAddresses map[rtid.Target]rtid.Address
	ctx             context.Context // ends the fakes and processes
	platformAddress rtid.Address
	fakes           []*rttask.Task
	members         []rtplatform.Member
	vmCount         int
}

// New starts the fakes, publishes the document and starts all processes. Close
// stops them. The fleet is not nil on error either, so that it can be closed.
func New(ctx context.Context, options Options) (*Fleet, error) {
	fleet := &Fleet{
		Platform:        &rtfake.Platform{},
		Engines:         make(map[rtid.Target]*rtfake.Engine),
		Services:        make(map[rtid.Target]*rtfake.Service),
		HostOf:          make(map[rtid.Target]string),
		targetAddresses: make(map[rtid.Target]rtid.Address),
		options:         options,
		ctx:             ctx,
	}
	if err := fleet.startPlatform(); err != nil {
		return fleet, err
	}
	for _, zone := range options.Document.Zones {
		if err := fleet.addZone(zone.Name); err != nil {
			return fleet, err
		}
	}
	fleet.Platform.SetVMs(fleet.members, 0)
	if _, err := fleet.Publish(options.Document); err != nil {
		return fleet, err
	}
	for _, process := range append(fleet.Agents, fleet.Entries...) {
		if err := fleet.Start(process); err != nil {
			return fleet, err
		}
	}
	return fleet, nil
}

// Start starts a new incarnation of a process that was stopped or killed.
func (f *Fleet) Start(process *Process) error {
	if err := process.start(f.ctx, f.options.Networks); err != nil {
		return fmt.Errorf("start %s: %w", process.VM, err)
	}
	return nil
}

// Publish publishes a document on the platform.
func (f *Fleet) Publish(document rtdocument.Document) (rtid.Version, error) {
	body, err := rtdocument.Encode(&document)
	if err != nil {
		return 0, fmt.Errorf("encode document: %w", err)
	}
	return f.Platform.Publish(body), nil
}

// Close shuts all processes down gracefully, then stops the fakes.
func (f *Fleet) Close() error {
	var errs []error
	for _, processes := range [][]*Process{f.Entries, f.Agents} {
		for _, process := range processes {
			process.BeginStop()
		}
		for _, process := range processes {
			errs = append(errs, process.Stop())
		}
	}
	for _, fake := range f.fakes {
		errs = append(errs, fake.Stop())
	}
	return errors.Join(errs...)
}

// Agent returns the agent of a target, or nil.
func (f *Fleet) Agent(target rtid.Target) *Process {
	for _, process := range f.Agents {
		if process.Target == target {
			return process
		}
	}
	return nil
}

// startPlatform serves the fake platform.
func (f *Fleet) startPlatform() error {
	address, err := f.serveFake("10.0.0.1", f.Platform)
	f.platformAddress = address
	return err
}

// serveFake serves a fake at a new address of host.
func (f *Fleet) serveFake(host string, handler http.Handler) (rtid.Address, error) {
	address, err := f.options.Networks.Address(host)
	if err != nil {
		return "", err
	}
	listener, err := f.options.Networks.Network(host).Listen(address)
	if err != nil {
		return "", err
	}
	f.fakes = append(f.fakes, rttask.Start(f.ctx, host, func(ctx context.Context) error {
		return rtfake.Serve(ctx, listener, handler)
	}))
	return address, nil
}

// addZone creates the targets and processes of an availability zone.
func (f *Fleet) addZone(zone rtid.Zone) error {
	for i := range f.options.Engines {
		if err := f.addEngine(zone, i); err != nil {
			return err
		}
	}
	for i := range f.options.Services {
		if err := f.addService(zone, i); err != nil {
			return err
		}
	}
	for i := range f.options.Entries {
		if err := f.addEntry(zone, i); err != nil {
			return err
		}
	}
	return nil
}

// nextHost returns an unused IP address for a VM.
func (f *Fleet) nextHost() string {
	f.vmCount++
	return fmt.Sprintf("10.0.%d.%d", 1+f.vmCount/200, 1+f.vmCount%200)
}

// EngineName returns the name of an engine of an availability zone. Numbers
// start at 0.
func EngineName(zone rtid.Zone, number int) rtid.Target {
	return rtid.Target(fmt.Sprintf("%s-engine-%d", zone, number+1))
}

// addEngine creates an engine and its agent.
func (f *Fleet) addEngine(zone rtid.Zone, number int) error {
	target := EngineName(zone, number)
	engine := rtfake.NewEngine(f.options.Engine)
	f.Engines[target] = engine
	f.fakes = append(f.fakes, rttask.Start(f.ctx, string(target), engine.Run))
	f.HostOf[target] = f.nextHost()
	address, err := f.serveFake(f.HostOf[target], engine)
	if err != nil {
		return err
	}
	settings := f.options.Agent
	settings.Kind = "engine"
	settings.Service = f.serviceName(rtdocument.KindDraft)
	settings.Fencing = f.options.Engine.Fencing
	return f.addAgent(zone, target, address, settings)
}

// addService creates a plain service and its agent.
func (f *Fleet) addService(zone rtid.Zone, number int) error {
	target := rtid.Target(fmt.Sprintf("%s-service-%d", zone, number+1))
	service := rtfake.NewService(f.options.Service)
	f.Services[target] = service
	f.HostOf[target] = f.nextHost()
	address, err := f.serveFake(f.HostOf[target], service)
	if err != nil {
		return err
	}
	settings := f.options.Agent
	settings.Kind = "service"
	settings.Service = f.serviceName(rtdocument.KindOrder)
	settings.KVMemory = 0
	settings.Fencing = f.options.Service.Fencing
	return f.addAgent(zone, target, address, settings)
}

// serviceName returns the name of the first service of a kind in the document.
func (f *Fleet) serviceName(kind rtdocument.Kind) rtid.Service {
	for _, service := range f.options.Document.Services {
		if service.Kind == kind {
			return service.Name
		}
	}
	return ""
}

// commonSettings returns the settings that entries and agents have in common.
func (f *Fleet) commonSettings(process *Process) rtsettings.Common {
	return rtsettings.Common{
		VM:                process.VM,
		Zone:              process.Zone,
		PeerAddress:       process.PeerAddress,
		OperatorAddress:   process.OperatorAddress,
		PlatformAddress:   f.platformAddress,
		DrainTimeout:      rtsettings.Duration(f.options.DrainTimeout),
		HeartbeatInterval: rtsettings.Duration(time.Second),
	}
}

// newProcess returns a process on a new VM with its addresses.
func (f *Fleet) newProcess(name string, zone rtid.Zone, role rtplatform.Role) (*Process, error) {
	process := &Process{VM: rtid.VM(name), Host: f.nextHost(), Zone: zone, role: role}
	for _, address := range []*rtid.Address{&process.PeerAddress, &process.OperatorAddress, &process.CallerAddress} {
		newAddress, err := f.options.Networks.Address(process.Host)
		if err != nil {
			return nil, err
		}
		*address = newAddress
	}
	return process, nil
}

// addAgent creates the agent of a target, on a VM of its own.
func (f *Fleet) addAgent(zone rtid.Zone, target rtid.Target, address rtid.Address, settings rtsettings.Agent) error {
	process, err := f.newProcess("vm-"+string(target), zone, rtplatform.RoleAgent)
	if err != nil {
		return err
	}
	process.Target = target
	settings.Common = f.commonSettings(process)
	settings.Target = target
	settings.TargetAddress = address
	f.targetAddresses[target] = address
	process.metricPrefix = "rhubarbtally_agent"
	process.newRunner = func(network *killableNetwork, metrics *rtmetric.Metrics) (runner, error) {
		return rtagent.New(settings, rtagent.Dependencies{
			Network: network, Log: f.options.Log, Metrics: metrics, NewQueue: f.options.Queue, SinglePriority: f.options.NoPriorities,
		}), nil
	}
	f.Agents = append(f.Agents, process)
	f.members = append(f.members, process.Member(settings.Service))
	return nil
}

// addEntry creates an entry.
func (f *Fleet) addEntry(zone rtid.Zone, number int) error {
	process, err := f.newProcess(fmt.Sprintf("vm-%s-entry-%d", zone, number+1), zone, rtplatform.RoleEntry)
	if err != nil {
		return err
	}
	settings := rtsettings.Entry{
		Common:        f.commonSettings(process),
		CallerAddress: process.CallerAddress,
		MaxTimeLimit:  rtsettings.Duration(f.options.MaxTimeLimit),
	}
	process.metricPrefix = "rhubarbtally_entry"
	seed := f.options.Seed
	if seed != 0 {
		seed += uint64(len(f.Entries)) // with equal seeds all entries would choose the same targets
	}
	process.newRunner = func(network *killableNetwork, metrics *rtmetric.Metrics) (runner, error) {
		return rtentry.New(settings, rtentry.Dependencies{
			Network: network, Log: f.options.Log, Metrics: metrics, Seed: seed, Chooser: f.options.Chooser,
		})
	}
	f.Entries = append(f.Entries, process)
	f.members = append(f.members, process.Member(""))
	return nil
}
