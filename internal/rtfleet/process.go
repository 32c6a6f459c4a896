package rtfleet

import (
	"context"
	"errors"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// runner is one entry or agent.
type runner interface {
	Run(ctx context.Context) error
}

// Process is a VM with an entry or an agent on it.
type Process struct {
	VM              rtid.VM
	Host            string // IP address of the VM
	Zone            rtid.Zone
	CallerAddress   rtid.Address // entries only
	PeerAddress     rtid.Address
	OperatorAddress rtid.Address
	Target          rtid.Target // agents only

	role    rtplatform.Role
	metrics string // prefix of metric names
	create  func(*killableNetwork, *rtmetric.Metrics) (runner, error)
	kill    func(host string)

	network *killableNetwork
	tasks   []*rttask.Task     // all incarnations that were not waited for
	cancel  context.CancelFunc // of the last incarnation
}

// start runs a new incarnation of the process.
func (p *Process) start(ctx context.Context, space NetworkProvider) error {
	network := &killableNetwork{Network: space.Network(p.Host)}
	metrics, err := rtmetric.New(p.metrics)
	if err != nil {
		return err
	}
	runner, err := p.create(network, metrics)
	if err != nil {
		return errors.Join(err, metrics.Close())
	}
	running, cancel := context.WithCancel(ctx)
	p.network = network
	p.cancel = cancel
	p.kill = space.Kill
	p.tasks = append(p.tasks, rttask.Start(context.WithoutCancel(ctx), string(p.VM), func(context.Context) error {
		return errors.Join(runner.Run(running), metrics.Close())
	}))
	return nil
}

// BeginStop starts a planned stop, as SIGTERM does.
func (p *Process) BeginStop() {
	if p.cancel != nil {
		p.cancel()
	}
}

// Stop makes a planned stop and waits for the end of all incarnations.
func (p *Process) Stop() error {
	p.BeginStop()
	var errs []error
	for _, task := range p.tasks {
		errs = append(errs, <-task.Done())
	}
	p.tasks = nil
	return errors.Join(errs...)
}

// Kill ends the process at once, as SIGKILL does: its connections break and
// what remains of it reaches nothing.
func (p *Process) Kill() {
	p.network.killed.Store(true)
	p.kill(p.Host)
	p.cancel()
}

// Member returns the process as the platform's list of VMs names it.
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
