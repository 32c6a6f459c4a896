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
	// closeTimeout limits the time to close connections after draining.
	closeTimeout = time.Second
	// defaultHeartbeat is the heartbeat interval if the settings give none.
	defaultHeartbeat = time.Second
	// drainNoticeHeartbeats is the number of heartbeat intervals for which a
	// draining agent stays reachable, so that the entries receive its draining
	// status from the agent itself.
	drainNoticeHeartbeats = 2
)

// Run serves until the context ends, then drains accepted requests and returns.
func (a *Agent) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	servers, err := a.listenAll()
	if err != nil {
		return err
	}
	node := rttask.Start(workCtx, "node", a.node.Run)
	dispatcher := rttask.Start(workCtx, "dispatch", a.dispatch)
	reconciler := rttask.Start(workCtx, "reconcile", a.maintainTarget)

	err = a.waitForStop(ctx, node, dispatcher, reconciler)
	a.beginDrain()
	if err == nil {
		a.drain()
	}
	stop(errStopped)
	return errors.Join(err, reconciler.Stop(), dispatcher.Stop(), a.close(servers), ignoreCancel(node.Stop()))
}

func (a *Agent) listenAll() ([]*http.Server, error) {
	operators := a.settings.OperatorAddress
	if operators == "" {
		operators = defaultOperatorAddress
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

// waitForStop returns nil when the context ends, which starts a graceful
// shutdown, or the error because of which the agent cannot continue.
func (a *Agent) waitForStop(ctx context.Context, node, dispatcher, reconciler *rttask.Task) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-a.serverEnded:
		return err
	case err := <-a.fenced:
		return err
	case err := <-node.Done():
		return errors.Join(errors.New("node task ended"), err)
	case err := <-dispatcher.Done():
		return errors.Join(errors.New("dispatcher task ended"), err)
	case err := <-reconciler.Done():
		return errors.Join(errors.New("reconciliation task ended"), err)
	}
}

// beginDrain makes the agent refuse new requests and report itself as draining.
func (a *Agent) beginDrain() {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	a.node.SetDraining()
	a.node.SetReady(false)
	a.log.Info("Draining; finishing accepted requests.", "limit", time.Duration(a.settings.DrainTimeout).String())
}

// drain waits until accepted requests have ended and their answers were read,
// and until the peers had time to receive the draining status. After the drain
// timeout it cancels the remaining requests.
func (a *Agent) drain() {
	heartbeat := time.Duration(a.settings.HeartbeatInterval)
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	limit := time.NewTimer(time.Duration(a.settings.DrainTimeout))
	defer limit.Stop()
	notice := time.NewTimer(drainNoticeHeartbeats * heartbeat)
	defer notice.Stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	noticeSent := false
	for !noticeSent || !a.idle() {
		select {
		case <-notice.C:
			noticeSent = true
		case <-ticker.C:
		case <-limit.C:
			a.cancelRemaining()
			return
		}
	}
}

// idle reports whether no request waits or runs, all answers were read or have
// expired, and no memory is reserved for other agents.
func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.groupReservations) > 0 {
		return false
	}
	for _, r := range a.requests {
		if !r.settled || r.cancel != nil || !r.answerRead {
			return false
		}
	}
	return true
}

// cancelRemaining ends the requests that are left at the drain timeout.
func (a *Agent) cancelRemaining() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.Info("Drain timeout reached; cancelling remaining requests.", "waiting", a.queue.Waiting(), "running", a.queue.Running(), "answers", len(a.requests))
	a.settleWaitingNotRun(rtwire.Reason_REASON_LEAVING, errStopped.Error())
	for _, r := range a.requests {
		if r.cancel != nil {
			r.cancel(errStopped)
		}
	}
}

// close shuts the servers down and collects their errors.
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
		case serveErr := <-a.serverEnded:
			err = errors.Join(err, serveErr)
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
