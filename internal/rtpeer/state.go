package rtpeer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfeed"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// catchUp fetches what a peer knows more, and decides whether this process
// asks the store itself.
func (g *Group) catchUp(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-g.learnt:
		}
		now := time.Now()
		g.arrange(now)
		reader := g.reader(now)
		g.options.Feed.SetReader(reader)
		address, ok := g.ahead(reader)
		if !ok {
			continue
		}
		delta, err := g.fetch(ctx, address)
		if err != nil {
			g.log.Info("State of a peer not fetched.", "peer", address, "error", err.Error())
			g.forget(address)
			continue
		}
		g.options.Feed.ApplyPeerDelta(delta, string(address))
	}
}

// reader reports whether this process is one of the first, in an order that all
// share, of those that the store answers. One that the store turns away asks
// on, without counting for the others.
func (g *Group) reader(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := 0
	for _, p := range g.peers {
		if !p.far && now.Sub(p.heard) < freshContact && now.Sub(p.contact) < freshContact && readerRank(p.vm) < readerRank(g.options.VM) {
			before++
		}
	}
	return before < maxReaders
}

// readerRank orders processes.
func readerRank(vm rtid.VM) uint64 { return xxhash.Sum64String("reader " + string(vm)) }

// forget passes over a peer that did not answer until it speaks again.
func (g *Group) forget(address rtid.Address) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[address]; p != nil {
		p.revision = 0
	}
}

// ahead returns a live peer that knows more. A reader gives the store some time
// to tell it the same.
func (g *Group) ahead(reader bool) (rtid.Address, bool) {
	own := g.options.Feed.Revision()
	g.mu.Lock()
	defer g.mu.Unlock()
	var best rtid.Address
	for address, p := range g.peers {
		silent := time.Since(p.heard) > p.life()
		if silent && p.alive {
			p.alive = false
			g.log.Info("Peer is silent.", "peer", p.vm, "address", address)
		}
		if silent || p.revision <= own {
			continue
		}
		if reader && own > 0 && (p.behind.IsZero() || time.Since(p.behind) < behindTime) {
			continue
		}
		if best == "" || p.revision > g.peers[best].revision {
			best = address
		}
	}
	return best, best != ""
}

// fetch reads the state of a peer.
func (g *Group) fetch(ctx context.Context, address rtid.Address) (rtfeed.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	target := fmt.Sprintf("http://%s/state?after=%d", address, g.options.Feed.Revision())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return rtfeed.Delta{}, fmt.Errorf("create request: %w", err)
	}
	response, err := g.client.Do(request)
	if err != nil {
		return rtfeed.Delta{}, fmt.Errorf("fetch state: %w", err)
	}
	// The body has been read as far as it is needed.
	defer func() { _ = response.Body.Close() }()
	var delta rtfeed.Delta
	if err := json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&delta); err != nil {
		return rtfeed.Delta{}, fmt.Errorf("decode state: %w", err)
	}
	return delta, nil
}

// serveState answers a peer with what it lacks.
func (g *Group) serveState(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.options.Feed.Delta(after)); err != nil {
		g.log.Info("State not sent to a peer.", "error", err.Error())
	}
}
