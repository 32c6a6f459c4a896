package rtpeer

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeed"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// keepCatchingUp runs f, which is catchUp, until the context ends, again after an
// unexpected error: a process that does not follow its peers any more must not stay.
func (g *Group) keepCatchingUp(ctx context.Context, f func(context.Context) error) error {
	for ctx.Err() == nil {
		if err := <-rttask.Start(ctx, "catch up", f).Done(); err != nil && ctx.Err() == nil {
			g.log.Error(err, "Following peers failed unexpectedly, trying again.")
			wait(ctx, keptFetchInterval)
		}
	}
	return nil
}

// catchUp fetches the state of peers at a higher revision, and decides whether
// this process reads the store itself. It runs until the context ends.
func (g *Group) catchUp(ctx context.Context) error {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-g.newerPeer:
		}
		now := time.Now()
		g.detectPause(now)
		g.assignCells(now)
		reader := g.isReader(now)
		g.options.Feed.SetReader(reader)
		peers := g.findNewerPeers(reader)
		after := g.options.Feed.Revision()
		if len(peers) == 0 {
			// All items, so that they hold the ones that have a version.
			after = rtid.StoreRevision{}
			peers = g.findKeepingPeer(now)
		}
		if delta, address, ok := g.fetchFirst(ctx, peers, after); ok {
			g.options.Feed.ApplyPeerDelta(delta, string(address))
		}
	}
}

const (
	// maxFetches is how many peers are asked for their state at the same time.
	maxFetches = 4
	// hedgeDelay is how long a peer may take to answer before the next one is asked,
	// too. A change must be in force within 3 s where not all gateways read the store,
	// also if those that are asked first have just lost power. Small VMs under load
	// take up to 0.3 s.
	hedgeDelay = 400 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// fetchFirst fetches the state of the first peer that answers. It asks the next one
// when the last one has failed or not answered for hedgeDelay. Peers that did not
// answer are left out until their next digest.
func (g *Group) fetchFirst(ctx context.Context, peers []rtid.Address, after rtid.StoreRevision) (rtfeed.Delta, rtid.Address, bool) {
	type answer struct {
		peer  rtid.Address
		delta rtfeed.Delta
		err   error
	}
	answers := make(chan answer, len(peers))
	asked := make(map[rtid.Address]*rttask.Task) // without those that have failed
	defer func() {
		for _, task := range asked {
			_ = task.Stop() // the error is in its answer
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for next, pending := 0, 0; next < len(peers) || pending > 0; {
		select {
		case <-ctx.Done():
			return rtfeed.Delta{}, "", false
		case <-timer.C:
		case a := <-answers:
			pending--
			delete(asked, a.peer)
			if a.err == nil {
				for peer := range asked {
					g.resetRevision(peer)
				}
				return a.delta, a.peer, true
			}
			g.log.Info("State cannot be fetched from a peer.", "peer", a.peer, "error", a.err.Error())
			g.resetRevision(a.peer)
		}
		if next == len(peers) {
			continue
		}
		peer := peers[next]
		next++
		pending++
		asked[peer] = rttask.Start(ctx, "fetch state", func(ctx context.Context) error {
			a := answer{peer: peer, err: errNoAnswer}
			defer func() { answers <- a }() // also after an unexpected error
			a.delta, a.err = g.fetchState(ctx, peer, after)
			return a.err
		})
		timer.Reset(hedgeDelay)
	}
	return rtfeed.Delta{}, "", false
}

// detectPause unsettles the process after a pause in which its peers may have given
// it up. catchUp calls it at every digestInterval.
func (g *Group) detectPause(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if paused := now.Sub(g.lastTick); !g.lastTick.IsZero() && paused > aliveTimeout {
		g.log.Info("Process was paused.", "for", paused.String())
		g.unsettle(now)
	}
	g.lastTick = now
}

// isReader reports whether this process reads the store: whether it is among the
// first maxReaders processes of the cell, in the order of a hash that all share.
// Only processes that the store answers count, so that another one takes the
// place of a process that the store refuses or that cannot reach it. That process
// keeps calling the store.
func (g *Group) isReader(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := 0
	for _, p := range g.peers {
		if !p.otherCell && now.Sub(p.lastDigest) < maxContactAge && now.Sub(p.storeContact) < maxContactAge && readerHash(p.vm) < readerHash(g.options.VM) {
			before++
		}
	}
	return before < maxReaders
}

// readerHash returns the hash that orders processes for isReader.
func readerHash(vm rtid.VM) uint64 { return xxhash.Sum64String("reader " + string(vm)) }

// resetRevision makes findNewerPeers skip a peer until its next digest.
func (g *Group) resetRevision(address rtid.Address) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[address]; p != nil {
		p.revision, p.version, p.kept = rtid.StoreRevision{}, 0, 0
	}
}

// findNewerPeers returns live peers with a revision above the own one, at most
// maxFetches, those with the highest one first. For a reader it returns only peers
// that have been ahead for catchUpDelay, because the store usually returns the same
// changes first. It also logs peers that are no longer alive.
func (g *Group) findNewerPeers(reader bool) []rtid.Address {
	ownRevision := g.options.Feed.Revision()
	g.mu.Lock()
	defer g.mu.Unlock()
	var newer []rtid.Address
	for address, p := range g.peers {
		silent := time.Since(p.lastDigest) > p.aliveTimeout()
		if silent && p.loggedAlive {
			p.loggedAlive = false
			g.log.Info("Peer is silent.", "peer", p.vm, "address", address)
		}
		if silent || !p.revision.After(ownRevision) {
			continue
		}
		if reader && !ownRevision.IsZero() && (p.aheadSince.IsZero() || time.Since(p.aheadSince) < catchUpDelay) {
			continue
		}
		newer = append(newer, address)
	}
	// The order of a map differs each time, so that not all ask the same peer.
	slices.SortStableFunc(newer, func(a, b rtid.Address) int { return g.peers[b].revision.Compare(g.peers[a].revision) })
	return newer[:min(len(newer), maxFetches)]
}

// findKeepingPeer returns a live peer that may know something from before the store
// came back from a copy which this process does not know, because it has started
// since: a later version of the configuration, or other items that it keeps. It
// returns nil if there is none.
func (g *Group) findKeepingPeer(now time.Time) []rtid.Address {
	feed := g.options.Feed
	ownRevision, ownVersion, ownKept := feed.Revision(), versionOf(feed.View()), feed.KeptHash()
	if ownRevision.IsZero() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, p := range g.peers {
		keeps := p.kept != 0 && p.kept != ownKept && p.revision == ownRevision
		if now.Sub(p.lastDigest) < p.aliveTimeout() && now.Sub(p.keptFetched) >= keptFetchInterval && (keeps || p.version > ownVersion) {
			p.keptFetched = now
			return []rtid.Address{address}
		}
	}
	return nil
}

// fetchState fetches the changes of a peer's state after a revision.
func (g *Group) fetchState(ctx context.Context, address rtid.Address, after rtid.StoreRevision) (rtfeed.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/state?era=%d&after=%d", address, after.Era, after.Number)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return rtfeed.Delta{}, fmt.Errorf("create request: %w", err)
	}
	response, err := g.client.Do(request)
	if err != nil {
		return rtfeed.Delta{}, fmt.Errorf("fetch state: %w", err)
	}
	// An error of Close does not matter once the state is decoded.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return rtfeed.Delta{}, fmt.Errorf("fetch state: answered %d", response.StatusCode)
	}
	return decodeState(response.Body)
}

// decodeState reads a state. It returns an error for one that no process of the
// deployment sends.
func decodeState(r io.Reader) (rtfeed.Delta, error) {
	var delta rtfeed.Delta
	if err := json.NewDecoder(io.LimitReader(r, maxStateBytes)).Decode(&delta); err != nil {
		return rtfeed.Delta{}, fmt.Errorf("decode state: %w", err)
	}
	if err := delta.Check(); err != nil {
		return rtfeed.Delta{}, fmt.Errorf("state: %w", err)
	}
	return delta, nil
}

// serveState answers a peer with the changes after the revision that it names.
func (g *Group) serveState(w http.ResponseWriter, r *http.Request) {
	var after rtid.StoreRevision
	for name, value := range map[string]*uint64{"after": &after.Number, "era": &after.Era} {
		if name == "era" && !r.URL.Query().Has(name) {
			continue // from a gateway that knows no eras
		}
		number, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
		if err != nil {
			http.Error(w, name+": "+err.Error(), http.StatusBadRequest)
			return
		}
		*value = number
	}
	delta := g.options.Feed.Delta(after)
	kind := changesState
	if delta.Full {
		kind = fullState
	}
	w.Header().Set("Content-Type", "application/json")
	counted := &countingWriter{Writer: w}
	if err := encodeState(counted, w.Header(), r, delta); err != nil {
		g.log.Info("State requested by a peer cannot be sent.", "error", err.Error())
	}
	g.traffic.record(kind, counted.bytes)
}

// compressors are reused because each has about a megabyte.
var compressors = sync.Pool{New: func() any {
	compressor, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // fails for unknown levels only
	return compressor
}}

// encodeState writes a state, compressed if the peer accepts that. Configurations
// consist of names that repeat, so a change takes a fraction of its size.
func encodeState(w io.Writer, header http.Header, r *http.Request, delta rtfeed.Delta) error {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		return json.NewEncoder(w).Encode(delta)
	}
	header.Set("Content-Encoding", "gzip")
	compressor := compressors.Get().(*gzip.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(w)
	return errors.Join(json.NewEncoder(compressor).Encode(delta), compressor.Close())
}
