package rtnode_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Time bounds of the design page for a fleet of today's size.
const (
	propagationBound = 5 * time.Second
	startBound       = 10 * time.Second
	// readerFailoverBound is how long it may take until other processes read
	// the platform after its readers have failed: 30 s, the maximum jitter,
	// and the time to detect the failure.
	readerFailoverBound = 75 * time.Second
)

const (
	platformHost = "10.9.0.1"
	platformPort = rtid.Address(platformHost + ":80")
	zones        = 3
	entries      = 6
	agents       = 23
	service      = rtid.Service("summaries")
)

// process is a node with its listener.
type process struct {
	member rtplatform.Member
	host   string
	node   *rtnode.Node
	tasks  []*rttask.Task
}

// fleet is a set of processes and a platform in virtual time, in one synctest
// bubble.
type fleet struct {
	t         *testing.T
	network   *rtfake.Network
	platform  *rtfake.Platform
	processes []*process
	hosts     int
	heartbeat time.Duration // 0 for the default
	revision  rtid.Revision
}

// inFleet runs a test with a platform and no processes.
func inFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		latency := func(string, string) rtfake.Latency { return rtfake.Latency{Base: 3 * time.Millisecond} }
		f := &fleet{t: t, network: &rtfake.Network{Seed: 1, DefaultLatency: latency}, platform: &rtfake.Platform{}}
		t.Cleanup(f.network.Close)
		f.serve(platformPort, f.platform)
		test(t, f)
	})
}

// inRunningFleet runs a test with a fleet of today's size that has started.
func inRunningFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	inFleet(t, func(t *testing.T, f *fleet) {
		f.publish(0)
		f.build(entries, agents)
		f.startAll()
		f.within(startBound, "fleet starts", f.allHave(1))
		test(t, f)
	})
}

func (f *fleet) serve(address rtid.Address, handler http.Handler) *rttask.Task {
	f.t.Helper()
	listener, err := f.network.Listen(address)
	if err != nil {
		f.t.Fatal(err)
	}
	task := rttask.Start(f.t.Context(), "serve", func(ctx context.Context) error {
		return rtfake.Serve(ctx, listener, handler)
	})
	f.t.Cleanup(func() { f.stopTask(task) })
	return task
}

func (f *fleet) stopTask(task *rttask.Task) {
	if err := task.Stop(); err != nil && !errors.Is(err, net.ErrClosed) {
		f.t.Error(err)
	}
}

// build adds entries and agents over three zones and publishes the list of VMs.
func (f *fleet) build(entries, agents int) {
	for i := range entries {
		f.add(rtplatform.Member{Role: rtplatform.RoleEntry, Zone: zoneOf(i)})
	}
	for i := range agents {
		target := rtid.Target(fmt.Sprintf("target-%02d", i))
		f.add(rtplatform.Member{Role: rtplatform.RoleAgent, Zone: zoneOf(i), Target: target, Service: service})
	}
	f.publishList(0)
}

func zoneOf(i int) rtid.Zone { return rtid.Zone(fmt.Sprintf("zone-%d", i%zones)) }

// add adds a process that has not started, on its own host.
func (f *fleet) add(member rtplatform.Member) *process {
	f.hosts++
	host := fmt.Sprintf("10.0.%d.%d", f.hosts/200, f.hosts%200+1)
	member.VM = rtid.VM(fmt.Sprintf("%s-%d", member.Role, f.hosts))
	member.Address = rtid.Address(host + ":7000")
	member.State = rtplatform.StateLive
	p := &process{member: member, host: host}
	f.processes = append(f.processes, p)
	return p
}

// publishList publishes the list of VMs of the current processes after lag.
func (f *fleet) publishList(lag time.Duration) {
	var members []rtplatform.Member
	for _, p := range f.processes {
		members = append(members, p.member)
	}
	f.platform.SetVMs(members, lag)
}

// publish publishes a valid document with the next revision, based on base.
func (f *fleet) publish(base rtid.Revision) {
	f.revision++
	f.platform.Publish(f.body(base))
}

func (f *fleet) body(base rtid.Revision) []byte {
	document := rtdocument.Document{Revision: f.revision, Base: base}
	document.Services = []rtdocument.Service{{Name: service, Kind: rtdocument.KindDraft, Model: "court-1"}}
	for i := range zones {
		capacity := map[rtid.Service]float64{service: 10}
		zone := rtdocument.Zone{Name: zoneOf(i), State: rtdocument.ZoneInService, Capacity: capacity}
		document.Zones = append(document.Zones, zone)
	}
	document.Organisations = []rtdocument.Organisation{{Name: "high-court", Services: []rtid.Service{service}, Share: 1}}
	body, err := rtdocument.Encode(&document)
	if err != nil {
		f.t.Fatal(err)
	}
	return body
}

func (f *fleet) startAll() {
	for _, p := range f.processes {
		f.start(p)
	}
}

// start starts a process with a new incarnation.
func (f *fleet) start(p *process, seeds ...rtid.Address) {
	role := rtwire.Role_ROLE_ENTRY
	if p.member.Role == rtplatform.RoleAgent {
		role = rtwire.Role_ROLE_AGENT
	}
	p.node = rtnode.New(rtnode.Options{
		Settings: rtsettings.Common{
			VM: p.member.VM, Zone: p.member.Zone, PeerAddress: p.member.Address, PlatformAddress: platformPort, Seeds: seeds,
			HeartbeatInterval: rtsettings.Duration(f.heartbeat),
		},
		Role:    role,
		Network: f.network.Host(p.host),
		Log:     logr.Discard(),
		Target:  p.member.Target,
		Service: p.member.Service,
	})
	run := rttask.Start(f.t.Context(), "node", p.node.Run)
	f.t.Cleanup(func() { f.stopTask(run) })
	p.tasks = []*rttask.Task{run, f.serve(p.member.Address, p.node.Handler())}
}

// kill stops a process without draining it and removes it from the fleet.
func (f *fleet) kill(p *process) {
	for _, task := range p.tasks {
		f.stopTask(task)
	}
	f.network.Kill(p.host)
	f.processes = slices.DeleteFunc(f.processes, func(other *process) bool { return other == p })
}

// replace kills a process and starts its successor, with the same role, zone
// and target, on a new VM.
func (f *fleet) replace(p *process, seeds ...rtid.Address) *process {
	f.kill(p)
	next := f.add(p.member)
	f.start(next, seeds...)
	return next
}

func (f *fleet) ofRole(role rtplatform.Role) []*process {
	var found []*process
	for _, p := range f.processes {
		if p.member.Role == role {
			found = append(found, p)
		}
	}
	return found
}

func (f *fleet) readers() []*process {
	var found []*process
	for _, p := range f.processes {
		if p.node.Dump().Reader {
			found = append(found, p)
		}
	}
	return found
}

// cutPlatform disconnects all hosts from the platform except those of some
// processes.
func (f *fleet) cutPlatform(except ...*process) {
	for _, p := range f.processes {
		if !slices.Contains(except, p) {
			f.network.CutBoth(p.host, platformHost)
		}
	}
}

func (f *fleet) allHave(version rtid.Version) func() error {
	return func() error {
		for _, p := range f.processes {
			if inForce, _ := p.node.Document(); inForce != version {
				return fmt.Errorf("%s has version %d, want %d", p.member.VM, inForce, version)
			}
			select {
			case <-p.node.Started():
			default:
				return fmt.Errorf("%s has not started", p.member.VM)
			}
		}
		return nil
	}
}

// allAlive checks that every entry finds every agent alive at its address.
func (f *fleet) allAlive() error {
	for _, entry := range f.ofRole(rtplatform.RoleEntry) {
		views := entry.node.AgentsOf(service)
		if len(views) != len(f.ofRole(rtplatform.RoleAgent)) {
			return fmt.Errorf("%s has %d agents in its subset", entry.member.VM, len(views))
		}
		for _, agent := range f.ofRole(rtplatform.RoleAgent) {
			view, _ := entry.node.Find(agent.member.Target)
			if !view.Alive || view.Address != agent.member.Address {
				return fmt.Errorf("%s finds %s alive %v at %s", entry.member.VM, view.Target, view.Alive, view.Address)
			}
		}
	}
	return nil
}

// pollInterval is how often a condition is checked.
const pollInterval = 100 * time.Millisecond

// within fails the test if a condition does not become true within a bound of
// virtual time.
func (f *fleet) within(bound time.Duration, what string, condition func() error) {
	f.t.Helper()
	var err error
	for began := time.Now(); time.Since(began) <= bound; f.advance(pollInterval) {
		if err = condition(); err == nil {
			f.t.Logf("%s: after %v", what, time.Since(began))
			return
		}
	}
	f.t.Fatalf("%s: not within %v: %v", what, bound, err)
}

// during fails the test if a condition is false at any check within a duration
// of virtual time.
func (f *fleet) during(duration time.Duration, what string, condition func() error) {
	f.t.Helper()
	for began := time.Now(); time.Since(began) <= duration; f.advance(pollInterval) {
		if err := condition(); err != nil {
			f.t.Fatalf("%s: after %v: %v", what, time.Since(began), err)
		}
	}
}

// advance lets virtual time pass and waits until all goroutines are blocked.
func (f *fleet) advance(duration time.Duration) {
	<-time.After(duration)
	synctest.Wait()
}
