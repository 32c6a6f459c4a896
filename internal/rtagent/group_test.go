package rtagent

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnode"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// startGroup starts engines with 1000 tokens of memory each and their agents.
// Each agent's node lists all agents.
func (c *cluster) startGroup(count int, step time.Duration) ([]*rtfake.Engine, []*testAgent) {
	c.t.Helper()
	c.network.DefaultLatency = func(from, to string) rtfake.Latency {
		if from == to {
			return rtfake.Latency{}
		}
		return rtfake.Latency{Base: time.Millisecond}
	}
	var engines []*rtfake.Engine
	var agents []*testAgent
	var views []rtnode.AgentView
	for host := 1; host <= count; host++ {
		engines = append(engines, c.startEngine(host, rtfake.EngineConfig{Memory: 1000, Warm: true, PassTime: step}))
		config := settings(host)
		config.KVMemory = 1000
		config.PlatformAddress = address(9, 80)
		agents = append(agents, c.startReadyAgent(config))
		views = append(views, rtnode.AgentView{Target: config.Target, Service: config.Service, Zone: "a", Address: config.PeerAddress})
	}
	for _, agent := range agents {
		if agent.node != nil {
			agent.node.targets = views
		}
	}
	return engines, agents
}

// largeOffer returns an offer of a prompt that needs the memory of 2.5 engines.
func largeOffer(agent *testAgent, name string, output int64, limit time.Duration) *rtwire.OfferRequest {
	return agent.draftOffer(strings.Repeat(name[:1], 4*(2500-int(output))), output, limit)
}

func wantFree(t *testing.T, engines []*rtfake.Engine, agents []*testAgent) {
	t.Helper()
	for i, engine := range engines {
		if stats := engine.Stats(); stats.UsedMemory != 0 {
			t.Errorf("engine %d has %d tokens of memory in use, want 0", i+1, stats.UsedMemory)
		}
		if used := agents[i].load().Used; used != 0 {
			t.Errorf("agent %d has %d tokens of memory reserved, want 0", i+1, used)
		}
	}
}

// Guards against a large prompt that reserves memory at more engines than it
// needs, uses memory that it did not reserve, or leaves reservations at the
// end.
func TestLargePrompt(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engines, agents := c.startGroup(4, 2*time.Millisecond)
		offer := largeOffer(agents[1], "x", 400, time.Minute)
		agents[1].wantAccepted(offer)
		<-time.After(500 * time.Millisecond)
		var used []rtid.Tokens
		for _, engine := range engines {
			used = append(used, engine.Stats().UsedMemory)
		}
		if got := fmt.Sprint(used); got != "[833 834 833 0]" {
			t.Errorf("memory in use at the engines: got %s, want [833 834 833 0]", got)
		}
		if text := agents[1].wantEnd(offer.Request, doneOutcome, noReason); text != rtfake.Answer(offer.Body, 400) {
			t.Error("the answer does not belong to the prompt")
		}
		<-time.After(time.Second)
		wantFree(t, engines, agents)
		tooLarge := agents[0].draftOffer(strings.Repeat("x", 4*4000), 100, time.Minute)
		agents[0].wantOffer(tooLarge, notRunOutcome, rtwire.Reason_REASON_MEMORY)
	})
}

// Guards against unreachable members that block all large prompts of their zone
// although enough other members respond.
func TestLargePromptBesideDeadMembers(t *testing.T) {
	withCluster(t, func(c *cluster) {
		_, agents := c.startGroup(5, 2*time.Millisecond)
		c.network.Isolate("10.0.0.1")
		c.network.Isolate("10.0.0.3")
		offer := largeOffer(agents[1], "x", 400, 20*time.Second)
		agents[1].wantAccepted(offer)
		agents[1].wantEnd(offer.Request, doneOutcome, noReason)
		c.network.Rejoin("10.0.0.1")
		c.network.Rejoin("10.0.0.3")
	})
}

// Guards against an agent that does not become ready with a real node, or whose
// node lists no agents of its zone. Also checks the endpoints for operators.
func TestLargePromptWithRealNodes(t *testing.T) {
	withCluster(t, func(c *cluster) {
		var members []rtplatform.Member
		for host := 1; host <= 3; host++ {
			config := settings(host)
			members = append(members, rtplatform.Member{
				VM: config.VM, Role: rtplatform.RoleAgent, Zone: config.Zone, Address: config.PeerAddress,
				State: rtplatform.StateLive, Target: config.Target, Service: config.Service,
			})
		}
		c.useRealNodes(9, members)
		_, agents := c.startGroup(3, 2*time.Millisecond)
		offer := largeOffer(agents[1], "x", 400, 20*time.Second)
		agents[1].wantAccepted(offer)
		agents[1].wantEnd(offer.Request, doneOutcome, noReason)
		for path, want := range map[string]string{
			"/status":  `{"vm":"vm2","role":"agent","zone":"a","target":"t2","version":1,"revision":1,"ready":true,"leaving":false,"state":"in","conflicts":0}`,
			"/dump":    offer.Request,
			"/health":  "ok",
			"/metrics": "requests_ended",
		} {
			response, err := c.client.Get("http://" + string(agents[1].settings.OperatorAddress) + path)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || !strings.Contains(string(body), want) {
				t.Errorf("%s: %v, %s, want %s", path, err, body, want)
			}
			_ = response.Body.Close()
		}
	})
}

// Guards against a deadlock of large prompts that have each reserved a part of
// the memory they need.
func TestLargePromptsRace(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engines, agents := c.startGroup(3, 2*time.Millisecond)
		var offers []*rtwire.OfferRequest
		accepted := make(chan error)
		for i, agent := range agents {
			offer := largeOffer(agent, string(rune('a'+i)), 1000, time.Minute)
			offers = append(offers, offer)
			go func() {
				_, err := agent.target.Offer(c.t.Context(), offer)
				accepted <- err
			}()
		}
		for range offers {
			if err := <-accepted; err != nil {
				t.Fatal(err)
			}
		}
		for range 100 {
			streams := 0
			for _, engine := range engines {
				streams += engine.Stats().Streams
			}
			if streams > 1 {
				t.Fatalf("%d prompts run at a time, want at most 1", streams)
			}
			<-time.After(10 * time.Millisecond)
		}
		expiring := largeOffer(agents[0], "d", 1000, time.Second)
		agents[0].wantAccepted(expiring)
		_, final, err := agents[0].readAnswerFrom(expiring.Request, 0)
		if err != nil || final.Reason != deadlineReason {
			t.Errorf("end of the prompt that cannot run in time: %v, %v, want a deadline reason", final, err)
		}
		for i, offer := range offers {
			agents[i].wantEnd(offer.Request, doneOutcome, noReason)
		}
		<-time.After(time.Second)
		wantFree(t, engines, agents)
	})
}

// Guards against memory that stays reserved after the leader has died, and
// against a generation that continues after a member has lost its reservation.
func TestGroupFailures(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*cluster, []*rtfake.Engine, []*testAgent)
		ends  bool // whether the leader ends the answer
	}{
		{"leader dies", func(c *cluster, _ []*rtfake.Engine, _ []*testAgent) { c.network.Isolate("10.0.0.2") }, false},
		{"member is cut off", func(c *cluster, _ []*rtfake.Engine, _ []*testAgent) { c.network.Isolate("10.0.0.1") }, true},
		{"engine of a member restarts", func(_ *cluster, engines []*rtfake.Engine, _ []*testAgent) { engines[0].Crash() }, true},
		{"leader is cancelled", func(c *cluster, _ []*rtfake.Engine, agents []*testAgent) {
			for id := range agents[1].requests {
				_, err := agents[1].target.Cancel(c.t.Context(), &rtwire.CancelRequest{Request: string(id), Organisation: string(court)})
				if err != nil {
					c.t.Error(err)
				}
			}
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, func(c *cluster) {
				engines, agents := c.startGroup(3, 10*time.Millisecond)
				offer := largeOffer(agents[1], "x", 900, time.Minute)
				agents[1].wantAccepted(offer)
				<-time.After(500 * time.Millisecond)
				test.fault(c, engines, agents)
				<-time.After(groupLease + 2*reconcilePeriod)
				for _, i := range []int{0, 2} {
					if used := engines[i].Stats().UsedMemory; used != 0 {
						t.Errorf("engine %d has %d tokens of memory in use, want 0", i+1, used)
					}
				}
				if test.ends {
					agents[1].wantFailed(offer.Request)
				}
				c.network.Rejoin("10.0.0.1")
				c.network.Rejoin("10.0.0.2")
			})
		})
	}
}

// wantFailed checks that a draft failed after its start.
func (r *testAgent) wantFailed(request string) {
	r.cluster.t.Helper()
	_, final, err := r.readAnswerFrom(request, 0)
	if err != nil || final.Outcome != failedOutcome {
		r.cluster.t.Errorf("end of the answer: %v, %v, want outcome failed", final, err)
	}
}

// Guards against a renewal that creates a reservation, and against reservations
// beyond the memory of the engine.
func TestReserveCalls(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engines, agents := c.startGroup(1, 2*time.Millisecond)
		group := agents[0].draftOffer("", 1, time.Minute).Request
		tests := []struct {
			group   string
			tokens  int64
			lease   time.Duration
			granted bool
			used    rtid.Tokens
		}{
			{group, 0, time.Second, false, 0},
			{group, 1001, time.Second, false, 0},
			{group, -1, time.Second, false, 0},
			{group, 600, 0, false, 0},
			{"not an id", 600, time.Second, false, 0},
			{group, 600, time.Hour, true, 600},
			{group, 600, time.Second, true, 600},
			{group, 0, time.Second, true, 600},
			{agents[0].draftOffer("", 1, time.Minute).Request, 401, time.Second, false, 600},
		}
		for _, test := range tests {
			reply, err := agents[0].target.Reserve(c.t.Context(), &rtwire.ReserveRequest{
				Group:  test.group,
				Tokens: test.tokens,
				Lease:  durationpb.New(test.lease),
			})
			if err != nil || reply.Granted != test.granted || engines[0].Stats().UsedMemory != test.used {
				t.Errorf("reserve %d tokens for %v: got %v, %v, %d tokens in use", test.tokens, test.lease, reply, err, engines[0].Stats().UsedMemory)
			}
		}
		<-time.After(2 * time.Second)
		wantFree(t, engines, agents)
	})
}
