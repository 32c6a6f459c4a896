package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["removed"] = runRemoved }

const removedConfig = `{"version":3,"routes":[
 {"name":"order","host":"case.example","pathPrefix":"/order/","type":"unsafe","timeoutMs":2500,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1}],
 "services":[{"name":"desk","healthPath":"/health","maxConns":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["key-of-the-case"],"priority":1}]}`

const (
	removedRounds = 5
	drainTime     = 2000 * time.Millisecond // drainMs
	// leaveTime is how long a server goes on serving after its entry is removed.
	leaveTime = drainTime + 150*time.Millisecond
	// quietTime is how long a watch has waited when it is cut.
	quietTime = 1300 * time.Millisecond
)

// watches knows the watch that waits at the store, and may cut it.
type watches struct {
	mu      sync.Mutex
	waiting time.Time     // since when a watch waits
	cut     chan struct{} // closed to cut it
}

// wrap returns the store behind a front that closes each channel after its answer.
func (c *watches) wrap(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		if !strings.HasSuffix(r.URL.Path, "/kv-watch") {
			store.ServeHTTP(w, r)
			return
		}
		cut := make(chan struct{})
		c.mu.Lock()
		c.waiting, c.cut = time.Now(), cut
		c.mu.Unlock()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			store.ServeHTTP(w, r.WithContext(ctx))
		}()
		select {
		case <-answered:
		case <-cut:
			cancel()
			<-answered
			panic(http.ErrAbortHandler) // closes the channel without an answer
		}
	})
}

// cutWaiting cuts a watch when it has waited for quietTime, and returns when it has.
func (c *watches) cutWaiting() {
	for {
		time.Sleep(time.Millisecond)
		c.mu.Lock()
		if waited := time.Since(c.waiting); c.cut != nil && waited >= quietTime && waited < quietTime+50*time.Millisecond {
			close(c.cut)
			c.cut = nil
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}

// runRemoved plays servers that leave by the removal of their entry, at a moment at which
// the store cuts a watch that waits.
func runRemoved(w *world) error {
	c := &watches{}
	if err := w.startStore(removedConfig, c.wrap); err != nil {
		return err
	}
	start := func(id string, machine int) (*process, error) {
		address, err := w.address(machine)
		if err != nil {
			return nil, err
		}
		p, err := w.startServer(id, address, "-work", "100ms")
		if err == nil {
			w.publish(id, "desk", address, 6)
		}
		return p, err
	}
	if _, err := start("i-stays", 20); err != nil {
		return err
	}
	g, err := w.startGateway()
	if err != nil {
		return err
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for range 6 {
		clients.Go(func() { w.orders(g.front, stop) })
	}
	late, lost := 0, 0
	for round := range removedRounds {
		id := fmt.Sprint("i-leaves-", round)
		p, err := start(id, 30+round)
		if err != nil {
			return err
		}
		time.Sleep(4 * time.Second) // longer than stableWindowMs
		if w.trouble {
			c.cutWaiting()
			w.note("store: a watch that has waited for %v is cut", quietTime)
		}
		w.remove(id)
		removed := time.Now()
		time.Sleep(leaveTime)
		w.kill(p)
		w.note("server %s has left", id)
		rounds, broken := w.lateAt(id, removed.Add(drainTime))
		late += rounds
		lost += broken
	}
	close(stop)
	clients.Wait()
	w.note("%d requests reached a server later than %v after the removal of its entry; %d of them were not answered by it", late, drainTime, lost)
	if late > 0 {
		return errBroken
	}
	return nil
}

// orders sends orders, each on a new channel, until it is stopped.
func (w *world) orders(front string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		id := w.attemptID()
		got := w.send(front, http.MethodPost, "/order/a", id, 2500*time.Millisecond, "x")
		if got.status != http.StatusOK {
			w.note("client: %s got %d, error: %v", id, got.status, got.err)
		}
	}
}

// lateAt returns how many requests a server has run that reached it after a time, and how
// many of them it has not ended.
func (w *world) lateAt(server string, after time.Time) (late, unended int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, run := range w.runs {
		if run.server == server && run.at.After(after) {
			late++
			if !run.ended {
				unended++
			}
			_, _ = fmt.Fprintf(w.record, "          %s reached server %s %.3f s after the removal + drainMs\n", id, server, run.at.Sub(after).Seconds())
		}
	}
	return late, unended
}
