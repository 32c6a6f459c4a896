package rtagent

import (
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Guards against answers that are cut, changed or given for another prompt.
func TestDraftRuns(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{})
		agent := w.agent(settings(1))
		offer := agent.draft("a prompt", 50, time.Minute)
		agent.accept(offer)
		agent.accept(offer)
		text := agent.want(offer.Request, rtwire.Outcome_OUTCOME_DONE, rtwire.Reason_REASON_NONE)
		if want := rtfake.Answer([]byte("a prompt"), 50); text != want {
			t.Errorf("got %q, want %q", text, want)
		}
		for offset := range text {
			rest, _, err := agent.read(offer.Request, offset)
			if err != nil || rest != text[offset:] {
				t.Fatalf("from %d: got %q, %v, want %q", offset, rest, err, text[offset:])
			}
		}
		if reply := agent.query(offer.Request); reply.Outcome != rtwire.Outcome_OUTCOME_DONE {
			t.Errorf("query says %v", reply.Outcome)
		}
		agent.send(offer, rtwire.Outcome_OUTCOME_DONE, rtwire.Reason_REASON_NONE)
		if used := engine.Stats().UsedMemory; used != 0 {
			t.Errorf("%d tokens used at the end", used)
		}
	})
}

// Guards against a continued answer that repeats or skips text, or whose
// checksum is not that of the whole answer.
func TestDraftContinues(t *testing.T) {
	inWorld(t, func(w *world) {
		w.engine(1, rtfake.EngineConfig{})
		agent := w.agent(settings(1))
		whole := rtfake.Answer([]byte("a prompt"), 50)
		offer := agent.draft("a prompt", 50, time.Minute)
		offer.Prefix = []byte(whole[:60])
		offer.Offset = 20
		agent.accept(offer)
		rest, _, err := agent.read(offer.Request, 60)
		if err != nil || rest != whole[60:] {
			t.Errorf("got %q, %v, want %q", rest, err, whole[60:])
		}
		if text := agent.want(offer.Request, doneOutcome, noReason); text != whole {
			t.Errorf("got %q, want %q", text, whole)
		}
		wrong := agent.draft("a prompt", 50, time.Minute)
		wrong.Prefix = []byte("not the answer")
		agent.accept(wrong)
		agent.want(wrong.Request, notRunOutcome, rtwire.Reason_REASON_TARGET)
	})
}

// Guards against a draft that runs at an agent that has started again since
// its entry chose it: what the entry believed of the agent's load and memory is
// no longer true.
func TestDraftForAnotherIncarnation(t *testing.T) {
	inWorld(t, func(w *world) {
		engine := w.engine(1, rtfake.EngineConfig{})
		agent := w.agent(settings(1))
		own := uint64(agent.Agent.node.Incarnation())
		for _, meant := range []uint64{own - 1, own + 1} {
			offer := agent.draft("a prompt", 50, time.Minute)
			offer.Incarnation = meant
			agent.send(offer, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_INCARNATION)
		}
		if used := engine.Stats().UsedMemory; used != 0 {
			t.Errorf("%d tokens used by a refused draft", used)
		}
		offer := agent.draft("a prompt", 50, time.Minute)
		offer.Incarnation = own
		agent.accept(offer)
		agent.want(offer.Request, rtwire.Outcome_OUTCOME_DONE, rtwire.Reason_REASON_NONE)
	})
}
