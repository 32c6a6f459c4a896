package rtagent

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Guards against more load on a cold engine than its warm-up limit, after its
// start and when it serves further requests.
func TestColdLimitHolds(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{ColdLimit: 2})
		agent := c.startReadyAgent(settings(1))
		flood := func(name string) {
			var offers []*rtwire.OfferRequest
			replies := make(chan error)
			for i := range 50 {
				offer := agent.draftOffer(fmt.Sprint(name, i), 200, time.Minute)
				offers = append(offers, offer)
				go func() {
					_, err := agent.target.Offer(c.t.Context(), offer)
					replies <- err
				}()
			}
			for range offers {
				if err := <-replies; err != nil {
					t.Error(err)
				}
			}
			for _, offer := range offers {
				agent.wantEnd(offer.Request, doneOutcome, noReason)
			}
		}
		flood("start")
		if load := agent.load(); load.Cold {
			t.Errorf("the target still counts as cold after 50 completed requests: %v", load)
		}
		flood("warm")
		if peak := engine.Stats().PeakColdStreams; peak > 2 {
			t.Errorf("%d streams at the cold engine, want at most 2", peak)
		}
		if failures := engine.Stats().LoadFailures; failures != 0 {
			t.Errorf("the engine failed under load %d times, want 0", failures)
		}
	})
}

// Guards against sending the load of a warm engine to one that has become cold
// without a restart and fails under that load. The answers are too long for any
// to complete before that, so the agent must detect it from running
// generations.
func TestTurnCold(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{Warm: true})
		agent := c.startReadyAgent(settings(1))
		agent.withLock(func() {
			for agent.warmUp.Cold() {
				agent.warmUp.RecordCompletion(0)
			}
		})
		for i := range 100 {
			// The cold engine is too slow for all of them, so some are refused.
			if _, err := agent.target.Offer(c.t.Context(), agent.draftOffer(fmt.Sprint("prompt", i), 1000, time.Minute)); err != nil {
				t.Fatal(err)
			}
			<-time.After(150 * time.Millisecond)
			if i == 40 {
				engine.TurnCold()
			}
		}
		if resets := agent.warmUp.Resets(); resets != 1 {
			t.Errorf("the warm-up limit was reset %d times, want 1", resets)
		}
		if stats := engine.Stats(); stats.LoadFailures != 0 {
			t.Errorf("the engine failed under load %d times, want 0", stats.LoadFailures)
		}
	})
}

// Guards against answers that never end after their engine has crashed, memory
// that stays reserved, and full load on the restarted engine.
func TestEngineRestart(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{Warm: true, Downtime: 3 * time.Second})
		agent := c.startReadyAgent(settings(1))
		agent.withLock(func() { agent.warmUp.RecordCompletion(0) })
		running := agent.draftOffer("running", 10_000, time.Minute)
		waiting := agent.draftOffer("waiting", 10, time.Minute)
		agent.wantAccepted(running)
		agent.wantAccepted(waiting)
		<-time.After(time.Second)
		engine.Crash()
		agent.wantEnd(running.Request, failedOutcome, rtwire.Reason_REASON_TARGET)
		agent.wantEnd(waiting.Request, notRunOutcome, rtwire.Reason_REASON_TARGET)
		for !agent.isReady() {
			<-time.After(100 * time.Millisecond)
		}
		<-time.After(5 * time.Second)
		if load := agent.load(); load.Used != 0 || load.Running != 0 || load.Limit != 1 {
			t.Errorf("load after the restart: %v, want no requests, no memory and limit 1", load)
		}
		again := agent.draftOffer("again", 10, time.Minute)
		agent.wantAccepted(again)
		agent.wantEnd(again.Request, doneOutcome, noReason)
	})
}

// Guards against accepting requests for an engine that hangs without closing its
// connections, and against failing requests that complete after it continues.
func TestFrozenEngine(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{Warm: true})
		agent := c.startReadyAgent(settings(1))
		running := agent.draftOffer("running", 10_000, time.Minute)
		agent.wantAccepted(running)
		<-time.After(time.Second)
		engine.Freeze()
		<-time.After(4 * time.Second)
		agent.wantOffer(agent.draftOffer("new", 1, time.Minute), notRunOutcome, rtwire.Reason_REASON_TARGET)
		engine.Thaw()
		agent.wantEnd(running.Request, doneOutcome, noReason)
	})
}

// Guards against memory that a dead agent leaves in use, a fencing number that
// decreases, and drafts of the dead incarnation that are not reported as failed.
func TestAgentRestart(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{Fencing: true})
		first := c.startReadyAgent(settings(1))
		running := first.draftOffer("running", 100_000, time.Hour)
		first.wantAccepted(running)
		<-time.After(time.Second)
		client := rttarget.NewEngine(c.client, address(1, 80))
		ahead := first.node.Incarnation() + 1_000_000
		if err := client.Hold(c.t.Context(), rttarget.HoldRequest{ID: "hold", Tokens: 1000, Fence: ahead}); err != nil {
			t.Fatal(err)
		}
		c.network.Kill("10.0.0.1")
		c.serveTarget(1, engine)
		second := c.startReadyAgent(settings(1))
		if got := second.node.Incarnation(); got != ahead+1 {
			t.Errorf("incarnation %d, want %d", got, ahead+1)
		}
		if stats := engine.Stats(); stats.UsedMemory != 0 || stats.Streams != 0 {
			t.Errorf("in use at the engine after the start of the agent: %+v, want nothing", stats)
		}
		if reply := second.queryLedger(running.Request); reply.Outcome != failedOutcome {
			t.Errorf("query of a draft of the dead incarnation: got %v, want failed", reply)
		}
		offer := second.draftOffer("after", 10, time.Minute)
		second.wantAccepted(offer)
		second.wantEnd(offer.Request, doneOutcome, noReason)
	})
}

// Guards against memory at the engine that stays in use without an owner, and
// against freeing memory of running requests.
func TestReconcile(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{Warm: true})
		agent := c.startReadyAgent(settings(1))
		kept := agent.draftOffer("kept", 5000, time.Minute)
		agent.wantAccepted(kept)
		client := rttarget.NewEngine(c.client, address(1, 80))
		stream, err := client.Generate(c.t.Context(), rttarget.GenerateRequest{ID: "unowned", Prompt: []byte("x"), Output: 100_000, Model: "m"})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stream.Close() }()
		<-time.After(100 * time.Millisecond)
		for periods, want := range []int{2, 2, 1} {
			if streams := engine.Stats().Streams; streams != want {
				t.Errorf("%d streams after %d periods, want %d", streams, periods, want)
			}
			<-time.After(reconcilePeriod)
		}
		agent.wantEnd(kept.Request, doneOutcome, noReason)
		if executions := engine.Executions(rtid.Request(kept.Request)); executions != 1 {
			t.Errorf("the running request was executed %d times, want 1", executions)
		}
	})
}
