package rtentry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"path"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

const (
	testIncarnation = 1000
	callersAddress  = "10.0.0.1:80"
)

// fakeNode is a Node whose views and document the test sets.
type fakeNode struct {
	mu       sync.Mutex
	document *rtdocument.Document
	views    map[rtid.Target]rtnode.AgentView
	order    []rtid.Target
	started  chan struct{}
}

func (n *fakeNode) Started() <-chan struct{} { return n.started }
func (n *fakeNode) Document() (rtid.Version, *rtdocument.Document) {
	return 1, n.document
}
func (n *fakeNode) SetReady(bool)               {}
func (n *fakeNode) SetDraining()                {}
func (n *fakeNode) Status() *rtwire.Status      { return &rtwire.Status{Role: rtwire.Role_ROLE_ENTRY} }
func (n *fakeNode) HandleStatus(*rtwire.Status) {}
func (n *fakeNode) Handler() http.Handler       { return http.NotFoundHandler() }
func (n *fakeNode) LiveEntries(rtid.Zone) int   { return 1 }
func (n *fakeNode) Dump() rtnode.Dump           { return rtnode.Dump{} }
func (n *fakeNode) Configuration() rtnode.Configuration {
	return rtnode.Configuration{}
}
func (n *fakeNode) Run(ctx context.Context) error { <-ctx.Done(); return nil }

func (n *fakeNode) AgentsOf(service rtid.Service) []rtnode.AgentView {
	n.mu.Lock()
	defer n.mu.Unlock()
	var views []rtnode.AgentView
	for _, target := range n.order {
		if view := n.views[target]; view.Service == service {
			views = append(views, view)
		}
	}
	return views
}

func (n *fakeNode) Find(target rtid.Target) (rtnode.AgentView, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	view, ok := n.views[target]
	return view, ok
}

// replace makes a later incarnation of a target known.
func (n *fakeNode) replace(target rtid.Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	view := n.views[target]
	view.Status = &rtwire.Status{Ready: true, Incarnation: testIncarnation + 1, Load: view.Status.GetLoad()}
	n.views[target] = view
}

// fakeAgent is a scripted agent. With zero fields it accepts every offer, answers
// drafts with text and orders with their body.
type fakeAgent struct {
	name            string
	text            string // of every draft
	offer           func(*rtwire.OfferRequest) (*rtwire.OfferReply, error)
	query           func(*rtwire.QueryRequest) (*rtwire.QueryReply, error)
	framesBeforeCut int // the first read is cut after this many frames; 0 for never
	onCut           func()
	silent          bool          // reads get no frame
	pause           time.Duration // before each frame
	final           rtwire.Final  // outcome and reason of the end; done if zero

	mu      sync.Mutex
	offers  []*rtwire.OfferRequest
	queries int
	reads   []int64 // offsets
	results map[string]*rtwire.QueryReply
}

func (a *fakeAgent) Offer(_ context.Context, offer *rtwire.OfferRequest) (*rtwire.OfferReply, error) {
	a.mu.Lock()
	a.offers = append(a.offers, offer)
	a.mu.Unlock()
	if a.offer != nil {
		return a.offer(offer)
	}
	if offer.GetKind() == rtwire.Kind_KIND_ORDER {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.results == nil {
			a.results = map[string]*rtwire.QueryReply{}
		}
		a.results[offer.GetRequest()] = &rtwire.QueryReply{Outcome: rtwire.Outcome_OUTCOME_DONE, Result: offer.GetBody()}
	}
	return &rtwire.OfferReply{Outcome: rtwire.Outcome_OUTCOME_ACCEPTED}, nil
}

func (a *fakeAgent) Query(_ context.Context, query *rtwire.QueryRequest) (*rtwire.QueryReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queries++
	if a.query != nil {
		return a.query(query)
	}
	if reply := a.results[query.GetRequest()]; reply != nil {
		return reply, nil
	}
	for _, offer := range a.offers {
		if offer.GetRequest() == query.GetRequest() && offer.GetKind() == rtwire.Kind_KIND_DRAFT {
			return &rtwire.QueryReply{Outcome: rtwire.Outcome_OUTCOME_ACCEPTED}, nil
		}
	}
	return &rtwire.QueryReply{}, nil
}

func (a *fakeAgent) Cancel(_ context.Context, cancel *rtwire.CancelRequest) (*rtwire.QueryReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply := a.results[cancel.GetRequest()]; reply != nil {
		return reply, nil
	}
	return &rtwire.QueryReply{Outcome: rtwire.Outcome_OUTCOME_NOT_RUN, Reason: rtwire.Reason_REASON_CANCELLED}, nil
}

func (a *fakeAgent) Reserve(context.Context, *rtwire.ReserveRequest) (*rtwire.ReserveReply, error) {
	return nil, errors.New("fake agent does not implement Reserve")
}

func (a *fakeAgent) Release(context.Context, *rtwire.ReleaseRequest) (*rtwire.ReleaseReply, error) {
	return nil, errors.New("fake agent does not implement Release")
}

// frameSize is the number of bytes of text in each frame of a fake agent.
const frameSize = 4

// ServeHTTP serves GET /answers/{request}?offset=N.
func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	offset, _ := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	a.mu.Lock()
	a.reads = append(a.reads, offset)
	first := len(a.reads) == 1
	a.mu.Unlock()
	if a.silent {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return
	}
	count := 0
	for start := int64(0); start < int64(len(a.text)); start += frameSize {
		end := min(start+frameSize, int64(len(a.text)))
		if end > offset {
			a.send(w, r, &rtwire.Frame{Sequence: uint64(start / frameSize), Offset: start, Text: []byte(a.text[start:end])})
			count++
		}
		if first && a.framesBeforeCut > 0 && count == a.framesBeforeCut {
			if a.onCut != nil {
				a.onCut()
			}
			panic(http.ErrAbortHandler)
		}
	}
	if a.final.Outcome == 0 {
		a.final.Outcome = rtwire.Outcome_OUTCOME_DONE
	}
	total := uint64((len(a.text) + frameSize - 1) / frameSize)
	a.send(w, r, &rtwire.Frame{Sequence: total, Offset: int64(len(a.text)), Final: &rtwire.Final{
		Outcome: a.final.Outcome, Reason: a.final.Reason, Count: total,
		Size: int64(len(a.text)), Checksum: xxhash.Sum64String(a.text),
	}})
}

func (a *fakeAgent) send(w http.ResponseWriter, r *http.Request, frame *rtwire.Frame) {
	if a.pause > 0 {
		select {
		case <-time.After(a.pause):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler) // a cancelled agent sends nothing more
		}
	}
	frame.Request = path.Base(r.URL.Path)
	frame.Attempt = 1
	_, _ = protodelim.MarshalTo(w, frame)
	_ = http.NewResponseController(w).Flush()
}

// fixture is an entry with fake agents inside a synctest bubble.
type fixture struct {
	t       *testing.T
	network *rtfake.Network
	node    *fakeNode
	entry   *Entry
	client  *http.Client
	stop    context.CancelFunc
	done    chan error
}

// run calls test with a running entry and the agents, then stops the entry.
func run(t *testing.T, test func(*fixture), agents ...*fakeAgent) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, agents)
		defer func() {
			f.stop()
			f.client.CloseIdleConnections()
			if err := <-f.done; err != nil {
				t.Errorf("entry ended with an error: %v", err)
			}
		}()
		test(f)
	})
}

func newFixture(t *testing.T, agents []*fakeAgent) *fixture {
	f := &fixture{t: t, network: &rtfake.Network{}, done: make(chan error, 1)}
	f.node = &fakeNode{views: map[rtid.Target]rtnode.AgentView{}, started: make(chan struct{})}
	f.node.document = &rtdocument.Document{
		Revision: 1,
		Organisations: []rtdocument.Organisation{
			{Name: "court", Services: []rtid.Service{"drafts", "orders"}, Share: 0.5},
			{Name: "studio", Services: []rtid.Service{"drafts", "orders"}, Share: 0.5},
		},
		Services: []rtdocument.Service{{Name: "drafts", Kind: rtdocument.KindDraft}, {Name: "orders", Kind: rtdocument.KindOrder}},
		Zones:    []rtdocument.Zone{{Name: "a", State: rtdocument.ZoneInService}},
	}
	for i, agent := range agents {
		f.serveAgent(agent, "10.0.1."+strconv.Itoa(i+1), int64(i))
	}
	close(f.node.started)
	settings := rtsettings.Entry{CallerAddress: callersAddress}
	settings.Zone = "a"
	settings.PeerAddress = "10.0.0.1:81"
	entry, err := New(settings, Dependencies{
		Network: f.network.Host("10.0.0.1"),
		Log:     logr.Discard(),
		Metrics: &rtmetric.Metrics{Scope: tally.NoopScope, Handler: http.NotFoundHandler()},
		Node:    f.node,
	})
	if err != nil {
		t.Fatal(err)
	}
	f.entry = entry
	ctx, stop := context.WithCancel(t.Context())
	f.stop = stop
	go func() { f.done <- entry.Run(ctx) }()
	f.client = rtnet.Client(f.network.Host("10.0.9.9"))
	synctest.Wait()
	return f
}

// serveAgent starts an agent. Targets named order-N serve orders. A target with a
// higher load is selected later.
func (f *fixture) serveAgent(agent *fakeAgent, host string, load int64) {
	service := rtid.Service("drafts")
	if len(agent.name) > 5 && agent.name[:5] == "order" {
		service = "orders"
	}
	address := rtid.Address(host + ":70")
	listener, err := f.network.Host(host).Listen(address)
	if err != nil {
		f.t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle("/twirp/", rtwire.NewTargetServer(agent))
	mux.Handle("/answers/", agent)
	server := &http.Server{Handler: mux}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	f.t.Cleanup(func() {
		_ = server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			f.t.Errorf("agent's server: %v, want http.ErrServerClosed", err)
		}
	})
	target := rtid.Target(agent.name)
	f.node.order = append(f.node.order, target)
	f.node.views[target] = rtnode.AgentView{
		Target: target, Service: service, Zone: "a", Address: address, Alive: true, StatusReceivedAt: time.Now(),
		Status: &rtwire.Status{Ready: true, Incarnation: testIncarnation, Load: &rtwire.Load{
			Queued: load * 100_000, Rate: 1000, Limit: 8, Slots: 8}},
	}
}

// call sends a request as an organisation and returns status and body.
func (f *fixture) call(organisation, method, path string, body []byte) (int, []byte) {
	f.t.Helper()
	response, err := f.send(organisation, method, path, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatalf("%s %s: %v after reading %q", method, path, err, read)
	}
	return response.StatusCode, read
}

func (f *fixture) send(organisation, method, path string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequest(method, "http://"+callersAddress+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Organisation", organisation)
	return f.client.Do(request)
}

// draft posts a draft with a time limit and returns its events.
func (f *fixture) draft(limit string) []rtapi.Event {
	f.t.Helper()
	status, body := f.call("court", http.MethodPost, "/v1/drafts",
		[]byte(`{"service":"drafts","prompt":"p","output":10,"limit":"`+limit+`"}`))
	if status != http.StatusOK {
		f.t.Fatalf("status %d: %s, want 200", status, body)
	}
	return eventsOf(f.t, body)
}

func eventsOf(t *testing.T, body []byte) []rtapi.Event {
	t.Helper()
	var list []rtapi.Event
	decoder := json.NewDecoder(bytes.NewReader(body))
	for {
		var event rtapi.Event
		err := decoder.Decode(&event)
		if errors.Is(err, io.EOF) {
			return list
		}
		if err != nil {
			t.Fatalf("decode event: %v in %q", err, body)
		}
		list = append(list, event)
	}
}

// answerOf returns the text of the events, the number of start events and the end
// event. It fails if the text has a gap or the end event is not the last one.
func answerOf(t *testing.T, list []rtapi.Event) (string, int, rtapi.Event) {
	t.Helper()
	var text string
	starts := 0
	for i, event := range list {
		switch event.Event {
		case rtapi.EventStart:
			starts++
		case rtapi.EventText:
			if event.Offset != int64(len(text)) {
				t.Errorf("text at offset %d, want %d", event.Offset, len(text))
			}
			text += event.Text
		case rtapi.EventEnd:
			if i == len(list)-1 {
				return text, starts, event
			}
		}
	}
	t.Fatalf("last event is not the end event: %+v", list)
	return "", 0, rtapi.Event{}
}
