package rtagent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	notRunOutcome  = rtwire.Outcome_OUTCOME_NOT_RUN
	failedOutcome  = rtwire.Outcome_OUTCOME_FAILED
	doneOutcome    = rtwire.Outcome_OUTCOME_DONE
	noReason       = rtwire.Reason_REASON_NONE
	deadlineReason = rtwire.Reason_REASON_DEADLINE
)

// Guards against requests that keep running or waiting after their deadline, and
// against memory that stays reserved afterwards.
func TestDeadline(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{})
		agent := c.startReadyAgent(settings(1))
		began := time.Now()
		endless := agent.draftOffer("endless", 100_000, 2*time.Second)
		agent.wantAccepted(endless)
		queued := agent.draftOffer("queued", 10, time.Second)
		agent.wantAccepted(queued)
		agent.wantEnd(queued.Request, notRunOutcome, deadlineReason)
		if waited := time.Since(began); waited > time.Second+250*time.Millisecond {
			t.Errorf("the queued request ended after %v, want at most 1.25s", waited)
		}
		agent.wantEnd(endless.Request, failedOutcome, deadlineReason)
		if waited := time.Since(began); waited > 2*time.Second+250*time.Millisecond {
			t.Errorf("the running request ended after %v, want at most 2.25s", waited)
		}
		<-time.After(100 * time.Millisecond)
		if stats := engine.Stats(); stats.Streams != 0 || stats.UsedMemory != 0 {
			t.Errorf("engine after the deadline: %+v, want no streams and no memory in use", stats)
		}
		if executions := engine.Executions(rtid.Request(queued.Request)); executions != 0 {
			t.Errorf("the request that expired in the queue ran %d times, want 0", executions)
		}
		if load := agent.load(); load.Used != 0 || load.Running != 0 || load.Queued != 0 || load.Prefill != 0 {
			t.Errorf("load of the agent after the deadline: %v, want none", load)
		}
	})
}

// Guards against accepting requests that cannot finish in time at the measured
// speed of the target.
func TestAdmissionByMeasuredRate(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.startEngine(1, rtfake.EngineConfig{Warm: true})
		agent := c.startReadyAgent(settings(1))
		for i := range 3 {
			offer := agent.draftOffer(fmt.Sprint("prompt", i), 1000, time.Minute)
			agent.wantAccepted(offer)
			agent.wantEnd(offer.Request, doneOutcome, noReason)
		}
		// Decoding 10,000 tokens takes 20 s at 2 ms per token.
		agent.wantOffer(agent.draftOffer("too long", 10_000, 15*time.Second), notRunOutcome, deadlineReason)
		agent.wantAccepted(agent.draftOffer("fits", 10_000, 25*time.Second))
	})
}

// Guards against a cancellation that leaves the request running at the engine or
// waiting in the queue.
func TestCancel(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{})
		agent := c.startReadyAgent(settings(1))
		// The prefill takes over 300 ms, so there is no text yet at the
		// cancellation.
		first := agent.draftOffer(strings.Repeat("x", 4*350_000), 1000, time.Minute)
		second := agent.draftOffer("second", 10, time.Minute)
		agent.wantAccepted(first)
		// The dispatcher must start the long prompt before the short one
		// arrives, because it would start the short one first.
		<-time.After(tickInterval)
		agent.wantAccepted(second)
		<-time.After(100 * time.Millisecond)
		tests := []struct {
			request string
			outcome rtwire.Outcome
		}{
			{second.Request, notRunOutcome},
			{first.Request, failedOutcome},
			{agent.draftOffer("never offered", 1, time.Minute).Request, notRunOutcome},
		}
		for _, test := range tests {
			reply, err := agent.target.Cancel(c.t.Context(), &rtwire.CancelRequest{Request: test.request, Organisation: string(court)})
			if err != nil || reply.Outcome != test.outcome || reply.Reason != rtwire.Reason_REASON_CANCELLED {
				t.Errorf("cancel: %v, %v, want %v", reply, err, test.outcome)
			}
		}
		agent.wantEnd(first.Request, failedOutcome, rtwire.Reason_REASON_CANCELLED)
		<-time.After(20 * time.Millisecond)
		if stats := engine.Stats(); stats.Streams != 0 || engine.Executions(rtid.Request(second.Request)) != 0 {
			t.Errorf("after the cancellations: %+v, want no streams and no run of the waiting request", stats)
		}
	})
}

// Guards against dispatching requests on outdated state after the process was
// paused, and against accepting offers that waited in a socket buffer during the
// pause.
func TestPauseDropsWaiting(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{})
		agent := c.startReadyAgent(settings(1))
		running := agent.draftOffer("running", 2000, time.Minute)
		waiting := agent.draftOffer("waiting", 10, time.Minute)
		agent.wantAccepted(running)
		agent.wantAccepted(waiting)
		<-time.After(100 * time.Millisecond)
		agent.withLock(func() { agent.pauses.lastSeen = agent.pauses.lastSeen.Add(-2 * time.Second) })
		agent.wantEnd(waiting.Request, notRunOutcome, rtwire.Reason_REASON_PAUSED)
		agent.wantOffer(agent.draftOffer("from the socket", 10, time.Minute), notRunOutcome, rtwire.Reason_REASON_PAUSED)
		<-time.After(resumeGrace)
		agent.wantAccepted(agent.draftOffer("later", 10, time.Minute))
		agent.wantEnd(running.Request, doneOutcome, noReason)
		if executions := engine.Executions(rtid.Request(waiting.Request)); executions != 0 {
			t.Errorf("the request dropped after the pause ran %d times, want 0", executions)
		}
	})
}

// Guards against a graceful shutdown that interrupts accepted requests, accepts
// new ones, or loses answers that were not read yet.
func TestDrain(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.startEngine(1, rtfake.EngineConfig{})
		agent := c.startReadyAgent(settings(1))
		var offers []*rtwire.OfferRequest
		for i := range 5 {
			offer := agent.draftOffer(fmt.Sprint("prompt", i), 1000, time.Minute)
			agent.wantAccepted(offer)
			offers = append(offers, offer)
		}
		agent.stop()
		<-time.After(100 * time.Millisecond)
		agent.wantOffer(agent.draftOffer("new", 1, time.Minute), notRunOutcome, rtwire.Reason_REASON_LEAVING)
		agent.wantAccepted(offers[4])
		<-time.After(50 * time.Second)
		for i, offer := range offers {
			text := agent.wantEnd(offer.Request, doneOutcome, noReason)
			if want := rtfake.Answer([]byte(fmt.Sprint("prompt", i)), 1000); text != want {
				t.Errorf("answer %d differs from the expected text", i)
			}
		}
		select {
		case err := <-agent.task.Done():
			if err != nil {
				t.Error(err)
			}
		case <-time.After(5 * time.Second):
			t.Error("the agent did not stop within 5 s after all answers were read")
		}
	})
}

// Guards against a graceful shutdown that waits longer than the drain timeout
// for running requests.
func TestDrainLimit(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{})
		config := settings(1)
		config.DrainTimeout = 5 * config.HeartbeatInterval
		agent := c.startReadyAgent(config)
		agent.wantAccepted(agent.draftOffer("endless", 100_000, time.Hour))
		agent.wantAccepted(agent.draftOffer("waiting", 10, time.Hour))
		agent.stop()
		select {
		case err := <-agent.task.Done():
			if err != nil {
				t.Error(err)
			}
		case <-time.After(8 * time.Second):
			t.Error("the agent did not stop within 8 s with a drain timeout of 5 s")
		}
		if stats := engine.Stats(); stats.Streams != 0 {
			t.Errorf("%d streams left at the engine, want 0", stats.Streams)
		}
	})
}
