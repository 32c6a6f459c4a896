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
	notRunOutcome = rtwire.Outcome_OUTCOME_NOT_RUN
	failedOutcome = rtwire.Outcome_OUTCOME_FAILED
	doneOutcome   = rtwire.Outcome_OUTCOME_DONE
	noReason      = rtwire.Reason_REASON_NONE
	late          = rtwire.Reason_REASON_DEADLINE
)

// Guards against work that goes on after its time limit, at the engine or in
// the queue, and against memory that stays in use afterwards.
func TestDeadline(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{})
		agent := w.agent(settings(1))
		began := time.Now()
		endless := agent.draft("endless", 100_000, 2*time.Second)
		agent.accept(endless)
		queued := agent.draft("queued", 10, time.Second)
		agent.accept(queued)
		agent.want(queued.Request, notRunOutcome, late)
		if waited := time.Since(began); waited > time.Second+250*time.Millisecond {
			t.Errorf("the queued request ended after %v", waited)
		}
		agent.want(endless.Request, failedOutcome, late)
		if waited := time.Since(began); waited > 2*time.Second+250*time.Millisecond {
			t.Errorf("the running request ended after %v", waited)
		}
		<-time.After(100 * time.Millisecond)
		if stats := engine.Stats(); stats.Streams != 0 || stats.UsedMemory != 0 {
			t.Errorf("after the deadline: %+v", stats)
		}
		if executions := engine.Executions(rtid.Request(queued.Request)); executions != 0 {
			t.Errorf("the expired request ran %d times", executions)
		}
		if load := agent.load(); load.Used != 0 || load.Running != 0 || load.Queued != 0 || load.Prefill != 0 {
			t.Errorf("after the deadline: %v", load)
		}
	})
}

// Guards against admission of what cannot finish at the measured rate.
func TestAdmissionByMeasuredRate(t *testing.T) {
	inWorld(t, func(w *world) {
		w.engine(1, rtfake.EngineConfig{Warm: true})
		agent := w.agent(settings(1))
		for i := range 3 {
			offer := agent.draft(fmt.Sprint("prompt", i), 1000, time.Minute)
			agent.accept(offer)
			agent.want(offer.Request, doneOutcome, noReason)
		}
		// 10,000 tokens of answer take 20 s at 2 ms each.
		agent.send(agent.draft("too long", 10_000, 15*time.Second), notRunOutcome, late)
		agent.accept(agent.draft("fits", 10_000, 25*time.Second))
	})
}

// Guards against a cancel that leaves work at the engine or in the queue.
func TestCancel(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{})
		agent := w.agent(settings(1))
		// Its prefill takes over 300 ms, so there is no text yet when it is cancelled.
		first := agent.draft(strings.Repeat("x", 4*350_000), 1000, time.Minute)
		second := agent.draft("second", 10, time.Minute)
		agent.accept(first)
		// The dispatcher must start it before the shorter one arrives, which
		// would go first.
		<-time.After(tickInterval)
		agent.accept(second)
		<-time.After(100 * time.Millisecond)
		tests := []struct {
			request string
			outcome rtwire.Outcome
		}{
			{second.Request, notRunOutcome},
			{first.Request, failedOutcome},
			{agent.draft("never offered", 1, time.Minute).Request, notRunOutcome},
		}
		for _, test := range tests {
			reply, err := agent.target.Cancel(w.t.Context(), &rtwire.CancelRequest{Request: test.request, Organisation: string(court)})
			if err != nil || reply.Outcome != test.outcome || reply.Reason != rtwire.Reason_REASON_CANCELLED {
				t.Errorf("cancel: %v, %v, want %v", reply, err, test.outcome)
			}
		}
		agent.want(first.Request, failedOutcome, rtwire.Reason_REASON_CANCELLED)
		<-time.After(20 * time.Millisecond)
		if stats := engine.Stats(); stats.Streams != 0 || engine.Executions(rtid.Request(second.Request)) != 0 {
			t.Errorf("after cancel: %+v", stats)
		}
	})
}

// Guards against work that is dispatched on old state after a pause, and
// against offers that waited in a socket meanwhile.
func TestPauseDropsWaiting(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{})
		agent := w.agent(settings(1))
		running := agent.draft("running", 2000, time.Minute)
		waiting := agent.draft("waiting", 10, time.Minute)
		agent.accept(running)
		agent.accept(waiting)
		<-time.After(100 * time.Millisecond)
		agent.set(func() { agent.pause.latest = agent.pause.latest.Add(-2 * time.Second) })
		agent.want(waiting.Request, notRunOutcome, rtwire.Reason_REASON_PAUSED)
		agent.send(agent.draft("from the socket", 10, time.Minute), notRunOutcome, rtwire.Reason_REASON_PAUSED)
		<-time.After(pauseSettle)
		agent.accept(agent.draft("later", 10, time.Minute))
		agent.want(running.Request, doneOutcome, noReason)
		if executions := engine.Executions(rtid.Request(waiting.Request)); executions != 0 {
			t.Errorf("the dropped request ran %d times", executions)
		}
	})
}

// Guards against a planned stop that interrupts accepted work, takes new work
// or loses answers that are not read yet.
func TestDrain(t *testing.T) {
	inWorld(t, func(w *world) {
		w.engine(1, rtfake.EngineConfig{})
		agent := w.agent(settings(1))
		var offers []*rtwire.OfferRequest
		for i := range 5 {
			offer := agent.draft(fmt.Sprint("prompt", i), 1000, time.Minute)
			agent.accept(offer)
			offers = append(offers, offer)
		}
		agent.stop()
		<-time.After(100 * time.Millisecond)
		agent.send(agent.draft("new", 1, time.Minute), notRunOutcome, rtwire.Reason_REASON_LEAVING)
		agent.accept(offers[4])
		<-time.After(50 * time.Second)
		for i, offer := range offers {
			text := agent.want(offer.Request, doneOutcome, noReason)
			if want := rtfake.Answer([]byte(fmt.Sprint("prompt", i)), 1000); text != want {
				t.Errorf("answer %d is not whole", i)
			}
		}
		select {
		case err := <-agent.task.Done():
			if err != nil {
				t.Error(err)
			}
		case <-time.After(5 * time.Second):
			t.Error("the agent does not end after all answers were read")
		}
	})
}

// Guards against a stop that hangs on work longer than the drain limit.
func TestDrainLimit(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{})
		chosen := settings(1)
		chosen.DrainTimeout = 5 * chosen.HeartbeatInterval
		agent := w.agent(chosen)
		agent.accept(agent.draft("endless", 100_000, time.Hour))
		agent.accept(agent.draft("waiting", 10, time.Hour))
		agent.stop()
		select {
		case err := <-agent.task.Done():
			if err != nil {
				t.Error(err)
			}
		case <-time.After(8 * time.Second):
			t.Error("the agent does not end at its drain limit")
		}
		if stats := engine.Stats(); stats.Streams != 0 {
			t.Errorf("%d streams left at the engine", stats.Streams)
		}
	})
}
