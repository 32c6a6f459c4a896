package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["refused"] = playRefused }

const (
	// Doses of srv_grey: share 0.14 of the servers fail 0.45 (greyShare) of their
	// requests for 6.5 s.
	greyServers    = 7                     // of which one is grey
	filingRate     = 50 * time.Millisecond // between two filings
	filingDeadline = 1500 * time.Millisecond
)

// register is what the servers of the filing service have recorded.
type register struct {
	mu      sync.Mutex
	runs    map[string]run   // by request
	filings map[string][]run // by filing, which a client may send again in a new request
	grey    bool
	count   int // of requests at the grey server
}

// file records that a server begins to work on a request. It reports whether the run
// fails at its end.
func (f *register) file(s *server, request, filing string, mayFail bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := run{server: s.id, request: request, at: time.Now()}
	f.runs[request] = r
	f.filings[filing] = append(f.filings[filing], r)
	s.world.record("server: %s runs %s of %s", s.id, request, filing)
	if !mayFail || !f.grey {
		return false
	}
	f.count++
	return int(float64(f.count)*greyShare) > int(float64(f.count-1)*greyShare)
}

func (f *register) setGrey(grey bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grey = grey
}

// playRefused: a server runs a filing and then fails, with status 503, its stamp and
// without X-Not-Executed.
func playRefused(ctx context.Context, w *world, trouble bool) ([]string, error) {
	f := &register{runs: make(map[string]run), filings: make(map[string][]run)}
	routes := []map[string]any{route("filing", "/filing/", "unsafe", "registry", 800, 1)}
	if err := w.configure(routes, []map[string]any{service("registry", 0)}); err != nil {
		return nil, err
	}
	for i := range greyServers {
		grey := i == 0
		if _, err := w.addServer(fmt.Sprint("i-", i), "registry", func(s *server, rw http.ResponseWriter, r *http.Request) {
			failed := f.file(s, r.Header.Get("X-Attempt-Id"), strings.TrimPrefix(r.URL.Path, "/filing/"), grey)
			time.Sleep(30 * time.Millisecond) // it works
			s.stamp(rw, r)
			if failed {
				rw.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(rw, "the filing was recorded, its confirmation failed")
				return
			}
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
	if trouble {
		w.record("server i-0 begins to fail %.2f of its requests", greyShare)
	}
	f.setGrey(trouble)
	time.AfterFunc(greyLength, func() { f.setGrey(false) })
	c := newClients(w)
	c.stream(ctx, filingRate, greyLength, func() { fileOnce(ctx, c, w, c.newID("filing")) })
	c.wait.Wait()
	return f.check(c, w), nil
}

// fileOnce sends a filing, and once more if the first answer promises that it has not
// run.
func fileOnce(ctx context.Context, c *clients, w *world, filing string) {
	started := time.Now()
	for attempt := range 2 {
		left := filingDeadline - time.Since(started)
		g := w.gateways[attempt%len(w.gateways)]
		a := c.send(ctx, g, "/filing/"+filing, c.newID("a"), left, "transcript")
		if !promisesNotRun(a.status) {
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// promisesNotRun reports whether a status promises that the request has not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// check returns the requests that were answered as not run and have run, with the
// filings that landed twice for it.
func (f *register) check(c *clients, w *world) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var broken []string
	for _, a := range c.answers {
		if r, ran := f.runs[a.request]; ran && promisesNotRun(a.status) {
			broken = append(broken, fmt.Sprintf("REFUSED: %s got %d and has run at %s", a.request, a.status, r.server))
		}
	}
	twice := 0
	for filing, runs := range f.filings {
		if len(runs) > 1 {
			twice++
			w.record("consequence: %s landed %d times", filing, len(runs))
		}
	}
	w.record("%d answers, %d filings landed more than once", len(c.answers), twice)
	return broken
}
