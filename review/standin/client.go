package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	clientHost = "review.example"
	clientKey  = "key-of-tenant"
)

// answer is what a client got for one attempt.
type answer struct {
	request  string
	gateway  string
	sent     time.Time
	status   int    // 0 if the channel was closed without an answer
	stamp    string // of the server whose answer it is
	body     string
	complete bool // the answer has its end
}

// clients sends requests, each on a new channel.
type clients struct {
	world  *world
	client *http.Client
	wait   sync.WaitGroup

	mu      sync.Mutex
	next    int
	answers []answer
}

func newClients(w *world) *clients {
	return &clients{world: w, client: &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// newID returns an ID for one attempt.
func (c *clients) newID(prefix string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("%s-%04d", prefix, c.next)
}

// send sends one attempt with the method POST and waits for the end of its answer.
func (c *clients) send(ctx context.Context, g *gateway, path, id string, deadline time.Duration, body string) answer {
	a := answer{request: id, gateway: g.name(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front()+path, strings.NewReader(body))
	if err != nil {
		return a
	}
	request.Host = clientHost
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("X-Credential", clientKey)
	response, err := c.client.Do(request)
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.stamp, a.body, a.complete = response.StatusCode, response.Header.Get("X-Response-Stamp"), string(text), readErr == nil
	}
	c.world.record("client: %s POST %s to %s, sent %.3f: status %d, stamp %q, complete %v, %d bytes", id, path, a.gateway,
		a.sent.Sub(c.world.started).Seconds(), a.status, a.stamp, a.complete, len(a.body))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

// stream calls f, each time in a goroutine of its own, at an interval until the end.
func (c *clients) stream(ctx context.Context, interval, length time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); {
		c.wait.Go(f)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// recordLost records which of the runs their clients never got an answer to, as a
// consequence of what a case shows.
func (c *clients) recordLost(where string, runs []run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		ran := slices.ContainsFunc(runs, func(r run) bool { return r.request == a.request })
		if ran && a.stamp == "" && a.status != 0 { // 0: its gateway was killed
			c.world.record("consequence: %s began to run at %s and got status %d", a.request, where, a.status)
		}
	}
}
