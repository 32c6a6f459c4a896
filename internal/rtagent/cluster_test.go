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

// fakeNode is a node with a fixed configuration document and fixed peers.
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

// cluster is a simulated network with agents and their targets in virtual time.
type cluster struct {
	t        *testing.T
	network  *rtfake.Network
	client   *http.Client
	doc      *rtdocument.Document
	platform *rtfake.Platform // set if the agents run real nodes
}

// useRealNodes makes the agents run real nodes, which read a platform served at
// the host.
func (c *cluster) useRealNodes(host int, members []rtplatform.Member) {
	c.t.Helper()
	body, err := rtdocument.Encode(c.doc)
	if err != nil {
		c.t.Fatal(err)
	}
	c.platform = &rtfake.Platform{}
	c.platform.Publish(body)
	c.platform.SetVMs(members, 0)
	c.serveTarget(host, c.platform)
}

// withCluster runs a test with a new cluster in virtual time.
func withCluster(t *testing.T, test func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := &rtfake.Network{Seed: 1}
		t.Cleanup(network.Close)
		test(&cluster{
			t:       t,
			network: network,
			client:  rtnet.Client(network.Host("10.9.0.1")),
			doc: &rtdocument.Document{
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

// startTask runs a function as a task until the test ends.
func (c *cluster) startTask(name string, f func(context.Context) error) *rttask.Task {
	c.t.Helper()
	task := rttask.Start(c.t.Context(), name, f)
	c.t.Cleanup(func() {
		if err := task.Stop(); err != nil && !errors.Is(err, net.ErrClosed) {
			c.t.Errorf("task %s: %v", name, err)
		}
	})
	return task
}

func address(host int, port int) rtid.Address {
	return rtid.Address(fmt.Sprintf("10.0.0.%d:%d", host, port))
}

// serveTarget serves a target at a host.
func (c *cluster) serveTarget(host int, handler http.Handler) {
	c.t.Helper()
	listener, err := c.network.Listen(address(host, 80))
	if err != nil {
		c.t.Fatal(err)
	}
	c.startTask("target", func(ctx context.Context) error { return rtfake.Serve(ctx, listener, handler) })
}

// startEngine starts an engine at a host.
func (c *cluster) startEngine(host int, config rtfake.EngineConfig) *rtfake.Engine {
	c.t.Helper()
	engine := rtfake.NewEngine(config)
	c.startTask("engine", engine.Run)
	c.serveTarget(host, engine)
	return engine
}

// settings returns the settings of an agent beside an engine at a host.
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

// serviceSettings returns the settings of an agent beside a plain service.
func serviceSettings() rtsettings.Agent {
	config := settings(1)
	config.Kind = "service"
	config.Service = "filings"
	config.KVMemory = 0
	config.PrefillRate = 0
	return config
}

// testAgent is a running agent with the handles that tests need.
type testAgent struct {
	*Agent
	cluster *cluster
	task    *rttask.Task
	node    *fakeNode
	target  rtwire.Target
	stop    context.CancelFunc // starts a graceful shutdown
}

// startReadyAgent starts an agent and waits until it is ready.
func (c *cluster) startReadyAgent(settings rtsettings.Agent) *testAgent {
	c.t.Helper()
	r := c.startAgent(settings)
	for !r.isReady() {
		<-time.After(10 * time.Millisecond)
	}
	return r
}

// startAgent starts an agent.
func (c *cluster) startAgent(settings rtsettings.Agent) *testAgent {
	c.t.Helper()
	metrics, err := rtmetric.New("test")
	if err != nil {
		c.t.Fatal(err)
	}
	started := &testAgent{cluster: c}
	host, _, _ := strings.Cut(string(settings.PeerAddress), ":")
	started.Agent = New(settings, Dependencies{
		Network: c.network.Host(host),
		Log:     logr.Discard(),
		Metrics: metrics,
		NewNode: func(options rtnode.Options) Node {
			if c.platform != nil {
				return rtnode.New(options)
			}
			started.node = &fakeNode{Node: rtnode.New(options), started: make(chan struct{}), document: c.doc}
			return started.node
		},
	})
	started.target = rtwire.NewTargetProtobufClient("http://"+string(settings.PeerAddress), c.client)
	ctx, stop := context.WithCancel(c.t.Context())
	started.stop = stop
	c.t.Cleanup(func() {
		c.client.CloseIdleConnections()
		if err := metrics.Close(); err != nil {
			c.t.Error(err)
		}
	})
	started.task = c.startTask("agent", func(context.Context) error { return started.Run(ctx) })
	c.t.Cleanup(started.stopAtOnce)
	return started
}

// stopAtOnce stops the agent without waiting for readers of answers.
func (r *testAgent) stopAtOnce() {
	r.mu.Lock()
	for _, request := range r.requests {
		request.buffer.Acknowledge()
	}
	r.mu.Unlock()
	r.stop()
}

func (r *testAgent) isReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serving()
}

// draftOffer returns an offer of a draft.
func (r *testAgent) draftOffer(prompt string, output int64, limit time.Duration) *rtwire.OfferRequest {
	return r.newOffer(rtid.KindDraft, rtwire.Kind_KIND_DRAFT, prompt, output, limit)
}

// orderOffer returns an offer of an order.
func (r *testAgent) orderOffer(body string, limit time.Duration) *rtwire.OfferRequest {
	offer := r.newOffer(rtid.KindOrder, rtwire.Kind_KIND_ORDER, body, 0, limit)
	offer.Incarnation = uint64(r.Agent.node.Incarnation())
	return offer
}

func (r *testAgent) newOffer(kind rtid.Kind, wire rtwire.Kind, body string, output int64, limit time.Duration) *rtwire.OfferRequest {
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

// wantOffer sends an offer and fails the test unless the reply has the outcome
// and the reason.
func (r *testAgent) wantOffer(offer *rtwire.OfferRequest, outcome rtwire.Outcome, reason rtwire.Reason) {
	r.cluster.t.Helper()
	reply, err := r.target.Offer(r.cluster.t.Context(), offer)
	if err != nil {
		r.cluster.t.Fatal(err)
	}
	if reply.Outcome != outcome || reply.Reason != reason {
		r.cluster.t.Fatalf("offer: %v %v %q, want %v %v", reply.Outcome, reply.Reason, reply.Detail, outcome, reason)
	}
}

func (r *testAgent) wantAccepted(offer *rtwire.OfferRequest) {
	r.cluster.t.Helper()
	r.wantOffer(offer, rtwire.Outcome_OUTCOME_ACCEPTED, rtwire.Reason_REASON_NONE)
}

// readAnswerFrom reads an answer from an offset to its end.
func (r *testAgent) readAnswerFrom(request string, offset int) (string, *rtwire.Final, error) {
	home, _ := rtid.ParseRequest(rtid.Request(request))
	url := fmt.Sprintf("http://%s/answers/%s?offset=%d", r.settings.PeerAddress, request, offset)
	call, err := http.NewRequestWithContext(r.cluster.t.Context(), http.MethodGet, url, nil)
	if err != nil {
		return "", nil, err
	}
	if home.Owns(court) {
		call.Header.Set("Organisation", string(court))
	}
	response, err := r.cluster.client.Do(call)
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return "", nil, fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return assembleAnswer(response.Body, rtid.Request(request), int64(offset))
}

func assembleAnswer(body io.Reader, request rtid.Request, offset int64) (string, *rtwire.Final, error) {
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

// wantEnd reads an answer, checks the outcome and reason of its end, and returns
// the text.
func (r *testAgent) wantEnd(request string, outcome rtwire.Outcome, reason rtwire.Reason) string {
	r.cluster.t.Helper()
	text, final, err := r.readAnswerFrom(request, 0)
	if err != nil {
		r.cluster.t.Fatalf("read: %v after %q", err, text)
	}
	if final.Outcome != outcome || final.Reason != reason {
		r.cluster.t.Fatalf("end: %v %v %q, want %v %v", final.Outcome, final.Reason, final.Detail, outcome, reason)
	}
	return text
}

// queryLedger returns the ledger's record of a request.
func (r *testAgent) queryLedger(request string) *rtwire.QueryReply {
	r.cluster.t.Helper()
	reply, err := r.target.Query(r.cluster.t.Context(), &rtwire.QueryRequest{Request: request, Organisation: string(court)})
	if err != nil {
		r.cluster.t.Fatal(err)
	}
	return reply
}
