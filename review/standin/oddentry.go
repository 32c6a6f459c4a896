package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["oddentry"] = playOddEntry }

const (
	// serveTime is how long the leaving server goes on serving after its report:
	// drainMs and a little longer (at times many seconds).
	serveTime = 3200 * time.Millisecond
	oddLength = 4500 * time.Millisecond // of the clients' traffic
	// oddAt is when the other writer writes, after the report of the server.
	oddAt     = 2500 * time.Millisecond
	orderRate = 25 * time.Millisecond // between two requests
)

// playOddEntry: a server reports that it is draining, and later another writer leaves an
// entry with missing fields under its key.
func playOddEntry(ctx context.Context, w *world, trouble bool) ([]string, error) {
	routes := []map[string]any{route("filing", "/filing/", "unsafe", "registry", 800, 1)}
	if err := w.configure(routes, []map[string]any{service("registry", 0)}); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var atLeaving []run
	for i := range 3 {
		if _, err := w.addServer(fmt.Sprint("i-", i), "registry", func(s *server, rw http.ResponseWriter, r *http.Request) {
			request := r.Header.Get("X-Attempt-Id")
			w.record("server: %s runs %s", s.id, request)
			if i == 0 {
				mu.Lock()
				atLeaving = append(atLeaving, run{server: s.id, request: request, at: time.Now()})
				mu.Unlock()
			}
			time.Sleep(60 * time.Millisecond)
			s.stamp(rw, r)
			_, _ = io.WriteString(rw, "filed")
		}); err != nil {
			return nil, err
		}
	}
	if err := w.addGateways(); err != nil {
		return nil, err
	}
	if !sleep(ctx, stableWindow+time.Second) {
		return nil, ctx.Err()
	}
	leaving := w.servers[0]
	if err := leaving.setState("draining"); err != nil {
		return nil, err
	}
	reported := time.Now()
	w.record("the store has accepted that %s is draining", leaving.id)
	c := newClients(w)
	for _, g := range w.gateways {
		c.wait.Go(func() {
			c.stream(ctx, orderRate, oddLength, func() {
				id := c.newID("f")
				c.send(ctx, g, "/filing/"+id, id, filingDeadline, "transcript")
			})
		})
	}
	sleep(ctx, time.Until(reported.Add(oddAt)))
	if trouble {
		leaving.mu.Lock()
		odd := map[string]any{"service": leaving.service, "address": leaving.address, "zone": "a", "slots": 16, "state": "ready"}
		leaving.mu.Unlock()
		if err := w.put(leaving.key(), odd); err != nil {
			return nil, err
		}
		w.record("another writer has left an entry without version, coldLeftMs, sequence and born under %s", leaving.key())
	}
	sleep(ctx, time.Until(reported.Add(serveTime)))
	leaving.crash()
	w.store.Put(leaving.key(), nil)
	w.record("%s has ended as planned, and its entry is removed", leaving.id)
	c.wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	c.recordLost("the server that has ended as planned", atLeaving)
	var broken []string
	for _, r := range atLeaving {
		if after := r.at.Sub(reported); after > drainBound {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %.3f s after the store had accepted that it is draining", r.request, r.server, after.Seconds()))
		}
	}
	w.record("%d answers, %d requests reached the leaving server after its report", len(c.answers), len(atLeaving))
	return broken, nil
}
