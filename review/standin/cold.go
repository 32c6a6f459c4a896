package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["cold"] = playCold }

const (
	// coldPerS is what a cold server of the service sustains.
	coldPerS = 2
	// restartDelay is the time from the kill of a process to its start. The dose of
	// herd_kill is 2.0 s at most; a process that was killed is started again after a
	// short delay.
	restartDelay = 100 * time.Millisecond
	coldRate     = 25 * time.Millisecond // between two requests to one gateway
	coldLength   = 7 * time.Second
	// clumpTime and clumpSize: the processes are killed when the server has just got
	// so many requests in so short a time.
	clumpTime = 200 * time.Millisecond
	clumpSize = 5
)

// arrivals are the times at which requests reached a server.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// within returns how many requests arrived in the last span.
func (a *arrivals) within(span time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := time.Now().Add(-span)
	return len(a.times) - slices.IndexFunc(append(slices.Clone(a.times), time.Now()), since.Before)
}

// most returns the most requests in any second, and when that second began.
func (a *arrivals) most() (int, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	best, at := 0, time.Time{}
	for i, from := range a.times {
		n := 0
		for _, other := range a.times[i:] {
			if other.Sub(from) < time.Second {
				n++
			}
		}
		if n > best {
			best, at = n, from
		}
	}
	return best, at
}

// playCold: all gateways are killed at the same moment and start again, while a server
// that has started again is cold.
func playCold(ctx context.Context, w *world, trouble bool) ([]string, error) {
	routes := []map[string]any{route("lookup", "/lookup/", "safe", "cold", 800, 300, 2)}
	if err := w.configure(1, routes, []map[string]any{service("cold", coldPerS)}); err != nil {
		return nil, err
	}
	var arrived arrivals
	s, err := w.addServer("i-cold", "cold", func(s *server, rw http.ResponseWriter, r *http.Request) {
		arrived.add()
		w.record("server: %s gets %s", s.id, r.Header.Get("X-Attempt-Id"))
		s.stamp(rw, r)
		_, _ = io.WriteString(rw, "found")
	})
	if err != nil {
		return nil, err
	}
	if err := w.addGateways(2); err != nil {
		return nil, err
	}
	if !sleep(ctx, stableWindow+time.Second) {
		return nil, ctx.Err()
	}
	c := newClients(w)
	for _, g := range w.gateways {
		c.wait.Go(func() {
			c.stream(ctx, coldRate, coldLength, func() {
				id := c.newID("l")
				c.send(ctx, g, http.MethodGet, "/lookup/"+id, id, 1500*time.Millisecond, "")
			})
		})
	}
	sleep(ctx, time.Second)
	s.crash() // it starts again during traffic, and is cold then
	s.mu.Lock()
	s.coldLeft = coldStart
	s.mu.Unlock()
	if err := s.restart(); err != nil {
		return nil, err
	}
	w.record("server %s has started again and is cold for %v", s.id, coldStart)
	sleep(ctx, 2*time.Second)
	if trouble {
		for ctx.Err() == nil && arrived.within(clumpTime) < clumpSize {
			sleep(ctx, 2*time.Millisecond)
		}
		if err := w.herdKill(ctx); err != nil {
			return nil, err
		}
	}
	c.wait.Wait()
	allowed := coldPerS*coldOvershoot + coldSlack
	most, at := arrived.most()
	w.record("the cold server got at most %d requests in a second, allowed are %.1f; %d in all", most, allowed, len(arrived.times))
	if float64(most) > allowed {
		return []string{fmt.Sprintf("FAILBACK: the cold server got %d requests in the second from %.3f, allowed are %.1f",
			most, at.Sub(w.started).Seconds(), allowed)}, nil
	}
	return nil, nil
}

// herdKill kills all gateways at the same moment and starts them again.
func (w *world) herdKill(ctx context.Context) error {
	killAll(w.gateways)
	sleep(ctx, restartDelay)
	for _, g := range w.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}
