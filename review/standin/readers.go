package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["readers"] = playReaders }

const (
	// The site kvt-windhoek has four edge machines and three spare ones.
	allGateways = 7
	// killLength is how long the processes are down: node_kill has 3.5 s at most.
	killLength = 3400 * time.Millisecond
	// A config_storm has a change each 0.06 to 0.33 s.
	stormGap     = 150 * time.Millisecond
	movedVersion = 4
	// settleTime is how long the gateways get to know one another and to agree which of
	// them read the store.
	settleTime = 6 * time.Second
	// idleTime is the time without a call of the store after which a gateway does not
	// read it: a watch waits for 1.5 s at most.
	idleTime     = 3 * time.Second
	lookupRate   = 50 * time.Millisecond // between two requests to one gateway
	lookupLength = 6 * time.Second
)

// playReaders: those gateways that read the store are killed at the same moment, and a
// route is moved to another service.
func playReaders(ctx context.Context, w *world, trouble bool) ([]string, error) {
	routes := []map[string]any{route("lookup", "/lookup/", "safe", "old", 800, 2)}
	services := []map[string]any{service("old", 0), service("new", 0)}
	if err := w.configure(1, routes, services); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	ranAt := make(map[string]string) // service by request
	for _, name := range []string{"old", "new"} {
		for i := range 3 {
			if _, err := w.addServer(fmt.Sprint("i-", name, "-", i), name, func(s *server, rw http.ResponseWriter, r *http.Request) {
				request := r.Header.Get("X-Attempt-Id")
				mu.Lock()
				ranAt[request] = s.service
				mu.Unlock()
				w.record("server: %s runs %s", s.id, request)
				time.Sleep(20 * time.Millisecond)
				s.stamp(rw, r)
				_, _ = io.WriteString(rw, s.service)
			}); err != nil {
				return nil, err
			}
		}
	}
	if err := w.addGateways(allGateways); err != nil {
		return nil, err
	}
	if !sleep(ctx, settleTime) {
		return nil, ctx.Err()
	}
	readers, others := splitReaders(w, time.Now().Add(-idleTime))
	if len(others) == 0 {
		return nil, errors.New("all gateways read the store")
	}
	var killed time.Time
	// Configurations in quick succession, of which the third moves the route.
	for version := 2; version < movedVersion; version++ {
		routes[0]["timeoutMs"] = 800 + version
		if err := w.configure(version, routes, services); err != nil {
			return nil, err
		}
		sleep(ctx, stormGap/2)
		if version == movedVersion-1 && trouble {
			killed = time.Now()
			killAll(readers)
		}
		sleep(ctx, stormGap/2)
	}
	routes[0]["service"] = "new"
	if err := w.configure(movedVersion, routes, services); err != nil {
		return nil, err
	}
	confirmed := time.Now()
	c := newClients(w)
	for _, g := range others {
		c.wait.Go(func() {
			c.stream(ctx, lookupRate, lookupLength, func() {
				id := c.newID("l")
				c.send(ctx, g, http.MethodGet, "/lookup/"+id, id, 1500*time.Millisecond, "")
			})
		})
	}
	if trouble {
		sleep(ctx, time.Until(killed.Add(killLength)))
		for _, g := range readers {
			if err := g.start(); err != nil {
				return nil, err
			}
		}
	}
	c.wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	return checkMoved(c, w, confirmed, ranAt), nil
}

// killAll kills gateways at the same moment.
func killAll(gateways []*gateway) {
	var killed sync.WaitGroup
	for _, g := range gateways {
		killed.Go(g.kill)
	}
	killed.Wait()
}

// splitReaders divides the gateways into those that have called the store since a time
// and the others.
func splitReaders(w *world, since time.Time) (readers, others []*gateway) {
	var names []string
	for _, g := range w.gateways {
		if g.calledSince(since) {
			readers = append(readers, g)
			names = append(names, g.name())
		} else {
			others = append(others, g)
		}
	}
	w.record("gateways that read the store: %s", strings.Join(names, ", "))
	return readers, others
}

// checkMoved returns the requests that were sent later than the bound after the
// confirmation of the move and run by the old service.
func checkMoved(c *clients, w *world, confirmed time.Time, ranAt map[string]string) []string {
	var broken []string
	var last time.Duration
	for _, a := range c.answers {
		after := a.sent.Sub(confirmed)
		if ranAt[a.request] != "old" {
			continue
		}
		last = max(last, after)
		if after > configBound {
			broken = append(broken, fmt.Sprintf("CONFIG: %s was sent to %s %.3f s after the confirmation of the move and run by the old service",
				a.request, a.gateway, after.Seconds()))
		}
	}
	w.record("%d answers, the last request that the old service ran was sent %.3f s after the confirmation", len(c.answers), last.Seconds())
	return broken
}
