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

	"github.com/go-logr/logr/funcr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtexchange"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtintake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtlimit"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// testDialect is a dialect with short header names.
type testDialect struct{}

func (testDialect) ParseRequest(r *http.Request) RequestInfo {
	info := RequestInfo{ID: rtid.Request(r.Header.Get("Id")), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("After")}
	info.Remaining, _ = time.ParseDuration(r.Header.Get("Remaining"))
	size, _ := strconv.Atoi(r.Header.Get("Size"))
	info.Prompt = rtid.Tokens(size)
	parts := strings.Split(r.Header.Get("Parts"), ",")
	for _, part := range parts[:len(parts)-1] { // the last one is the request's own
		info.Parts = append(info.Parts, rtid.Part(part))
	}
	return info
}

func (testDialect) RewriteHeaders(header http.Header, outgoing OutgoingRequest) {
	header.Del("Key")
	header.Set("Organisation", string(outgoing.Organisation))
	header.Set("Instance", string(outgoing.Target))
	header.Set("Remaining", outgoing.Remaining.String())
	if outgoing.LastEventID != "" {
		header.Set("After", outgoing.LastEventID)
	}
	helpers := make([]string, 0, len(outgoing.Helpers))
	for _, helper := range outgoing.Helpers {
		helpers = append(helpers, string(helper.Address)+"/"+helper.Ticket)
	}
	header.Set("Helpers", strings.Join(helpers, ","))
}

func (testDialect) ParseResponse(status int, header http.Header) ResponseInfo {
	info := ResponseInfo{
		Request:        rtid.Request(header.Get("Id")),
		Stamped:        header.Get("Stamp") != "",
		NotRun:         header.Get("Notrun") != "" || status == http.StatusMisdirectedRequest,
		PromisesNotRun: promisesNotRun(status),
		Fault:          header.Get("Fault"),
		RateLimit:      rtlimit.Unlimited,
	}
	info.Instance = rtid.Target(header.Get("Answered-By"))
	info.Leaving = header.Get("Leaving") == "1"
	if text := header.Get("Backoff"); text != "" && status == http.StatusServiceUnavailable {
		info.Backoff, info.BackoffErr = time.ParseDuration(text)
	}
	if text := header.Get("Limit"); text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		if info.RateLimitErr = err; err == nil {
			info.RateLimit = rtlimit.Rate(rate)
		}
	}
	return info
}

func (testDialect) Reserve(target rtid.Target, ticket string, tokens rtid.Tokens, ttl time.Duration) *rtexchange.Message {
	return commandMessage("reserve", target, ticket, tokens, ttl)
}

func (testDialect) Release(target rtid.Target, ticket string) *rtexchange.Message {
	return commandMessage("release", target, ticket, 0, 0)
}

func commandMessage(operation string, target rtid.Target, ticket string, tokens rtid.Tokens, ttl time.Duration) *rtexchange.Message {
	header := http.Header{}
	header.Set("Instance", string(target))
	body := fmt.Sprintf("%s %d %d", ticket, tokens, ttl)
	return &rtexchange.Message{Method: http.MethodPost, Path: "/" + operation, Header: header, Body: []byte(body)}
}

// run is one request that a target has received and runs.
type run struct {
	target  *target
	request *http.Request
	body    []byte
	at      time.Time
	ended   time.Time // zero while it runs
}

// script is what a target does with a request. It writes the response itself.
type script func(c net.Conn, r *run)

const (
	// noAnswer is the status of a command whose reply is lost.
	noAnswer = 0
	// endlessHead and endlessBody are the statuses of a command whose reply does
	// not end.
	endlessHead = -1
	endlessBody = -2
)

// target is a fake target that follows a script.
type target struct {
	network *rtfake.Network
	id      rtid.Target
	address rtid.Address
	born    rtid.Incarnation // as published

	mu            sync.Mutex
	script        script
	beforeBody    func(c net.Conn, r *run) bool // reports whether it has answered without the body; nil for no such answers
	commands      []string
	commandStatus func(command string) int // reply to a memory command; nil for 200
	commandHeader string                   // lines that replies to memory commands have
}

func (t *target) set(s script) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.script = s
}

// testbed is a gateway with fake targets, in virtual time.
type testbed struct {
	t       *testing.T
	network *rtfake.Network
	gateway *Gateway
	view    *rtcatalog.View
	targets []*target
	stop    func() error

	mu   sync.Mutex
	runs []*run
	log  []string // lines of the gateway
}

const (
	callers   rtid.Address = "10.0.0.1:80"
	readiness rtid.Address = "10.0.0.1:81"
	grace                  = 8 * time.Second
)

// testRoutes are the routes of the testbed.
var testRoutes = []rtcatalog.Route{
	{Name: "order", Prefix: "/order/", Kind: rtcatalog.KindOrder, Attempts: 1},
	{Name: "safe", Prefix: "/safe/", Kind: rtcatalog.KindSafe, Attempts: 2},
	{Name: "stream", Prefix: "/stream/", Kind: rtcatalog.KindStream, Attempts: 2, Resumable: true, GapSLO: 250 * time.Millisecond},
	{Name: "once", Prefix: "/once/", Kind: rtcatalog.KindStream, Attempts: 2, GapSLO: 250 * time.Millisecond},
	{Name: "inner", Prefix: "/order/inner/", Kind: rtcatalog.KindSafe, Attempts: 2},
	{Name: "public", Prefix: "/public/", Kind: rtcatalog.KindSafe, Attempts: 1, Public: true},
}

// newConfiguration returns the configuration of the testbed.
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

// noPeers is a deployment of a single gateway.
type noPeers struct{}

func (noPeers) LiveInCell() int { return 1 }

func (noPeers) Cell() rtplacement.Cell { return rtplacement.Cell{} }
func (noPeers) BudgetProcesses() int   { return 1 }
func (noPeers) Designated(string) bool { return true }

func (noPeers) Share(string) rtlimit.Share       { return rtlimit.Share{Processes: 1} }
func (noPeers) BudgetShare(string) rtlimit.Share { return rtlimit.Share{Processes: 1} }

// testViews returns the view that the test has published.
type testViews struct{ b *testbed }

func (v testViews) View() *rtcatalog.View {
	v.b.mu.Lock()
	defer v.b.mu.Unlock()
	return v.b.view
}

// withTestbed runs a test with a gateway and a number of targets in virtual
// time.
func withTestbed(t *testing.T, targets int, test func(b *testbed)) {
	t.Helper()
	withLimitedTestbed(t, targets, rtintake.Limits{}, test)
}

// withLimitedTestbed is withTestbed with limits on what callers may use.
func withLimitedTestbed(t *testing.T, targets int, limits rtintake.Limits, test func(b *testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &testbed{t: t, network: &rtfake.Network{Seed: 1}}
		t.Cleanup(b.network.Close)
		for i := range targets {
			b.addTarget(i)
		}
		b.publish(newConfiguration(1))
		metrics, err := rtmetric.New("test")
		if err != nil {
			t.Fatal(err)
		}
		b.gateway = New(Settings{
			VM: "entry-1", Zone: "a", Callers: callers, Readiness: readiness, Intake: limits,
			Bounds: Bounds{RetryRatio: 0.2, RetryAllowance: 100, RetryWindow: 10 * time.Second, Grace: grace, ColdFactor: 1.5},
		}, Dependencies{
			Network: b.network.Host("10.0.0.1"),
			Log:     funcr.New(b.addLogLine, funcr.Options{}),
			Metrics: metrics,
			Dialect: testDialect{},
			Views:   testViews{b},
			Peers:   noPeers{},
			OnNews:  func() {},
		})
		task := rttask.Start(t.Context(), "gateway", b.gateway.Run)
		b.stop = sync.OnceValue(task.Stop)
		synctest.Wait()
		test(b)
		if err := b.stop(); err != nil {
			t.Error(err)
		}
		if err := metrics.Close(); err != nil {
			t.Error(err)
		}
	})
}

func (b *testbed) addLogLine(_, line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log = append(b.log, line)
}

// logged returns the lines of the gateway's log that contain a text.
func (b *testbed) logged(text string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []string
	for _, line := range b.log {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// publish publishes a configuration and all targets.
func (b *testbed) publish(c *rtcatalog.Configuration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var instances []*rtcatalog.Instance
	for _, target := range b.targets {
		instances = append(instances, &rtcatalog.Instance{ID: target.id, Born: target.born, Service: "work", Address: target.address, Zone: "a", Slots: 16})
	}
	b.view = rtcatalog.NewView(rtid.StoreRevision{Number: uint64(c.Version)}, c, nil, instances)
}

// addTarget starts a target that answers every request.
func (b *testbed) addTarget(i int) {
	target := &target{
		network: b.network,
		id:      rtid.Target(fmt.Sprintf("t%d", i)),
		address: rtid.Address(fmt.Sprintf("10.0.1.%d:80", i+1)),
		script:  answerOK,
	}
	b.targets = append(b.targets, target)
	b.listen(target)
}

// listen serves the connections to a target until its listener is closed.
func (b *testbed) listen(target *target) {
	listener, err := b.network.Listen(target.address)
	if err != nil {
		b.t.Error(err)
		return
	}
	task := rttask.Start(b.t.Context(), "target", func(context.Context) error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			go b.serve(target, c)
		}
	})
	b.t.Cleanup(func() {
		_ = listener.Close()
		_ = task.Stop()
	})
}

// serve reads one request and runs the script of the target.
func (b *testbed) serve(target *target, c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	target.mu.Lock()
	beforeBody := target.beforeBody
	target.mu.Unlock()
	if beforeBody != nil && beforeBody(c, &run{target: target, request: request, at: time.Now()}) {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	target.mu.Lock()
	follow := target.script
	if request.URL.Path == "/reserve" || request.URL.Path == "/release" {
		command := request.URL.Path[1:] + " " + string(body)
		target.commands = append(target.commands, command)
		status := http.StatusOK
		if target.commandStatus != nil {
			status = target.commandStatus(command)
		}
		header := target.commandHeader
		target.mu.Unlock()
		switch status {
		case noAnswer:
			return
		case endlessHead:
			repeatText(func(*run) string { return "HTTP/1.1 200 x\r\nA: " }, long, 0)(c, nil)
			return
		case endlessBody:
			repeatText(func(*run) string { return "HTTP/1.1 200 x\r\n\r\n" }, long, 0)(c, nil)
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", status, header)
		return
	}
	target.mu.Unlock()
	r := &run{target: target, request: request, body: body, at: time.Now()}
	if request.Header.Get("Instance") != string(target.id) {
		_, _ = io.WriteString(c, "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n")
		return
	}
	b.mu.Lock()
	b.runs = append(b.runs, r)
	b.mu.Unlock()
	follow(c, r)
	b.mu.Lock()
	r.ended = time.Now()
	b.mu.Unlock()
}

// allRuns returns the runs so far.
func (b *testbed) allRuns() []*run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*run(nil), b.runs...)
}

// responseHead returns the head of a response that has the ID of the request and
// the stamp of the target.
func (r *run) responseHead(status int, extra string) string {
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

// answerOK answers a stream with all events after the requested one, and other
// requests with a body.
func answerOK(c net.Conn, r *run) {
	if !r.isStream() {
		_, _ = io.WriteString(c, r.responseHead(200, "Content-Length: 2\r\n")+"ok")
		return
	}
	_, _ = io.WriteString(c, r.responseHead(200, chunked))
	for i := r.lastEvent() + 1; i <= events; i++ {
		time.Sleep(50 * time.Millisecond)
		if _, err := io.WriteString(c, chunk(event(i))); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, lastChunk)
}

// isStream reports whether the answer is a stream.
func (r *run) isStream() bool {
	return strings.HasPrefix(r.request.URL.Path, "/stream/") || strings.HasPrefix(r.request.URL.Path, "/once/")
}

// lastEvent returns the number of the event after which the stream resumes.
func (r *run) lastEvent() int {
	after, _ := strconv.Atoi(r.request.Header.Get("After"))
	return after
}

// refuseNotRun refuses a request and promises that it does not run.
func refuseNotRun(c net.Conn, r *run) {
	_, _ = io.WriteString(c, "HTTP/1.1 503 x\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n")
}

// neverAnswer sends nothing until the connection is closed.
func neverAnswer(c net.Conn, _ *run) {
	_, _ = io.Copy(io.Discard, c)
}

// writeText returns a script that writes a text and closes the connection.
func writeText(write func(r *run) string) script {
	return func(c net.Conn, r *run) { _, _ = io.WriteString(c, write(r)) }
}

// reset closes the connections of the target as a crash does: with a reset.
func (t *target) reset() { t.network.Kill(string(t.address)) }

// repeatText returns a script that writes a text and then repeats another one,
// after an interval, until its connection is closed.
func repeatText(begin func(r *run) string, repeated string, interval time.Duration) script {
	return func(c net.Conn, r *run) {
		_, err := io.WriteString(c, begin(r))
		for written := 0; err == nil && written < maxRepeated; written += len(repeated) {
			time.Sleep(interval)
			_, err = io.WriteString(c, repeated)
		}
		neverAnswer(c, r)
	}
}

// maxRepeated is how many bytes stand for a response without end.
const maxRepeated = 40 << 20

// reply is what a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of the connection, or for an incomplete body
	took   time.Duration
}

// call sends one request as a caller.
func (b *testbed) call(method, path string, headers map[string]string, body string) reply {
	return b.callCtx(b.t.Context(), method, path, headers, body)
}

func (b *testbed) callCtx(ctx context.Context, method, path string, headers map[string]string, body string) reply {
	start := time.Now()
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return b.network.Host("10.0.9.9").Dial(ctx, callers)
		},
	}}
	request, err := http.NewRequestWithContext(ctx, method, "http://service.example"+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
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

// callOver sends one request with a body over the connections of a transport.
func (b *testbed) callOver(transport http.RoundTripper, id, path string) reply {
	// A body that cannot be read again keeps the client from repeating the request.
	body := io.NopCloser(strings.NewReader("body"))
	request, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, "http://service.example"+path, body)
	if err != nil {
		return reply{err: err}
	}
	for name, value := range headers(id) {
		request.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// headers returns the headers of a valid request.
func headers(id string, more ...string) map[string]string {
	h := map[string]string{"Id": id, "Key": "key", "Remaining": "10s"}
	for i := 0; i+1 < len(more); i += 2 {
		h[more[i]] = more[i+1]
	}
	return h
}

// allEvents returns the body of a whole stream.
func allEvents() string { return eventsAfter(0) }

// eventsAfter returns the body of a stream that resumes after an event.
func eventsAfter(last int) string {
	var b strings.Builder
	for i := last + 1; i <= events; i++ {
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
