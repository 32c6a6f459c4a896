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

// group starts engines with 1000 tokens of memory each, and their agents,
// which know one another.
func (w *world) group(count int, step time.Duration) ([]*rtfake.Engine, []*running) {
	w.t.Helper()
	w.network.DefaultLatency = func(from, to string) rtfake.Latency {
		if from == to {
			return rtfake.Latency{}
		}
		return rtfake.Latency{Base: time.Millisecond}
	}
	var engines []*rtfake.Engine
	var agents []*running
	var views []rtnode.AgentView
	for host := 1; host <= count; host++ {
		engines = append(engines, w.engine(host, rtfake.EngineConfig{Memory: 1000, Warm: true, PassTime: step}))
		chosen := settings(host)
		chosen.KVMemory = 1000
		chosen.PlatformAddress = address(9, 80)
		agents = append(agents, w.agent(chosen))
		views = append(views, rtnode.AgentView{Target: chosen.Target, Service: chosen.Service, Zone: "a", Address: chosen.PeerAddress})
	}
	for _, agent := range agents {
		if agent.node != nil {
			agent.node.targets = views
		}
	}
	return engines, agents
}

// large returns an offer of a prompt that needs 2.5 engines.
func large(agent *running, name string, output int64, limit time.Duration) *rtwire.OfferRequest {
	return agent.draft(strings.Repeat(name[:1], 4*(2500-int(output))), output, limit)
}

func wantFree(t *testing.T, engines []*rtfake.Engine, agents []*running) {
	t.Helper()
	for i, engine := range engines {
		if stats := engine.Stats(); stats.UsedMemory != 0 {
			t.Errorf("engine %d still uses %d tokens", i+1, stats.UsedMemory)
		}
		if used := agents[i].load().Used; used != 0 {
			t.Errorf("agent %d still counts %d tokens", i+1, used)
		}
	}
}

// Guards against a large prompt that takes more engines than it needs, uses
// memory it did not reserve, or leaves holds behind.
func TestLargePrompt(t *testing.T) {
	inWorld(t, func(w *world) {
		engines, agents := w.group(4, 2*time.Millisecond)
		offer := large(agents[1], "x", 400, time.Minute)
		agents[1].accept(offer)
		<-time.After(500 * time.Millisecond)
		var used []rtid.Tokens
		for _, engine := range engines {
			used = append(used, engine.Stats().UsedMemory)
		}
		if got := fmt.Sprint(used); got != "[833 834 833 0]" {
			t.Errorf("engines use %s", got)
		}
		if text := agents[1].want(offer.Request, doneOutcome, noReason); text != rtfake.Answer(offer.Body, 400) {
			t.Error("the answer is not that of the prompt")
		}
		<-time.After(time.Second)
		wantFree(t, engines, agents)
		tooLarge := agents[0].draft(strings.Repeat("x", 4*4000), 100, time.Minute)
		agents[0].send(tooLarge, notRunOutcome, rtwire.Reason_REASON_MEMORY)
	})
}

// Guards against dead members that keep all large prompts of its zone from
// running although there are enough others.
func TestLargePromptBesideDeadMembers(t *testing.T) {
	inWorld(t, func(w *world) {
		_, agents := w.group(5, 2*time.Millisecond)
		w.network.Isolate("10.0.0.1")
		w.network.Isolate("10.0.0.3")
		offer := large(agents[1], "x", 400, 20*time.Second)
		agents[1].accept(offer)
		agents[1].want(offer.Request, doneOutcome, noReason)
		w.network.Rejoin("10.0.0.1")
		w.network.Rejoin("10.0.0.3")
	})
}

// Guards against an agent whose node knows no agents of its zone, or that never gets
// ready with a real node, and checks what operators see.
func TestLargePromptWithRealNodes(t *testing.T) {
	inWorld(t, func(w *world) {
		var members []rtplatform.Member
		for host := 1; host <= 3; host++ {
			chosen := settings(host)
			members = append(members, rtplatform.Member{
				VM: chosen.VM, Role: rtplatform.RoleAgent, Zone: chosen.Zone, Address: chosen.PeerAddress,
				State: rtplatform.StateLive, Target: chosen.Target, Service: chosen.Service,
			})
		}
		w.publish(9, members)
		_, agents := w.group(3, 2*time.Millisecond)
		offer := large(agents[1], "x", 400, 20*time.Second)
		agents[1].accept(offer)
		agents[1].want(offer.Request, doneOutcome, noReason)
		for path, want := range map[string]string{
			"/status":  `{"vm":"vm2","role":"agent","zone":"a","target":"t2","version":1,"revision":1,"ready":true,"leaving":false,"state":"in","conflicts":0}`,
			"/dump":    offer.Request,
			"/health":  "ok",
			"/metrics": "requests_ended",
		} {
			response, err := w.client.Get("http://" + string(agents[1].settings.OperatorAddress) + path)
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

// Guards against two large prompts that hold half each and wait for each
// other for ever.
func TestLargePromptsRace(t *testing.T) {
	inWorld(t, func(w *world) {
		engines, agents := w.group(3, 2*time.Millisecond)
		var offers []*rtwire.OfferRequest
		accepted := make(chan error)
		for i, agent := range agents {
			offer := large(agent, string(rune('a'+i)), 1000, time.Minute)
			offers = append(offers, offer)
			go func() {
				_, err := agent.target.Offer(w.t.Context(), offer)
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
				t.Fatalf("%d prompts run in the memory for one", streams)
			}
			<-time.After(10 * time.Millisecond)
		}
		hopeless := large(agents[0], "d", 1000, time.Second)
		agents[0].accept(hopeless)
		_, final, err := agents[0].read(hopeless.Request, 0)
		if err != nil || final.Reason != late {
			t.Errorf("end of the hopeless prompt: %v, %v", final, err)
		}
		for i, offer := range offers {
			agents[i].want(offer.Request, doneOutcome, noReason)
		}
		<-time.After(time.Second)
		wantFree(t, engines, agents)
	})
}

// Guards against memory that stays held when the leader dies, and against a
// generation that goes on when a member has lost its memory.
func TestGroupFailures(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*world, []*rtfake.Engine, []*running)
		ends  bool // the leader answers
	}{
		{"leader dies", func(w *world, _ []*rtfake.Engine, _ []*running) { w.network.Isolate("10.0.0.2") }, false},
		{"member is cut off", func(w *world, _ []*rtfake.Engine, _ []*running) { w.network.Isolate("10.0.0.1") }, true},
		{"engine of a member restarts", func(_ *world, engines []*rtfake.Engine, _ []*running) { engines[0].Crash() }, true},
		{"leader is cancelled", func(w *world, _ []*rtfake.Engine, agents []*running) {
			for id := range agents[1].requests {
				_, err := agents[1].target.Cancel(w.t.Context(), &rtwire.CancelRequest{Request: string(id), Organisation: string(court)})
				if err != nil {
					w.t.Error(err)
				}
			}
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				engines, agents := w.group(3, 10*time.Millisecond)
				offer := large(agents[1], "x", 900, time.Minute)
				agents[1].accept(offer)
				<-time.After(500 * time.Millisecond)
				test.fault(w, engines, agents)
				<-time.After(groupLease + 2*reconcilePeriod)
				for _, i := range []int{0, 2} {
					if used := engines[i].Stats().UsedMemory; used != 0 {
						t.Errorf("engine %d still uses %d tokens", i+1, used)
					}
				}
				if test.ends {
					agents[1].wantFailed(offer.Request)
				}
				w.network.Rejoin("10.0.0.1")
				w.network.Rejoin("10.0.0.2")
			})
		})
	}
}

// wantFailed checks that a draft failed after its start.
func (r *running) wantFailed(request string) {
	r.w.t.Helper()
	_, final, err := r.read(request, 0)
	if err != nil || final.Outcome != failedOutcome {
		r.w.t.Errorf("end: %v, %v, want failed", final, err)
	}
}

// Guards against renewals that create a hold, and against reservations beyond
// the memory of the engine.
func TestReserveCalls(t *testing.T) {
	inWorld(t, func(w *world) {
		engines, agents := w.group(1, 2*time.Millisecond)
		group := agents[0].draft("", 1, time.Minute).Request
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
			{agents[0].draft("", 1, time.Minute).Request, 401, time.Second, false, 600},
		}
		for _, test := range tests {
			reply, err := agents[0].target.Reserve(w.t.Context(), &rtwire.ReserveRequest{
				Group:  test.group,
				Tokens: test.tokens,
				Lease:  durationpb.New(test.lease),
			})
			if err != nil || reply.Granted != test.granted || engines[0].Stats().UsedMemory != test.used {
				t.Errorf("reserve %d for %v: %v, %v, %d used", test.tokens, test.lease, reply, err, engines[0].Stats().UsedMemory)
			}
		}
		<-time.After(2 * time.Second)
		wantFree(t, engines, agents)
	})
}
