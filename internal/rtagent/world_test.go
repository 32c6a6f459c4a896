package rtagent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtanswer"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const court rtid.Organisation = "court"

// fakeNode is a node with a fixed document.
type fakeNode struct {
	*rtnode.Node
	started  chan struct{}
	document *rtdocument.Document
	targets  []rtnode.AgentView
}

func (n *fakeNode) Started() <-chan struct{}                       { return n.started }
func (n *fakeNode) Document() (rtid.Version, *rtdocument.Document) { return 1, n.document }
func (n *fakeNode) AgentsOf(rtid.Service) []rtnode.AgentView       { return n.targets }
func (n *fakeNode) Handler() http.Handler                          { return http.NotFoundHandler() }

func (n *fakeNode) Run(ctx context.Context) error {
	close(n.started)
	<-ctx.Done()
	return nil
}

// world is a network with agents and their targets in virtual time.
type world struct {
	t        *testing.T
	network  *rtfake.Network
	client   *http.Client
	document *rtdocument.Document
	platform *rtfake.Platform // set for agents with nodes of their own
}

// publish makes the agents run real nodes, which read the platform at a host.
func (w *world) publish(host int, members []rtplatform.Member) {
	w.t.Helper()
	body, err := rtdocument.Encode(w.document)
	if err != nil {
		w.t.Fatal(err)
	}
	w.platform = &rtfake.Platform{}
	w.platform.Publish(body)
	w.platform.SetVMs(members, 0)
	w.serve(host, w.platform)
}

// inWorld runs a test in virtual time.
func inWorld(t *testing.T, test func(*world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := &rtfake.Network{Seed: 1}
		t.Cleanup(network.Close)
		test(&world{
			t:       t,
			network: network,
			client:  rtnet.Client(network.Host("10.9.0.1")),
			document: &rtdocument.Document{
				Revision: 1,
				Organisations: []rtdocument.Organisation{
					{Name: court, Services: []rtid.Service{"filings", "summaries"}, Share: 0.5},
					{Name: "other", Share: 0.5},
				},
				Services: []rtdocument.Service{
					{Name: "filings", Kind: rtdocument.KindOrder},
					{Name: "summaries", Kind: rtdocument.KindDraft, Model: "m"},
				},
				Zones: []rtdocument.Zone{{Name: "a", State: rtdocument.ZoneInService}},
			},
		})
	})
}

// run runs a function as a task until the test ends.
func (w *world) run(name string, f func(context.Context) error) *rttask.Task {
	w.t.Helper()
	task := rttask.Start(w.t.Context(), name, f)
	w.t.Cleanup(func() {
		if err := task.Stop(); err != nil && !errors.Is(err, net.ErrClosed) {
			w.t.Errorf("task %s: %v", name, err)
		}
	})
	return task
}

func address(host int, port int) rtid.Address {
	return rtid.Address(fmt.Sprintf("10.0.0.%d:%d", host, port))
}

// serve serves a target at a host.
func (w *world) serve(host int, handler http.Handler) {
	w.t.Helper()
	listener, err := w.network.Listen(address(host, 80))
	if err != nil {
		w.t.Fatal(err)
	}
	w.run("target", func(ctx context.Context) error { return rtfake.Serve(ctx, listener, handler) })
}

// engine starts an engine at a host.
func (w *world) engine(host int, config rtfake.EngineConfig) *rtfake.Engine {
	w.t.Helper()
	engine := rtfake.NewEngine(config)
	w.run("engine", engine.Run)
	w.serve(host, engine)
	return engine
}

// settings are those of an agent beside an engine at a host.
func settings(host int) rtsettings.Agent {
	return rtsettings.Agent{
		Common: rtsettings.Common{
			VM:                rtid.VM(fmt.Sprintf("vm%d", host)),
			Zone:              "a",
			PeerAddress:       address(host, 7000),
			OperatorAddress:   address(host, 7001),
			DrainTimeout:      rtsettings.Duration(5 * time.Minute),
			HeartbeatInterval: rtsettings.Duration(time.Second),
		},
		Target:        rtid.Target(fmt.Sprintf("t%d", host)),
		Kind:          "engine",
		TargetAddress: address(host, 80),
		Service:       "summaries",
		KVMemory:      400_000,
		Slots:         16,
		ColdSlots:     1,
		PrefillRate:   4_000_000,
	}
}

// serviceSettings are those of an agent beside a plain service.
func serviceSettings() rtsettings.Agent {
	chosen := settings(1)
	chosen.Kind = "service"
	chosen.Service = "filings"
	chosen.KVMemory = 0
	chosen.PrefillRate = 0
	return chosen
}

// running is an agent with what tests need of it.
type running struct {
	*Agent
	w      *world
	task   *rttask.Task
	node   *fakeNode
	target rtwire.Target
	stop   context.CancelFunc // planned stop
}

// agent starts an agent and waits until it serves.
func (w *world) agent(settings rtsettings.Agent) *running {
	w.t.Helper()
	r := w.start(settings)
	for !r.isReady() {
		<-time.After(10 * time.Millisecond)
	}
	return r
}

// start starts an agent.
func (w *world) start(settings rtsettings.Agent) *running {
	w.t.Helper()
	metrics, err := rtmetric.New("test")
	if err != nil {
		w.t.Fatal(err)
	}
	started := &running{w: w}
	host, _, _ := strings.Cut(string(settings.PeerAddress), ":")
	started.Agent = New(settings, Dependencies{
		Network: w.network.Host(host),
		Log:     logr.Discard(),
		Metrics: metrics,
		NewNode: func(options rtnode.Options) Node {
			if w.platform != nil {
				return rtnode.New(options)
			}
			started.node = &fakeNode{Node: rtnode.New(options), started: make(chan struct{}), document: w.document}
			return started.node
		},
	})
	started.target = rtwire.NewTargetProtobufClient("http://"+string(settings.PeerAddress), w.client)
	ctx, stop := context.WithCancel(w.t.Context())
	started.stop = stop
	w.t.Cleanup(func() {
		w.client.CloseIdleConnections()
		if err := metrics.Close(); err != nil {
			w.t.Error(err)
		}
	})
	started.task = w.run("agent", func(context.Context) error { return started.Run(ctx) })
	w.t.Cleanup(started.quit)
	return started
}

// quit ends the agent without waiting for readers of answers.
func (r *running) quit() {
	r.mu.Lock()
	for _, kept := range r.requests {
		kept.buffer.Acknowledge()
	}
	r.mu.Unlock()
	r.stop()
}

func (r *running) isReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serving()
}

// draft returns an offer of a draft.
func (r *running) draft(prompt string, output int64, limit time.Duration) *rtwire.OfferRequest {
	return r.offer(rtid.KindDraft, rtwire.Kind_KIND_DRAFT, prompt, output, limit)
}

// order returns an offer of an order.
func (r *running) order(body string, limit time.Duration) *rtwire.OfferRequest {
	offer := r.offer(rtid.KindOrder, rtwire.Kind_KIND_ORDER, body, 0, limit)
	offer.Incarnation = uint64(r.Agent.node.Incarnation())
	return offer
}

func (r *running) offer(kind rtid.Kind, wire rtwire.Kind, body string, output int64, limit time.Duration) *rtwire.OfferRequest {
	return &rtwire.OfferRequest{
		Request: string(rtid.NewRequest(rtid.Home{
			Kind:             kind,
			Target:           r.settings.Target,
			Incarnation:      r.Agent.node.Incarnation(),
			Epoch:            r.epoch(),
			OrganisationHash: rtid.HashOrganisation(court),
		})),
		Attempt:      1,
		Organisation: string(court),
		Service:      string(r.settings.Service),
		Kind:         wire,
		Body:         []byte(body),
		Output:       output,
		Remaining:    durationpb.New(limit),
	}
}

// send offers a request and fails the test unless the reply has the outcome.
func (r *running) send(offer *rtwire.OfferRequest, outcome rtwire.Outcome, reason rtwire.Reason) {
	r.w.t.Helper()
	reply, err := r.target.Offer(r.w.t.Context(), offer)
	if err != nil {
		r.w.t.Fatal(err)
	}
	if reply.Outcome != outcome || reply.Reason != reason {
		r.w.t.Fatalf("offer: %v %v %q, want %v %v", reply.Outcome, reply.Reason, reply.Detail, outcome, reason)
	}
}

func (r *running) accept(offer *rtwire.OfferRequest) {
	r.w.t.Helper()
	r.send(offer, rtwire.Outcome_OUTCOME_ACCEPTED, rtwire.Reason_REASON_NONE)
}

// read reads the answer from an offset to its end.
func (r *running) read(request string, offset int) (string, *rtwire.Final, error) {
	home, _ := rtid.ParseRequest(rtid.Request(request))
	url := fmt.Sprintf("http://%s/answers/%s?offset=%d", r.settings.PeerAddress, request, offset)
	call, err := http.NewRequestWithContext(r.w.t.Context(), http.MethodGet, url, nil)
	if err != nil {
		return "", nil, err
	}
	if home.Owns(court) {
		call.Header.Set("Organisation", string(court))
	}
	response, err := r.w.client.Do(call)
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return "", nil, fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return assemble(response.Body, rtid.Request(request), int64(offset))
}

func assemble(body io.Reader, request rtid.Request, offset int64) (string, *rtwire.Final, error) {
	assembler := rtanswer.NewAssembler(request, 1, offset)
	reader := bufio.NewReader(body)
	var text strings.Builder
	for {
		frame := &rtwire.Frame{}
		if err := protodelim.UnmarshalFrom(reader, frame); err != nil {
			return text.String(), nil, err
		}
		assembler.Add(frame)
		text.Write(assembler.TakeText())
		final, complete, err := assembler.Final()
		if err != nil || complete {
			return text.String(), final, err
		}
	}
}

// want reads an answer and checks its end.
func (r *running) want(request string, outcome rtwire.Outcome, reason rtwire.Reason) string {
	r.w.t.Helper()
	text, final, err := r.read(request, 0)
	if err != nil {
		r.w.t.Fatalf("read: %v after %q", err, text)
	}
	if final.Outcome != outcome || final.Reason != reason {
		r.w.t.Fatalf("end: %v %v %q, want %v %v", final.Outcome, final.Reason, final.Detail, outcome, reason)
	}
	return text
}

// query returns what the ledger says.
func (r *running) query(request string) *rtwire.QueryReply {
	r.w.t.Helper()
	reply, err := r.target.Query(r.w.t.Context(), &rtwire.QueryRequest{Request: request, Organisation: string(court)})
	if err != nil {
		r.w.t.Fatal(err)
	}
	return reply
}
