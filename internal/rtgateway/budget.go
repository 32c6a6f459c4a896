package rtgateway

import (
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
)

// countRequest counts a request for the retry budget of its service.
func (g *Gateway) countRequest(service rtid.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryShare(service).RecordRequest(time.Now())
}

// takeRetry takes one retry from the retry budget of a service. It reports
// false if the budget is exhausted.
func (g *Gateway) takeRetry(service rtid.Service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	share := g.retryShare(service)
	share.Processes = g.peers.BudgetProcesses()
	return share.Take(time.Now())
}

// retryAvailable reports whether the retry budget of a service allows one more
// retry.
func (g *Gateway) retryAvailable(service rtid.Service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	share := g.retryShare(service)
	share.Processes = g.peers.BudgetProcesses()
	return share.Available(time.Now())
}

// retrySpare reports whether the retry budget of a service allows one more retry that
// can be left out.
func (g *Gateway) retrySpare(service rtid.Service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	share := g.retryShare(service)
	share.Processes = g.peers.BudgetProcesses()
	return share.Spare(time.Now())
}

// retryShare returns this process's share of the retry budget of a service.
// The caller holds mu.
func (g *Gateway) retryShare(service rtid.Service) *rtlimit.RetryShare {
	share := g.retries[service]
	if share == nil {
		share = &rtlimit.RetryShare{Ratio: g.bounds.RetryRatio, Allowance: g.bounds.RetryAllowance}
		share.Start(g.bounds.RetryWindow, g.started)
		g.retries[service] = share
	}
	return share
}
