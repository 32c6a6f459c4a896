package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
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
	// crashCount is how many requests in a second a cold server bears, five times what
	// it sustains: it crashes at a rate well above that.
	crashCount = 5 * coldPerS
)

// arrivals are the requests that reached a server.
type arrivals struct {
	mu   sync.Mutex
	runs []run
}

func (a *arrivals) add(r run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(a.runs, r)
}

// within returns how many requests arrived in the last span.
func (a *arrivals) within(span time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := time.Now().Add(-span)
	count := 0
	for _, r := range a.runs {
		if r.at.After(since) {
			count++
		}
	}
	return count
}

// most returns the most requests in any second, and when that second began.
func (a *arrivals) most() (int, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	best, at := 0, time.Time{}
	for i, from := range a.runs {
		n := 0
		for _, other := range a.runs[i:] {
			if other.at.Sub(from.at) < time.Second {
				n++
			}
		}
		if n > best {
			best, at = n, from.at
		}
	}
	return best, at
}

// playCold: all gateways are killed at the same moment and start again, while a server
// that has started again is cold.
func playCold(ctx context.Context, w *world, trouble bool) ([]string, error) {
	routes := []map[string]any{route("filing", "/filing/", "unsafe", "cold", 800, 1)}
	if err := w.configure(routes, []map[string]any{service("cold", coldPerS)}); err != nil {
		return nil, err
	}
	var arrived arrivals
	var crashed atomic.Bool
	s, err := w.addServer("i-cold", "cold", func(s *server, rw http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("X-Attempt-Id")
		arrived.add(run{server: s.id, request: request, at: time.Now()})
		w.record("server: %s runs %s", s.id, request)
		if s.cold() && arrived.within(time.Second) > crashCount && !crashed.Swap(true) {
			w.record("server %s crashes under its load", s.id)
			s.crash()
		}
		time.Sleep(60 * time.Millisecond)
		s.stamp(rw, r)
		_, _ = io.WriteString(rw, "filed")
	})
	if err != nil {
		return nil, err
	}
	if err := w.addGateways(); err != nil {
		return nil, err
	}
	if !sleep(ctx, stableWindow+time.Second) {
		return nil, ctx.Err()
	}
	c := newClients(w)
	for _, g := range w.gateways {
		c.wait.Go(func() {
			c.stream(ctx, coldRate, coldLength, func() {
				id := c.newID("f")
				c.send(ctx, g, "/filing/"+id, id, filingDeadline, "transcript")
			})
		})
	}
	sleep(ctx, time.Second)
	s.crash() // it starts again during traffic, and is cold then
	s.mu.Lock()
	s.coldLeft = coldStart
	s.mu.Unlock()
	arrived.mu.Lock()
	arrived.runs = nil
	arrived.mu.Unlock()
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
	c.recordLost("the cold server that has crashed", arrived.runs)
	most, at := arrived.most()
	w.record("the cold server got at most %d requests in a second, allowed are %.1f; %d in all", most, allowed, len(arrived.runs))
	if float64(most) > allowed {
		return []string{fmt.Sprintf("FAILBACK: the cold server got %d requests in the second from %.3f, allowed are %.1f",
			most, at.Sub(w.started).Seconds(), allowed)}, nil
	}
	return nil, nil
}

// cold reports whether the server has started again and is cold. The cases do not last
// longer than that.
func (s *server) cold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldLeft > 0
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

// killAll kills gateways at the same moment.
func killAll(gateways []*gateway) {
	var killed sync.WaitGroup
	for _, g := range gateways {
		killed.Go(g.kill)
	}
	killed.Wait()
}
