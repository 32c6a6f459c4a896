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

// Guards against full load on a cold engine, also when a warm one turns cold
// in the middle of work.
func TestColdLimitHolds(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{ColdLimit: 2})
		agent := w.agent(settings(1))
		flood := func(name string) {
			var offers []*rtwire.OfferRequest
			replies := make(chan error)
			for i := range 50 {
				offer := agent.draft(fmt.Sprint(name, i), 200, time.Minute)
				offers = append(offers, offer)
				go func() {
					_, err := agent.target.Offer(w.t.Context(), offer)
					replies <- err
				}()
			}
			for range offers {
				if err := <-replies; err != nil {
					t.Error(err)
				}
			}
			for _, offer := range offers {
				agent.want(offer.Request, doneOutcome, noReason)
			}
		}
		flood("start")
		if load := agent.load(); load.Cold {
			t.Errorf("still cold after 50 completions: %v", load)
		}
		flood("warm")
		if peak := engine.Stats().PeakColdStreams; peak > 2 {
			t.Errorf("%d streams at the cold engine", peak)
		}
		if failovers := engine.Stats().Failovers; failovers != 0 {
			t.Errorf("the engine failed over %d times", failovers)
		}
	})
}

// Guards against an engine that turned cold without a restart and fails under
// the load of a warm one. Its answers are too long to end before that.
func TestTurnCold(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{Warm: true})
		agent := w.agent(settings(1))
		agent.set(func() {
			for agent.warm.Cold() {
				agent.warm.RecordCompletion(0)
			}
		})
		for i := range 100 {
			// The cold engine is too slow for all of them, so some are refused.
			if _, err := agent.target.Offer(w.t.Context(), agent.draft(fmt.Sprint("prompt", i), 1000, time.Minute)); err != nil {
				t.Fatal(err)
			}
			<-time.After(150 * time.Millisecond)
			if i == 40 {
				engine.TurnCold()
			}
		}
		if falls := agent.warm.Resets(); falls != 1 {
			t.Errorf("the limit fell %d times, want once", falls)
		}
		if stats := engine.Stats(); stats.Failovers != 0 {
			t.Errorf("the engine failed over %d times", stats.Failovers)
		}
	})
}

// Guards against answers of a dead engine that never end, memory that stays
// reserved and full load on the restarted engine.
func TestEngineRestart(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{Warm: true, Downtime: 3 * time.Second})
		agent := w.agent(settings(1))
		agent.set(func() { agent.warm.RecordCompletion(0) })
		running := agent.draft("running", 10_000, time.Minute)
		waiting := agent.draft("waiting", 10, time.Minute)
		agent.accept(running)
		agent.accept(waiting)
		<-time.After(time.Second)
		engine.Crash()
		agent.want(running.Request, failedOutcome, rtwire.Reason_REASON_TARGET)
		agent.want(waiting.Request, notRunOutcome, rtwire.Reason_REASON_TARGET)
		for !agent.isReady() {
			<-time.After(100 * time.Millisecond)
		}
		<-time.After(5 * time.Second)
		if load := agent.load(); load.Used != 0 || load.Running != 0 || load.Limit != 1 {
			t.Errorf("after the restart: %v", load)
		}
		again := agent.draft("again", 10, time.Minute)
		agent.accept(again)
		agent.want(again.Request, doneOutcome, noReason)
	})
}

// Guards against an engine that hangs without closing its connections.
func TestFrozenEngine(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{Warm: true})
		agent := w.agent(settings(1))
		running := agent.draft("running", 10_000, time.Minute)
		agent.accept(running)
		<-time.After(time.Second)
		engine.Freeze()
		<-time.After(4 * time.Second)
		agent.send(agent.draft("new", 1, time.Minute), notRunOutcome, rtwire.Reason_REASON_TARGET)
		engine.Thaw()
		agent.want(running.Request, doneOutcome, noReason)
	})
}

// Guards against memory that a dead agent leaves in use, a fencing number
// that falls, and ids of the dead incarnation that run.
func TestAgentRestart(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{Fencing: true})
		first := w.agent(settings(1))
		running := first.draft("running", 100_000, time.Hour)
		first.accept(running)
		<-time.After(time.Second)
		client := rttarget.NewEngine(w.client, address(1, 80))
		ahead := first.node.Incarnation() + 1_000_000
		if err := client.Hold(w.t.Context(), rttarget.HoldRequest{ID: "hold", Tokens: 1000, Fence: ahead}); err != nil {
			t.Fatal(err)
		}
		w.network.Kill("10.0.0.1")
		w.serve(1, engine)
		second := w.agent(settings(1))
		if got := second.node.Incarnation(); got != ahead+1 {
			t.Errorf("incarnation %d, want %d", got, ahead+1)
		}
		if stats := engine.Stats(); stats.UsedMemory != 0 || stats.Streams != 0 {
			t.Errorf("left in use at the start: %+v", stats)
		}
		if reply := second.query(running.Request); reply.Outcome != failedOutcome {
			t.Errorf("a draft of the dead incarnation is %v", reply)
		}
		offer := second.draft("after", 10, time.Minute)
		second.accept(offer)
		second.want(offer.Request, doneOutcome, noReason)
	})
}

// Guards against memory at the engine that nobody owns.
func TestReconcile(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{Warm: true})
		agent := w.agent(settings(1))
		kept := agent.draft("kept", 5000, time.Minute)
		agent.accept(kept)
		client := rttarget.NewEngine(w.client, address(1, 80))
		stream, err := client.Generate(w.t.Context(), rttarget.GenerateRequest{ID: "unowned", Prompt: []byte("x"), Output: 100_000, Model: "m"})
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
		agent.want(kept.Request, doneOutcome, noReason)
		if executions := engine.Executions(rtid.Request(kept.Request)); executions != 1 {
			t.Errorf("%d executions", executions)
		}
	})
}
