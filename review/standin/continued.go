package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["continued"] = playContinued }

const (
	// Doses: srv_crash with share 0.17, at most 4.5 s; srv_grey with share 0.14 and
	// x 0.45, for 6.5 s. Of seven servers that is one each.
	streamServers  = 7
	greyShare      = 0.45
	greyLength     = 6500 * time.Millisecond
	crashLength    = time.Second
	crashInterval  = 2 * time.Second
	crashes        = 3
	streamEvents   = 20
	eventInterval  = 100 * time.Millisecond
	streamRate     = 25 * time.Millisecond // between two streams
	streamDeadline = 10 * time.Second
)

// streamEvent returns one event of a stream.
func streamEvent(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d of a draft\n\n", id, id) }

// wholeStream returns all events of a stream.
func wholeStream() string {
	var text strings.Builder
	for id := range streamEvents {
		text.WriteString(streamEvent(id + 1))
	}
	return text.String()
}

// playContinued: a server crashes in the middle of its streams, and a grey server fails
// some of the requests that continue them, with a status of 404 and its stamp.
func playContinued(ctx context.Context, w *world, trouble bool) ([]string, error) {
	routes := []map[string]any{route("draft", "/draft/", "streaming", "engine", 10000, 2)}
	if err := w.configure(routes, []map[string]any{service("engine", 0)}); err != nil {
		return nil, err
	}
	var grey atomic.Bool
	var atGrey, failed atomic.Int64
	for i := range streamServers {
		if _, err := w.addServer(fmt.Sprint("i-", i), "engine", func(s *server, rw http.ResponseWriter, r *http.Request) {
			request, last := r.Header.Get("X-Attempt-Id"), r.Header.Get("Last-Event-Id")
			w.record("server: %s begins %s after event %q", s.id, request, last)
			s.stamp(rw, r)
			if i == 1 && grey.Load() {
				// 0.45 of its requests, in turn.
				n := atGrey.Add(1)
				if int(float64(n)*greyShare) > int(float64(n-1)*greyShare) {
					failed.Add(1)
					w.record("server: %s fails %s after event %q with 404", s.id, request, last)
					rw.WriteHeader(http.StatusNotFound)
					_, _ = io.WriteString(rw, `{"error":"no such model"}`)
					return
				}
			}
			writeEvents(rw, r, last)
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
	grey.Store(trouble)
	time.AfterFunc(greyLength, func() { grey.Store(false) })
	crashed := make(chan error, 1)
	go func() { crashed <- crashInTurn(ctx, w.servers[0], trouble) }()
	c := newClients(w)
	c.stream(ctx, streamRate, crashes*crashInterval, func() {
		id := c.newID("s")
		g := w.gateways[rand.IntN(len(w.gateways))]
		c.send(ctx, g, "/draft/"+id, id, streamDeadline, "prompt")
	})
	c.wait.Wait()
	if err := <-crashed; err != nil {
		return nil, err
	}
	w.record("%d streams, the grey server failed %d of %d requests", len(c.answers), failed.Load(), atGrey.Load())
	return checkStreams(c, w), nil
}

// crashInTurn crashes a server and starts it again, some times.
func crashInTurn(ctx context.Context, s *server, trouble bool) error {
	if !trouble {
		return nil
	}
	for range crashes {
		sleep(ctx, crashInterval-crashLength)
		s.crash()
		s.world.record("server %s has crashed", s.id)
		sleep(ctx, crashLength)
		if err := s.restart(); err != nil {
			return err
		}
		s.world.record("server %s has started again", s.id)
	}
	return nil
}

// writeEvents streams the events after the last one.
func writeEvents(rw http.ResponseWriter, r *http.Request, last string) {
	next := 1
	if n, err := strconv.Atoi(last); err == nil {
		next = n + 1
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	for id := next; id <= streamEvents; id++ {
		if _, err := io.WriteString(rw, streamEvent(id)); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// checkStreams returns the streams that ended as complete successes and are not the
// servers' events 1 to the last, each once and nothing else.
func checkStreams(c *clients, w *world) []string {
	var broken []string
	whole, brokenOff := 0, 0
	for _, a := range c.answers {
		switch {
		case a.status == http.StatusOK && a.complete && a.body != wholeStream():
			tail := a.body[max(0, len(a.body)-60):]
			broken = append(broken, fmt.Sprintf("MIXED, ORDER: %s got 200, %d bytes that look complete and end with %q", a.request, len(a.body), tail))
		case a.status == http.StatusOK && a.complete:
			whole++
		case a.status == http.StatusOK:
			brokenOff++
		}
	}
	w.record("%d streams whole, %d broken off (which is allowed)", whole, brokenOff)
	return broken
}
