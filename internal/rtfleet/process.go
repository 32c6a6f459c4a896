package rtfleet

import (
	"context"
	"errors"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// runner is one incarnation of an entry or agent.
type runner interface {
	Run(ctx context.Context) error
}

// Process is an entry or agent on a VM of its own. It is stopped until
// Fleet.Start.
type Process struct {
	VM              rtid.VM
	Host            string // IP address of the VM
	Zone            rtid.Zone
	CallerAddress   rtid.Address // entries only
	PeerAddress     rtid.Address
	OperatorAddress rtid.Address
	Target          rtid.Target // agents only

	role         rtplatform.Role
	metricPrefix string // of metric names
	newRunner    func(*killableNetwork, *rtmetric.Metrics) (runner, error)
	killHost     func(host string)

	network *killableNetwork
	tasks   []*rttask.Task     // of all incarnations that Stop has not waited for
	cancel  context.CancelFunc // of the last incarnation
}

// start starts a new incarnation of the process.
func (p *Process) start(ctx context.Context, networks NetworkProvider) error {
	network := &killableNetwork{Network: networks.Network(p.Host)}
	metrics, err := rtmetric.New(p.metricPrefix)
	if err != nil {
		return err
	}
	runner, err := p.newRunner(network, metrics)
	if err != nil {
		return errors.Join(err, metrics.Close())
	}
	running, cancel := context.WithCancel(ctx)
	p.network = network
	p.cancel = cancel
	p.killHost = networks.Kill
	p.tasks = append(p.tasks, rttask.Start(context.WithoutCancel(ctx), string(p.VM), func(context.Context) error {
		return errors.Join(runner.Run(running), metrics.Close())
	}))
	return nil
}

// BeginStop starts a graceful shutdown, as SIGTERM does.
func (p *Process) BeginStop() {
	if p.cancel != nil {
		p.cancel()
	}
}

// Stop shuts the process down gracefully and waits for the end of all its
// incarnations.
func (p *Process) Stop() error {
	p.BeginStop()
	var errs []error
	for _, task := range p.tasks {
		errs = append(errs, <-task.Done())
	}
	p.tasks = nil
	return errors.Join(errs...)
}

// Kill ends the process at once, as SIGKILL does: its connections are reset, and
// goroutines that still run cannot open new ones.
func (p *Process) Kill() {
	p.network.killed.Store(true)
	p.killHost(p.Host)
	p.cancel()
}

// Member returns the entry of the process in the platform's list of VMs.
func (p *Process) Member(service rtid.Service) rtplatform.Member {
	return rtplatform.Member{
		VM:      p.VM,
		Role:    p.role,
		Zone:    p.Zone,
		Address: p.PeerAddress,
		State:   rtplatform.StateLive,
		Target:  p.Target,
		Service: service,
	}
}
