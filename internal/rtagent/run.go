package rtagent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// closeTimeout bounds the end of connections after the drain.
	closeTimeout = time.Second
	// defaultHeartbeat is used where settings give none.
	defaultHeartbeat = time.Second
	// tellBeats is how many heartbeat intervals a leaving agent stays
	// reachable, so that the entries hear of it from the agent itself.
	tellBeats = 2
)

// Run serves until the context ends, then finishes accepted work and returns.
func (a *Agent) Run(ctx context.Context) error {
	working, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	servers, err := a.listenAll()
	if err != nil {
		return err
	}
	node := rttask.Start(working, "node", a.node.Run)
	dispatcher := rttask.Start(working, "dispatch", a.dispatch)
	keeper := rttask.Start(working, "reconcile", a.keep)

	err = a.wait(ctx, node, dispatcher, keeper)
	a.leave()
	if err == nil {
		a.drain()
	}
	stop(errStopped)
	return errors.Join(err, keeper.Stop(), dispatcher.Stop(), a.close(servers), ignoreCancel(node.Stop()))
}

func (a *Agent) listenAll() ([]*http.Server, error) {
	operators := a.settings.OperatorAddress
	if operators == "" {
		operators = defaultOperators
	}
	peersServer, err := a.listen("peers", a.settings.PeerAddress, a.peersHandler())
	if err != nil {
		return nil, err
	}
	operatorsServer, err := a.listen("operators", operators, a.operatorsHandler())
	if err != nil {
		return nil, errors.Join(err, a.close([]*http.Server{peersServer}))
	}
	return []*http.Server{peersServer, operatorsServer}, nil
}

// wait returns nil when a stop is planned, or why the agent cannot go on.
func (a *Agent) wait(ctx context.Context, node, dispatcher, keeper *rttask.Task) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-a.failed:
		return err
	case err := <-a.fenced:
		return err
	case err := <-node.Done():
		return errors.Join(errors.New("node ended"), err)
	case err := <-dispatcher.Done():
		return errors.Join(errors.New("dispatcher ended"), err)
	case err := <-keeper.Done():
		return errors.Join(errors.New("reconciliation ended"), err)
	}
}

// leave refuses new work from now on and tells peers.
func (a *Agent) leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.node.SetDraining()
	a.node.SetReady(false)
	a.log.Info("Leaving, accepted work finishes.", "limit", time.Duration(a.settings.DrainTimeout).String())
}

// drain waits until accepted work has ended and its answers are gone, at most
// for the drain limit.
func (a *Agent) drain() {
	heartbeat := time.Duration(a.settings.HeartbeatInterval)
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	limit := time.NewTimer(time.Duration(a.settings.DrainTimeout))
	defer limit.Stop()
	told := time.NewTimer(tellBeats * heartbeat)
	defer told.Stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	heard := false
	for !heard || !a.idle() {
		select {
		case <-told.C:
			heard = true
		case <-ticker.C:
		case <-limit.C:
			a.dropRest()
			return
		}
	}
}

// idle reports whether nothing waits or runs and all answers were read. Others
// are kept until their expiry.
func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.held) > 0 {
		return false
	}
	for _, r := range a.requests {
		if !r.settled || r.cancel != nil || !r.read {
			return false
		}
	}
	return true
}

// dropRest ends what the drain limit has left.
func (a *Agent) dropRest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.Info("Drain limit reached.", "waiting", a.queue.Waiting(), "running", a.queue.Running(), "answers", len(a.requests))
	a.abandonWaiting(rtwire.Reason_REASON_LEAVING, errStopped.Error())
	for _, r := range a.requests {
		if r.cancel != nil {
			r.cancel(errStopped)
		}
	}
}

// close ends the servers and reads the ends of their listeners.
func (a *Agent) close(servers []*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
	a.client.CloseIdleConnections()
	var err error
	for range servers {
		select {
		case ended := <-a.failed:
			err = errors.Join(err, ended)
		case <-ctx.Done():
		}
	}
	return err
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
