package rtgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// Guards against a request that is served although the configuration does not
// allow it, or refused although it does, and against an organisation that the
// caller names itself.
func TestIdentify(t *testing.T) {
	tests := []struct {
		path   string
		key    string
		status int
	}{
		{"/safe/x", "key", http.StatusOK},
		{"/safe/x", "", http.StatusUnauthorized},
		{"/safe/x", "other", http.StatusUnauthorized},
		{"/public/x", "", http.StatusOK},
		{"/public/x", "other", http.StatusOK},
		{"/safe", "key", http.StatusNotFound},
		{"/none/x", "key", http.StatusNotFound},
		{"/order/inner/x", "key", http.StatusOK},
		{"/safe//x/../y?a=%2f&b", "key", http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.path+test.key, func(t *testing.T) {
			withTestbed(t, 1, func(b *testbed) {
				h := headers("id-1", "Key", test.key, "Organisation", "forged")
				got := b.call(http.MethodGet, test.path, h, "")
				if got.status != test.status {
					t.Errorf("got status %d, want %d", got.status, test.status)
				}
				for _, r := range b.allRuns() {
					if r.request.RequestURI != test.path {
						t.Errorf("target got URI %q, want that of the caller", r.request.RequestURI)
					}
					if r.request.Header.Get("Organisation") == "forged" {
						t.Error("target got the organisation that the caller named, want that of the key")
					}
				}
			})
		})
	}
}

// Guards against a body over the limit that is sent to a target.
func TestBodyLimit(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		got := b.call(http.MethodPost, "/order/x", headers("id-1"), strings.Repeat("x", 1<<20+1))
		if got.status != http.StatusRequestEntityTooLarge || len(b.allRuns()) != 0 {
			t.Errorf("got status %d, %d attempts, error %v; want 413 and no attempt", got.status, len(b.allRuns()), got.err)
		}
	})
}

// Guards against a header limit that does not follow the configuration, and
// against refusals of headers within the limit.
func TestHeaderLimit(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		b.mu.Lock()
		b.view.Configuration.Limits.Header = 1000
		b.mu.Unlock()
		for _, test := range []struct{ size, status int }{
			{500, http.StatusOK}, {1000, http.StatusRequestHeaderFieldsTooLarge}, {90000, http.StatusRequestHeaderFieldsTooLarge},
		} {
			id := fmt.Sprint("id-", test.size)
			got := b.call(http.MethodPost, "/order/x", headers(id, "Long", strings.Repeat("x", test.size)), "")
			if got.status != test.status {
				t.Errorf("headers of over %d bytes: got status %d, want %d, error %v", test.size, got.status, test.status, got.err)
			}
		}
	})
}

// Guards against refusals by a process that has just started and is about to
// get its configuration.
func TestWaitsForConfiguration(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration
		status int
	}{
		{"soon", 100 * time.Millisecond, http.StatusOK},
		{"too late", time.Second, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 1, func(b *testbed) {
				b.mu.Lock()
				published := b.view
				b.view = nil
				b.mu.Unlock()
				time.AfterFunc(test.after, func() {
					b.mu.Lock()
					defer b.mu.Unlock()
					b.view = published
				})
				if got := b.call(http.MethodPost, "/order/x", headers("id-1"), ""); got.status != test.status {
					t.Errorf("got status %d, want %d", got.status, test.status)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against unreachable targets that use up the attempts of a request,
// also of one that must run only once.
func TestUnreachableTarget(t *testing.T) {
	for _, path := range []string{"/order/x", "/safe/x", "/stream/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			withTestbed(t, 4, func(b *testbed) {
				for _, target := range b.targets[:3] {
					b.network.Isolate(strings.Split(string(target.address), ":")[0])
				}
				got := b.call(http.MethodPost, path, headers("id-1"), "")
				if got.status != http.StatusOK || len(b.allRuns()) != 1 {
					t.Errorf("got status %d after %d attempts, want 200 after 1", got.status, len(b.allRuns()))
				}
			})
		})
	}
}

// Guards against a request that is sent to more targets than its route allows.
func TestAttempts(t *testing.T) {
	for _, route := range testRoutes {
		t.Run(route.Name, func(t *testing.T) {
			for _, fault := range behaviours {
				withTestbed(t, 5, func(b *testbed) {
					for _, target := range b.targets {
						target.set(fault.script)
					}
					b.call(http.MethodPost, route.Prefix+"x", headers("id-1"), "")
					if attempts := len(b.allRuns()); attempts > route.Attempts {
						t.Errorf("%s: sent to %d targets, want at most %d", fault.name, attempts, route.Attempts)
					}
				})
			}
		})
	}
}

// Guards against requests for a target that drains, that is in an availability
// zone that operators took out of service, or whose address belongs to another
// target.
func TestForbiddenTargets(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *testbed, instances []*rtcatalog.Instance, zonesOut map[rtid.Zone]bool)
	}{
		{"draining", func(_ *testbed, instances []*rtcatalog.Instance, _ map[rtid.Zone]bool) { instances[0].Draining = true }},
		{"zone out of service", func(_ *testbed, instances []*rtcatalog.Instance, zonesOut map[rtid.Zone]bool) {
			instances[0].Zone = "b"
			zonesOut["b"] = true
		}},
		{"other incarnation at the address", func(_ *testbed, instances []*rtcatalog.Instance, _ map[rtid.Zone]bool) {
			instances[0].ID = "earlier"
		}},
		{"earlier incarnation published beside the later one", func(b *testbed, instances []*rtcatalog.Instance, _ map[rtid.Zone]bool) {
			instances[0].ID = "earlier"
			instances[0].Address = b.targets[1].address
			instances[1].CreatedRevision.Number = 7
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				var instances []*rtcatalog.Instance
				for _, target := range b.targets {
					instances = append(instances, &rtcatalog.Instance{ID: target.id, Service: "work", Address: target.address, Zone: "a", Slots: 16})
				}
				zonesOut := make(map[rtid.Zone]bool)
				test.change(b, instances, zonesOut)
				b.mu.Lock()
				b.view = rtcatalog.NewView(rtid.StoreRevision{Number: 2}, b.view.Configuration, zonesOut, instances)
				b.mu.Unlock()
				for i := range 20 {
					got := b.call(http.MethodPost, "/order/x", headers(fmt.Sprint("id-", i)), "")
					if got.status != http.StatusOK {
						t.Fatalf("request %d: got status %d, want 200", i, got.status)
					}
				}
				for _, r := range b.allRuns() {
					if r.target != b.targets[1] {
						t.Errorf("sent to %s, want only the usable target", r.target.id)
					}
				}
			})
		})
	}
}

// Guards against retries beyond the budget when all targets refuse or fail.
func TestRetryBudget(t *testing.T) {
	withTestbed(t, 2, func(b *testbed) {
		for _, target := range b.targets {
			target.set(refuseNotRun)
		}
		const requests = 400
		for i := range requests {
			b.call(http.MethodPost, "/safe/x", headers(fmt.Sprint("id-", i)), "")
		}
		// The budget of the testbed: a fifth of the requests and 100.
		if extra := len(b.allRuns()) - requests; extra > requests/5+100 || extra == 0 {
			t.Errorf("%d retries of %d requests, want some within the budget", extra, requests)
		}
	})
}

// Guards against a target that gets more requests than a cold one sustains,
// whether or not it is published as cold.
func TestColdRate(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		b.mu.Lock()
		b.view.Configuration.Services[0].ColdRate = 20
		b.mu.Unlock()
		start := time.Now()
		tasks := make([]*rttask.Task, 0, 100)
		for i := range 100 {
			tasks = append(tasks, rttask.Start(b.t.Context(), "call", func(context.Context) error {
				b.call(http.MethodPost, "/order/x", headers(fmt.Sprint("id-", i)), "")
				return nil
			}))
		}
		for _, task := range tasks {
			if err := <-task.Done(); err != nil {
				t.Error(err)
			}
		}
		count := 0
		for _, r := range b.allRuns() {
			if r.at.Sub(start) < time.Second {
				count++
			}
		}
		if limit := 20 * 1.5; float64(count) > limit || count == 0 {
			t.Errorf("%d requests in the first second, want some and at most %v", count, limit)
		}
	})
}

// Guards against requests that are cut off by a graceful shutdown, and against
// a process that still reports ready during it.
func TestDrain(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		b.targets[0].set(func(c net.Conn, r *run) {
			_, _ = io.WriteString(c, r.responseHead(200, chunked))
			for i := 1; i <= events; i++ {
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, chunk(event(i)))
			}
			_, _ = io.WriteString(c, lastChunk)
		})
		if status := b.ready(); status != http.StatusOK {
			t.Errorf("readiness probe got %d before the shutdown, want 200", status)
		}
		running := make(chan reply, 2)
		send := func(id string) *rttask.Task {
			return rttask.Start(b.t.Context(), "call", func(context.Context) error {
				running <- b.call(http.MethodPost, "/stream/x", headers(id), "")
				return nil
			})
		}
		first := send("id-1")
		time.Sleep(100 * time.Millisecond)
		shutdownStarted := time.Now()
		stopped := rttask.Start(b.t.Context(), "stop", func(context.Context) error { return b.stop() })
		time.Sleep(time.Second)
		if status := b.ready(); status != http.StatusServiceUnavailable {
			t.Errorf("readiness probe got %d during the shutdown, want 503", status)
		}
		second := send("id-2") // the load balancer still sends new connections here
		for range 2 {
			if got := <-running; got.err != nil || got.body != allEvents() {
				t.Errorf("request cut off: status %d, body %q, error %v", got.status, got.body, got.err)
			}
		}
		if err := <-stopped.Done(); err != nil {
			t.Error(err)
		}
		if took := time.Since(shutdownStarted); took > grace {
			t.Errorf("shutdown took %v, want at most the grace period", took)
		}
		if err := errors.Join(<-first.Done(), <-second.Done()); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a request that waits for room in a draining process and is
// cut off at the end of the grace period, although another process could serve
// it.
func TestDrainRefusesWaiting(t *testing.T) {
	withTestbed(t, 4, func(b *testbed) {
		useEngineService(b)
		for _, target := range b.targets {
			target.set(neverAnswer)
		}
		replies := make(chan reply, 2)
		send := func(id string) *rttask.Task {
			return rttask.Start(b.t.Context(), "call", func(context.Context) error {
				replies <- b.call(http.MethodPost, "/stream/x", headers(id, "Size", "100000"), "")
				return nil
			})
		}
		prefilling := send("id-1")
		time.Sleep(50 * time.Millisecond)
		waiting := send("id-2") // the engines still prefill the first one
		time.Sleep(50 * time.Millisecond)
		if runs := b.allRuns(); len(runs) != 1 {
			t.Fatalf("%d attempts, want 1 while the second request waits", len(runs))
		}
		stopped := rttask.Start(b.t.Context(), "stop", func(context.Context) error { return b.stop() })
		got := <-replies
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || got.took > time.Second {
			t.Errorf("waiting request got status %d after %v, error %v; want 503 with Retry-After within 1 s", got.status, got.took, got.err)
		}
		// The load balancer probes once a second and sends connections here until
		// the second failed probe: a caller that retries sooner is refused again.
		if after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || after < 2 {
			t.Errorf("Retry-After is %q, error %v; want 2 s or more", got.header.Get("Retry-After"), err)
		}
		<-replies
		if err := errors.Join(<-stopped.Done(), <-prefilling.Done(), <-waiting.Done()); err != nil {
			t.Error(err)
		}
	})
}

// ready probes the readiness as the load balancer does. It returns the status,
// 0 for none.
func (b *testbed) ready() int {
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return b.network.Host("10.0.9.9").Dial(ctx, readiness)
		},
	}}
	response, err := client.Get("http://entry/ready")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against idle connections that are closed before the limit of the
// configuration in force, or kept open long after it, also when the limit changes
// while they are open.
func TestIdleLimit(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		c, err := b.network.Host("10.0.9.9").Dial(b.t.Context(), callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		request := "GET /safe/x HTTP/1.1\r\nHost: service.example\r\nId: %d\r\nKey: key\r\nRemaining: 10s\r\n\r\n"
		for i, idle := range []time.Duration{12 * time.Second, 12 * time.Second, 24 * time.Second} {
			if i == 1 {
				changed := newConfiguration(2)
				changed.Limits.IdleTimeout = 30 * time.Second
				b.publish(changed)
			}
			if _, err := fmt.Fprintf(c, request, i); err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			buffer := make([]byte, 4096)
			if n, err := c.Read(buffer); err != nil || !strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200") {
				t.Fatalf("request %d: got %q, error %v; want status 200", i, buffer[:n], err)
			}
			time.Sleep(idle)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if n := b.network.Connections("10.0.0.1"); n != 0 {
			t.Errorf("%d connections open after the idle limit, want none", n)
		}
	})
}

// engineCosts are the costs of an engine as operators publish them.
var engineCosts = &rtcatalog.Engine{
	Slots: 16, Memory: 300000, StepsPerPass: 51, StepTime: 850 * time.Microsecond,
	PrefillPerToken: 5650 * time.Nanosecond, PrefillPerMillionPairs: 184 * time.Microsecond,
}

// useInteractiveEngines makes the targets engines, with the interactive routes of
// the testbed.
func useInteractiveEngines(b *testbed) {
	c := newConfiguration(2)
	c.Services[0].Engine = engineCosts
	b.publish(c)
}

// useEngineService turns the service of the testbed into an engine service.
func useEngineService(b *testbed) {
	c := newConfiguration(2)
	c.Services[0].Engine = engineCosts
	for i := range c.Routes {
		c.Routes[i].LatencySLO = 3 * time.Second
		if c.Routes[i].Kind == rtcatalog.KindStream {
			c.Routes[i].GapSLO = time.Second
		}
	}
	b.publish(c)
}

// Guards against a draining helper that makes every attempt of a long prompt
// fail until the published state shows that it drains.
func TestHelperRefuses(t *testing.T) {
	withTestbed(t, 6, func(b *testbed) {
		useEngineService(b)
		drainingTarget := b.targets[2]
		for _, target := range b.targets {
			target.set(func(c net.Conn, r *run) {
				if target == drainingTarget || strings.Contains(r.request.Header.Get("Helpers"), string(drainingTarget.address)) {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 503 x\r\nNotrun: 1\r\nFault: %s\r\nContent-Length: 0\r\n\r\n", drainingTarget.address)
					return
				}
				answerOK(c, r)
			})
		}
		for i := range 5 {
			got := b.call(http.MethodPost, "/stream/x", headers(fmt.Sprint("id-", i), "Size", "100000"), "")
			if got.status != http.StatusOK || got.body != allEvents() {
				t.Errorf("request %d: got status %d, want 200 and the whole stream", i, got.status)
			}
		}
		if refused := len(b.allRuns()) - 5; refused > 3 {
			t.Errorf("%d attempts were refused because of the same helper, want at most 3", refused)
		}
	})
}

// Guards against memory that stays reserved after its request, however the
// request and the commands for the memory end.
func TestMemoryIsReleased(t *testing.T) {
	tests := []struct {
		name          string
		script        script
		commandStatus func(command string) int
		renewed       bool
	}{
		{"request answered", answerOK, nil, false},
		{"request fails", writeText(func(*run) string { return "" }), nil, false},
		{"request refused", refuseNotRun, nil, false},
		{"command refused", answerOK, func(command string) int {
			if strings.HasPrefix(command, "reserve") {
				return http.StatusConflict
			}
			return http.StatusOK
		}, false},
		{"request lasts", func(c net.Conn, r *run) {
			time.Sleep(6 * time.Second)
			answerOK(c, r)
		}, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 24, func(b *testbed) {
				useEngineService(b)
				for _, target := range b.targets {
					target.set(test.script)
					target.commandStatus = test.commandStatus
				}
				b.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "330000"), "")
				time.Sleep(time.Second)
				checkReleased(b, test.renewed)
			})
		})
	}
}

// checkReleased checks that all reserved memory has been released.
func checkReleased(b *testbed, wantRenewed bool) {
	reserved, renewed := 0, 0
	for _, target := range b.targets {
		target.mu.Lock()
		commands := target.commands
		target.mu.Unlock()
		for i, command := range commands {
			if !strings.HasPrefix(command, "reserve") {
				continue
			}
			reserved++
			if i > 0 && command == commands[i-1] {
				renewed++
			}
		}
		if n := len(commands); n > 0 && !strings.HasPrefix(commands[n-1], "release") {
			b.t.Errorf("last command at %s is %q, want a release", target.id, commands[n-1])
		}
	}
	if reserved == 0 {
		b.t.Error("no memory was reserved for a prompt larger than an engine's memory")
	}
	if wantRenewed != (renewed > 0) {
		b.t.Errorf("got %d renewals, want some only for a request that lasts longer than a renewal interval", renewed)
	}
}

// stopCallers send requests one after the other, on connections that they keep or on
// new ones.
type stopCallers struct {
	b     *testbed
	path  string
	kept  *http.Transport
	ended chan struct{} // closed when they stop

	mu     sync.Mutex
	failed map[string]error // by request
	served int
}

// run sends the requests of one caller.
func (s *stopCallers) run(i int, keep bool) {
	for n := 0; ; n++ {
		select {
		case <-s.ended:
			return
		case <-time.After(time.Duration(i+1) * time.Millisecond):
		}
		s.send(fmt.Sprint("id-", i, "-", n), keep)
	}
}

// send sends one request and records how it ended.
func (s *stopCallers) send(id string, keep bool) {
	var got reply
	if keep {
		got = s.b.callOver(s.kept, id, s.path)
	} else {
		got = s.b.call(http.MethodPost, s.path, headers(id), "body")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if got.err != nil {
		s.failed[id] = got.err
	} else if got.status == http.StatusOK {
		s.served++
	}
}

// Guards against requests that a planned stop under load cuts off without an answer,
// although they have been sent to a target: on connections that callers keep, and on
// new ones up to the moment at which the listener closes.
func TestStopUnderLoad(t *testing.T) {
	for _, path := range []string{"/order/x", "/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				const callersOfEach = 15
				s := &stopCallers{b: b, path: path, ended: make(chan struct{}), failed: make(map[string]error), kept: &http.Transport{
					DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
						return b.network.Host("10.0.9.8").Dial(ctx, callers)
					},
				}}
				defer s.kept.CloseIdleConnections()
				var wg sync.WaitGroup
				for i := range 2 * callersOfEach {
					wg.Go(func() { s.run(i, i < callersOfEach) })
				}
				time.Sleep(time.Second)
				if err := b.stop(); err != nil {
					t.Error(err)
				}
				close(s.ended)
				wg.Wait()
				reached := 0
				for _, r := range b.allRuns() {
					if err, ok := s.failed[r.request.Header.Get("Id")]; ok {
						reached++
						t.Logf("%s: %v", r.request.Header.Get("Id"), err)
					}
				}
				if reached > 0 || s.served < 300 {
					t.Errorf("%d requests were cut off that had been sent to a target, %d served; want none, and 300 or more", reached, s.served)
				}
			})
		})
	}
}
