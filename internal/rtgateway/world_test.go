package rtgateway

import (
	"bufio"
	"context"
	"encoding/json"
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

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtexchange"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// plainDialect is a dialect of short headers.
type plainDialect struct{}

func (plainDialect) ParseRequest(r *http.Request) RequestInfo {
	facts := RequestInfo{ID: rtid.Request(r.Header.Get("Id")), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("After")}
	facts.Remaining, _ = time.ParseDuration(r.Header.Get("Left"))
	size, _ := strconv.Atoi(r.Header.Get("Size"))
	facts.Prompt = rtid.Tokens(size)
	return facts
}

func (plainDialect) RewriteHeaders(header http.Header, send OutgoingRequest) {
	header.Del("Key")
	header.Set("Organisation", string(send.Organisation))
	header.Set("Instance", string(send.Target))
	header.Set("Left", send.Remaining.String())
	if send.LastEventID != "" {
		header.Set("After", send.LastEventID)
	}
	helpers := make([]string, 0, len(send.Helpers))
	for _, helper := range send.Helpers {
		helpers = append(helpers, string(helper.Address)+"/"+helper.Ticket)
	}
	header.Set("Helpers", strings.Join(helpers, ","))
}

func (plainDialect) ParseResponse(status int, header http.Header) ResponseInfo {
	return ResponseInfo{
		Request: rtid.Request(header.Get("Id")),
		Stamped: header.Get("Stamp") != "",
		NotRun:  header.Get("Notrun") != "" || status == http.StatusMisdirectedRequest,
		Fault:   header.Get("Fault"),
	}
}

func (plainDialect) Reserve(target rtid.Target, ticket string, tokens rtid.Tokens, hold time.Duration) *rtexchange.Message {
	return orderMessage("reserve", target, ticket, tokens, hold)
}

func (plainDialect) Release(target rtid.Target, ticket string) *rtexchange.Message {
	return orderMessage("release", target, ticket, 0, 0)
}

func orderMessage(path string, target rtid.Target, ticket string, tokens rtid.Tokens, hold time.Duration) *rtexchange.Message {
	header := http.Header{}
	header.Set("Instance", string(target))
	body := fmt.Sprintf("%s %d %d", ticket, tokens, hold)
	return &rtexchange.Message{Method: http.MethodPost, Path: "/" + path, Header: header, Body: []byte(body)}
}

// run is one request that a target began to work on.
type run struct {
	target  *target
	request *http.Request
	body    []byte
	at      time.Time
	ended   time.Time // zero while it goes on
}

// script is what a target does with a request: it writes the response itself.
type script func(c net.Conn, r *run)

// noAnswer is the status of an order whose answer is lost.
const noAnswer = 0

// target is a stand-in that follows a script.
type target struct {
	id      rtid.Target
	address rtid.Address

	mu      sync.Mutex
	script  script
	orders  []string
	orderly func(order string) int // status of an order; nil for 200
}

func (t *target) set(s script) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.script = s
}

// world is a gateway before stand-ins, in virtual time.
type world struct {
	t       *testing.T
	network *rtfake.Network
	gateway *Gateway
	view    *rtcatalog.View
	targets []*target
	stop    func() error

	mu   sync.Mutex
	runs []*run
}

const (
	callers   rtid.Address = "10.0.0.1:80"
	readiness rtid.Address = "10.0.0.1:81"
	grace                  = 8 * time.Second
)

// routes of the world, by prefix.
var testRoutes = []rtcatalog.Route{
	{Name: "order", Prefix: "/order/", Kind: rtcatalog.KindOrder, Attempts: 1},
	{Name: "safe", Prefix: "/safe/", Kind: rtcatalog.KindSafe, Attempts: 2},
	{Name: "stream", Prefix: "/stream/", Kind: rtcatalog.KindStream, Attempts: 2, Resumable: true, GapSLO: 250 * time.Millisecond},
	{Name: "once", Prefix: "/once/", Kind: rtcatalog.KindStream, Attempts: 2, GapSLO: 250 * time.Millisecond},
	{Name: "inner", Prefix: "/order/inner/", Kind: rtcatalog.KindSafe, Attempts: 2},
	{Name: "public", Prefix: "/public/", Kind: rtcatalog.KindSafe, Attempts: 1, Public: true},
}

// newConfiguration returns the configuration of the world.
func newConfiguration(version rtid.Version) *rtcatalog.Configuration {
	c := &rtcatalog.Configuration{
		Version:       version,
		Services:      []rtcatalog.Service{{Name: "work", ColdRate: 1000}},
		Organisations: []rtcatalog.Organisation{{Name: "court", Keys: []string{"key"}, Priority: -1}},
		Limits:        rtcatalog.Limits{Body: 1 << 20, IdleTimeout: 15 * time.Second},
	}
	for _, route := range testRoutes {
		route.Host = "service.example"
		route.Timeout = 10 * time.Second
		route.LatencySLO = 300 * time.Millisecond
		route.Shares = []rtcatalog.Share{{Service: "work", Weight: 1}}
		c.Routes = append(c.Routes, route)
	}
	c.Index()
	return c
}

// alone is a gateway without peers.
type alone struct{}

func (alone) LiveInCell() int { return 1 }

func (alone) Cell() rtplacement.Cell { return rtplacement.Cell{} }
func (alone) BudgetProcesses() int   { return 1 }

// testView lets a test change what is published.
type testView struct{ w *world }

func (v testView) View() *rtcatalog.View {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return v.w.view
}

// inWorld runs a test with a gateway and a number of targets in virtual time.
func inWorld(t *testing.T, targets int, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, network: &rtfake.Network{Seed: 1}}
		t.Cleanup(w.network.Close)
		for i := range targets {
			w.addTarget(i)
		}
		w.publish(newConfiguration(1))
		metrics, err := rtmetric.New("test")
		if err != nil {
			t.Fatal(err)
		}
		w.gateway = New(Settings{
			VM: "entry-1", Zone: "a", Callers: callers, Readiness: readiness,
			Bounds: Bounds{RetryRatio: 0.2, RetryAllowance: 100, RetryWindow: 10 * time.Second, Grace: grace, ColdFactor: 1.5},
		}, Dependencies{
			Network:     w.network.Host("10.0.0.1"),
			Log:         logr.Discard(),
			Metrics:     metrics,
			Dialect:     plainDialect{},
			Views:       testView{w},
			Peers:       alone{},
			OnPlacement: func() {},
		})
		task := rttask.Start(t.Context(), "gateway", w.gateway.Run)
		w.stop = sync.OnceValue(task.Stop)
		synctest.Wait()
		test(w)
		if err := w.stop(); err != nil {
			t.Error(err)
		}
		if err := metrics.Close(); err != nil {
			t.Error(err)
		}
	})
}

// publish puts a configuration in force, with all targets.
func (w *world) publish(c *rtcatalog.Configuration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var instances []*rtcatalog.Instance
	for _, target := range w.targets {
		instances = append(instances, &rtcatalog.Instance{ID: target.id, Service: "work", Address: target.address, Zone: "a", Slots: 16})
	}
	w.view = rtcatalog.NewView(uint64(c.Version), c, nil, instances)
}

// addTarget starts a target that answers well.
func (w *world) addTarget(i int) {
	target := &target{
		id:      rtid.Target(fmt.Sprintf("t%d", i)),
		address: rtid.Address(fmt.Sprintf("10.0.1.%d:80", i+1)),
		script:  answerWell,
	}
	w.targets = append(w.targets, target)
	listener, err := w.network.Listen(target.address)
	if err != nil {
		w.t.Fatal(err)
	}
	task := rttask.Start(w.t.Context(), "target", func(context.Context) error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			go w.serve(target, c)
		}
	})
	w.t.Cleanup(func() {
		_ = listener.Close()
		_ = task.Stop()
	})
}

// serve reads one request and follows the script.
func (w *world) serve(target *target, c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	target.mu.Lock()
	follow := target.script
	if request.URL.Path == "/reserve" || request.URL.Path == "/release" {
		order := request.URL.Path[1:] + " " + string(body)
		target.orders = append(target.orders, order)
		status := http.StatusOK
		if target.orderly != nil {
			status = target.orderly(order)
		}
		target.mu.Unlock()
		if status == noAnswer {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
		return
	}
	target.mu.Unlock()
	r := &run{target: target, request: request, body: body, at: time.Now()}
	if request.Header.Get("Instance") != string(target.id) {
		_, _ = io.WriteString(c, "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n")
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, r)
	w.mu.Unlock()
	follow(c, r)
	w.mu.Lock()
	r.ended = time.Now()
	w.mu.Unlock()
}

// all returns the runs so far.
func (w *world) all() []*run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*run(nil), w.runs...)
}

// head returns the start of a good response.
func (r *run) head(status int, extra string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nId: %s\r\nStamp: %s\r\n%s\r\n", status, r.request.Header.Get("Id"), r.target.id, extra)
}

// event returns event number i of a stream.
func event(i int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i) }

// chunk wraps text in a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const (
	lastChunk = "0\r\n\r\n"
	events    = 5
	chunked   = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
)

// answerWell answers a stream with all of its events after the one that is
// named, and anything else with a body.
func answerWell(c net.Conn, r *run) {
	if !strings.HasPrefix(r.request.URL.Path, "/stream/") && !strings.HasPrefix(r.request.URL.Path, "/once/") {
		_, _ = io.WriteString(c, r.head(200, "Content-Length: 2\r\n")+"ok")
		return
	}
	_, _ = io.WriteString(c, r.head(200, chunked))
	for i := r.after() + 1; i <= events; i++ {
		time.Sleep(50 * time.Millisecond)
		if _, err := io.WriteString(c, chunk(event(i))); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, lastChunk)
}

// after returns the event that a stream goes on after.
func (r *run) after() int {
	after, _ := strconv.Atoi(r.request.Header.Get("After"))
	return after
}

// notRunning refuses truthfully.
func notRunning(c net.Conn, r *run) {
	_, _ = io.WriteString(c, "HTTP/1.1 503 x\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n")
}

// hang answers nothing until the connection ends.
func hang(c net.Conn, _ *run) {
	_, _ = io.Copy(io.Discard, c)
}

// text returns a script that writes a text and closes.
func text(write func(r *run) string) script {
	return func(c net.Conn, r *run) { _, _ = io.WriteString(c, write(r)) }
}

// reply is what a caller saw.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of the connection or of an incomplete body
	took   time.Duration
}

// call sends one request of a caller.
func (w *world) call(method, path string, headers map[string]string, body string) reply {
	return w.callCtx(w.t.Context(), method, path, headers, body)
}

func (w *world) callCtx(ctx context.Context, method, path string, headers map[string]string, body string) reply {
	start := time.Now()
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return w.network.Host("10.0.9.9").Dial(ctx, callers)
		},
	}}
	request, err := http.NewRequestWithContext(ctx, method, "http://service.example"+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err, took: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err, took: time.Since(start)}
}

// headers returns those of a proper request.
func headers(id string, more ...string) map[string]string {
	h := map[string]string{"Id": id, "Key": "key", "Left": "10s"}
	for i := 0; i+1 < len(more); i += 2 {
		h[more[i]] = more[i+1]
	}
	return h
}

// allEvents is the body of a whole stream.
func allEvents() string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

func describe(runs []*run) string {
	type line struct {
		Target rtid.Target
		Path   string
		After  string
	}
	var lines []line
	for _, r := range runs {
		lines = append(lines, line{r.target.id, r.request.URL.Path, r.request.Header.Get("After")})
	}
	data, err := json.Marshal(lines)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
