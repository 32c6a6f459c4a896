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
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// Guards against requests that the configuration does not allow, or that it
// allows and that are refused.
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
			inWorld(t, 1, func(w *world) {
				h := headers("id-1", "Key", test.key, "Organisation", "forged")
				got := w.call(http.MethodGet, test.path, h, "")
				if got.status != test.status {
					t.Errorf("status %d, want %d", got.status, test.status)
				}
				for _, r := range w.all() {
					if r.request.RequestURI != test.path {
						t.Errorf("target got %q", r.request.RequestURI)
					}
					if r.request.Header.Get("Organisation") == "forged" {
						t.Error("target got the organisation that the caller named")
					}
				}
			})
		})
	}
}

// Guards against a body over the limit that reaches a target.
func TestBodyLimit(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		got := w.call(http.MethodPost, "/order/x", headers("id-1"), strings.Repeat("x", 1<<20+1))
		if got.status != http.StatusRequestEntityTooLarge || len(w.all()) != 0 {
			t.Errorf("status %d, %d sends, %v", got.status, len(w.all()), got.err)
		}
	})
}

// Guards against a header limit that does not follow the configuration, and
// against a refusal of a header within it.
func TestHeaderLimit(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.mu.Lock()
		w.view.Configuration.Limits.Header = 1000
		w.mu.Unlock()
		for _, test := range []struct{ size, status int }{
			{500, http.StatusOK}, {1000, http.StatusRequestHeaderFieldsTooLarge}, {90000, http.StatusRequestHeaderFieldsTooLarge},
		} {
			id := fmt.Sprint("id-", test.size)
			got := w.call(http.MethodPost, "/order/x", headers(id, "Long", strings.Repeat("x", test.size)), "")
			if got.status != test.status {
				t.Errorf("header of over %d bytes: status %d, want %d, %v", test.size, got.status, test.status, got.err)
			}
		}
	})
}

// Guards against a refusal in the first moments of a process, when the
// configuration is about to come.
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
			inWorld(t, 1, func(w *world) {
				w.mu.Lock()
				known := w.view
				w.view = nil
				w.mu.Unlock()
				time.AfterFunc(test.after, func() {
					w.mu.Lock()
					defer w.mu.Unlock()
					w.view = known
				})
				if got := w.call(http.MethodPost, "/order/x", headers("id-1"), ""); got.status != test.status {
					t.Errorf("status %d, want %d", got.status, test.status)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a target that cannot be reached using up the attempts of a
// request, also of one that may be sent once.
func TestUnreachableTarget(t *testing.T) {
	for _, path := range []string{"/order/x", "/safe/x", "/stream/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			inWorld(t, 4, func(w *world) {
				for _, target := range w.targets[:3] {
					w.network.Isolate(strings.Split(string(target.address), ":")[0])
				}
				got := w.call(http.MethodPost, path, headers("id-1"), "")
				if got.status != http.StatusOK || len(w.all()) != 1 {
					t.Errorf("status %d after %d sends", got.status, len(w.all()))
				}
			})
		})
	}
}

// Guards against a request that is sent to more targets than its route allows.
func TestAttempts(t *testing.T) {
	for _, route := range testRoutes {
		t.Run(route.Name, func(t *testing.T) {
			for _, fault := range outcomes {
				inWorld(t, 5, func(w *world) {
					for _, target := range w.targets {
						target.set(fault.script)
					}
					w.call(http.MethodPost, route.Prefix+"x", headers("id-1"), "")
					if sends := len(w.all()); sends > route.Attempts {
						t.Errorf("%s: sent to %d targets, %d are allowed", fault.name, sends, route.Attempts)
					}
				})
			}
		})
	}
}

// Guards against work for a target that has left, or whose availability zone is
// out, or whose address another one has.
func TestForbiddenTargets(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *world, instances []*rtcatalog.Instance, out map[rtid.Zone]bool)
	}{
		{"draining", func(_ *world, instances []*rtcatalog.Instance, _ map[rtid.Zone]bool) { instances[0].Draining = true }},
		{"zone out", func(_ *world, instances []*rtcatalog.Instance, out map[rtid.Zone]bool) {
			instances[0].Zone = "b"
			out["b"] = true
		}},
		{"other start at the address", func(_ *world, instances []*rtcatalog.Instance, _ map[rtid.Zone]bool) {
			instances[0].ID = "earlier"
		}},
		{"earlier start listed beside the later", func(w *world, instances []*rtcatalog.Instance, _ map[rtid.Zone]bool) {
			instances[0].ID = "earlier"
			instances[0].Address = w.targets[1].address
			instances[1].CreatedRevision = 7
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, 2, func(w *world) {
				var instances []*rtcatalog.Instance
				for _, target := range w.targets {
					instances = append(instances, &rtcatalog.Instance{ID: target.id, Service: "work", Address: target.address, Zone: "a", Slots: 16})
				}
				out := make(map[rtid.Zone]bool)
				test.change(w, instances, out)
				w.mu.Lock()
				w.view = rtcatalog.NewView(2, w.view.Configuration, out, instances)
				w.mu.Unlock()
				for i := range 20 {
					got := w.call(http.MethodPost, "/order/x", headers(fmt.Sprint("id-", i)), "")
					if got.status != http.StatusOK {
						t.Fatalf("request %d: status %d", i, got.status)
					}
				}
				for _, r := range w.all() {
					if r.target != w.targets[1] {
						t.Errorf("sent to %s", r.target.id)
					}
				}
			})
		})
	}
}

// Guards against retries beyond the budget when all targets refuse or fail.
func TestRetryBudget(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		for _, target := range w.targets {
			target.set(notRunning)
		}
		const requests = 400
		for i := range requests {
			w.call(http.MethodPost, "/safe/x", headers(fmt.Sprint("id-", i)), "")
		}
		// The budget of the world: a fifth of the requests and 100.
		if extra := len(w.all()) - requests; extra > requests/5+100 || extra == 0 {
			t.Errorf("%d sends beyond the first of %d requests", extra, requests)
		}
	})
}

// Guards against a target that gets more than a cold one bears, whether it is
// known to be cold or not.
func TestColdRate(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.mu.Lock()
		w.view.Configuration.Services[0].ColdRate = 20
		w.mu.Unlock()
		start := time.Now()
		tasks := make([]*rttask.Task, 0, 100)
		for i := range 100 {
			tasks = append(tasks, rttask.Start(w.t.Context(), "call", func(context.Context) error {
				w.call(http.MethodPost, "/order/x", headers(fmt.Sprint("id-", i)), "")
				return nil
			}))
		}
		for _, task := range tasks {
			if err := <-task.Done(); err != nil {
				t.Error(err)
			}
		}
		count := 0
		for _, r := range w.all() {
			if r.at.Sub(start) < time.Second {
				count++
			}
		}
		if most := 20 * 1.5; float64(count) > most || count == 0 {
			t.Errorf("%d requests in a second, want at most %v", count, most)
		}
	})
}

// Guards against a planned stop that cuts a request, and against a process that
// counts as ready while it stops.
func TestDrain(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		w.targets[0].set(func(c net.Conn, r *run) {
			_, _ = io.WriteString(c, r.head(200, chunked))
			for i := 1; i <= events; i++ {
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, chunk(event(i)))
			}
			_, _ = io.WriteString(c, lastChunk)
		})
		if status := w.ready(); status != http.StatusOK {
			t.Errorf("ready answered %d before the stop", status)
		}
		running := make(chan reply, 2)
		send := func(id string) *rttask.Task {
			return rttask.Start(w.t.Context(), "call", func(context.Context) error {
				running <- w.call(http.MethodPost, "/stream/x", headers(id), "")
				return nil
			})
		}
		first := send("id-1")
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		stopped := rttask.Start(w.t.Context(), "stop", func(context.Context) error { return w.stop() })
		time.Sleep(time.Second)
		if status := w.ready(); status != http.StatusServiceUnavailable {
			t.Errorf("ready answered %d during the stop", status)
		}
		second := send("id-2") // the balancer still directs connections here
		for range 2 {
			if got := <-running; got.err != nil || got.body != allEvents() {
				t.Errorf("request cut: %d %q %v", got.status, got.body, got.err)
			}
		}
		if err := <-stopped.Done(); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > grace {
			t.Errorf("stopped after %v", took)
		}
		if err := errors.Join(<-first.Done(), <-second.Done()); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a request that waits for room in a process that stops, and is
// cut at the end of the time to stop though another process could serve it.
func TestDrainRefusesWaiting(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		engineWorld(w)
		for _, target := range w.targets {
			target.set(hang)
		}
		replies := make(chan reply, 2)
		send := func(id string) *rttask.Task {
			return rttask.Start(w.t.Context(), "call", func(context.Context) error {
				replies <- w.call(http.MethodPost, "/stream/x", headers(id, "Size", "100000"), "")
				return nil
			})
		}
		reading := send("id-1")
		time.Sleep(50 * time.Millisecond)
		waiting := send("id-2") // the engines have the first one to read
		time.Sleep(50 * time.Millisecond)
		if runs := w.all(); len(runs) != 1 {
			t.Fatalf("%d sends, want that the second request waits", len(runs))
		}
		stopped := rttask.Start(w.t.Context(), "stop", func(context.Context) error { return w.stop() })
		got := <-replies
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || got.took > time.Second {
			t.Errorf("waiting request got %d after %v, %v", got.status, got.took, got.err)
		}
		// The balancer asks once a second and directs callers here until the
		// second miss: one that comes back sooner is refused again.
		if after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || after < 2 {
			t.Errorf("caller may come back after %q, %v; want 2 s or more", got.header.Get("Retry-After"), err)
		}
		<-replies
		if err := errors.Join(<-stopped.Done(), <-reading.Done(), <-waiting.Done()); err != nil {
			t.Error(err)
		}
	})
}

// ready asks as the balancer does.
func (w *world) ready() int {
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return w.network.Host("10.0.9.9").Dial(ctx, readiness)
		},
	}}
	response, err := client.Get("http://entry/ready")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against idle connections that are closed before the limit in force,
// or kept open long after it, also when the limit changes while they are open.
func TestIdleLimit(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		c, err := w.network.Host("10.0.9.9").Dial(w.t.Context(), callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		request := "GET /safe/x HTTP/1.1\r\nHost: service.example\r\nId: %d\r\nKey: key\r\nLeft: 10s\r\n\r\n"
		for i, idle := range []time.Duration{12 * time.Second, 12 * time.Second, 24 * time.Second} {
			if i == 1 {
				changed := newConfiguration(2)
				changed.Limits.IdleTimeout = 30 * time.Second
				w.publish(changed)
			}
			if _, err := fmt.Fprintf(c, request, i); err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			buffer := make([]byte, 4096)
			if n, err := c.Read(buffer); err != nil || !strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200") {
				t.Fatalf("request %d: %q %v", i, buffer[:n], err)
			}
			time.Sleep(idle)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if n := w.network.Connections("10.0.0.1"); n != 0 {
			t.Errorf("%d connections open after the idle limit", n)
		}
	})
}

// engineWorld gives the world an engine service.
func engineWorld(w *world) {
	c := newConfiguration(2)
	c.Services[0].Engine = &rtcatalog.Engine{
		Slots: 16, Memory: 300000, StepsPerPass: 51, StepTime: 850 * time.Microsecond,
		PrefillPerToken: 5650 * time.Nanosecond, PrefillPerMillionPairs: 184 * time.Microsecond,
	}
	for i := range c.Routes {
		c.Routes[i].LatencySLO = 3 * time.Second
		if c.Routes[i].Kind == rtcatalog.KindStream {
			c.Routes[i].GapSLO = time.Second
		}
	}
	w.publish(c)
}

// Guards against a leaving helper that makes every send of a long prompt fail
// until the store shows that it leaves.
func TestHelperRefuses(t *testing.T) {
	inWorld(t, 6, func(w *world) {
		engineWorld(w)
		leaving := w.targets[2]
		for _, target := range w.targets {
			target.set(func(c net.Conn, r *run) {
				if target == leaving || strings.Contains(r.request.Header.Get("Helpers"), string(leaving.address)) {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 503 x\r\nNotrun: 1\r\nFault: %s\r\nContent-Length: 0\r\n\r\n", leaving.address)
					return
				}
				answerWell(c, r)
			})
		}
		for i := range 5 {
			got := w.call(http.MethodPost, "/stream/x", headers(fmt.Sprint("id-", i), "Size", "100000"), "")
			if got.status != http.StatusOK || got.body != allEvents() {
				t.Errorf("request %d: status %d", i, got.status)
			}
		}
		if refused := len(w.all()) - 5; refused > 3 {
			t.Errorf("%d sends were refused because of the same helper", refused)
		}
	})
}

// Guards against memory that stays set aside after its request, whatever
// becomes of the request and of the orders.
func TestMemoryIsReleased(t *testing.T) {
	tests := []struct {
		name    string
		script  script
		orderly func(order string) int
		renewed bool
	}{
		{"request answered", answerWell, nil, false},
		{"request fails", text(func(*run) string { return "" }), nil, false},
		{"request refused", notRunning, nil, false},
		{"order refused", answerWell, func(order string) int {
			if strings.HasPrefix(order, "reserve") {
				return http.StatusConflict
			}
			return http.StatusOK
		}, false},
		{"request lasts", func(c net.Conn, r *run) {
			time.Sleep(6 * time.Second)
			answerWell(c, r)
		}, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, 24, func(w *world) {
				engineWorld(w)
				for _, target := range w.targets {
					target.set(test.script)
					target.orderly = test.orderly
				}
				w.call(http.MethodPost, "/stream/x", headers("id-1", "Size", "330000"), "")
				time.Sleep(time.Second)
				checkOrders(w, test.renewed)
			})
		})
	}
}

// checkOrders checks that all memory that was set aside is given back.
func checkOrders(w *world, wantRenewed bool) {
	reserved, renewed := 0, 0
	for _, target := range w.targets {
		target.mu.Lock()
		orders := target.orders
		target.mu.Unlock()
		for i, order := range orders {
			if !strings.HasPrefix(order, "reserve") {
				continue
			}
			reserved++
			if i > 0 && order == orders[i-1] {
				renewed++
			}
		}
		if n := len(orders); n > 0 && !strings.HasPrefix(orders[n-1], "release") {
			w.t.Errorf("last order at %s: %q", target.id, orders[n-1])
		}
	}
	if reserved == 0 {
		w.t.Error("no memory was set aside for a prompt over an engine's memory")
	}
	if wantRenewed != (renewed > 0) {
		w.t.Errorf("%d renewals", renewed)
	}
}
