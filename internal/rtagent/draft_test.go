package rtagent

import (
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Guards against answers that are truncated, changed or belong to another
// prompt.
func TestDraftRuns(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{})
		agent := c.startReadyAgent(settings(1))
		offer := agent.draftOffer("a prompt", 50, time.Minute)
		agent.wantAccepted(offer)
		agent.wantAccepted(offer)
		text := agent.wantEnd(offer.Request, rtwire.Outcome_OUTCOME_DONE, rtwire.Reason_REASON_NONE)
		if want := rtfake.Answer([]byte("a prompt"), 50); text != want {
			t.Errorf("got %q, want %q", text, want)
		}
		for offset := range text {
			rest, _, err := agent.readAnswerFrom(offer.Request, offset)
			if err != nil || rest != text[offset:] {
				t.Fatalf("from %d: got %q, %v, want %q", offset, rest, err, text[offset:])
			}
		}
		if reply := agent.queryLedger(offer.Request); reply.Outcome != rtwire.Outcome_OUTCOME_DONE {
			t.Errorf("query: got %v, want done", reply.Outcome)
		}
		agent.wantOffer(offer, rtwire.Outcome_OUTCOME_DONE, rtwire.Reason_REASON_NONE)
		if used := engine.Stats().UsedMemory; used != 0 {
			t.Errorf("%d tokens of memory in use at the end, want 0", used)
		}
	})
}

// Guards against a continued answer that repeats or skips text, or whose
// checksum does not cover the whole answer.
func TestDraftContinues(t *testing.T) {
	withCluster(t, func(c *cluster) {
		c.startEngine(1, rtfake.EngineConfig{})
		agent := c.startReadyAgent(settings(1))
		whole := rtfake.Answer([]byte("a prompt"), 50)
		offer := agent.draftOffer("a prompt", 50, time.Minute)
		offer.Prefix = []byte(whole[:60])
		offer.Offset = 20
		agent.wantAccepted(offer)
		rest, _, err := agent.readAnswerFrom(offer.Request, 60)
		if err != nil || rest != whole[60:] {
			t.Errorf("got %q, %v, want %q", rest, err, whole[60:])
		}
		if text := agent.wantEnd(offer.Request, doneOutcome, noReason); text != whole {
			t.Errorf("got %q, want %q", text, whole)
		}
		wrong := agent.draftOffer("a prompt", 50, time.Minute)
		wrong.Prefix = []byte("not the answer")
		agent.wantAccepted(wrong)
		agent.wantEnd(wrong.Request, notRunOutcome, rtwire.Reason_REASON_TARGET)
	})
}

// Guards against running a draft at an agent that has restarted since the entry
// selected it, because the load and memory that the entry last received are out
// of date.
func TestDraftForAnotherIncarnation(t *testing.T) {
	withCluster(t, func(c *cluster) {
		engine := c.startEngine(1, rtfake.EngineConfig{})
		agent := c.startReadyAgent(settings(1))
		own := uint64(agent.Agent.node.Incarnation())
		for _, incarnation := range []uint64{own - 1, own + 1} {
			offer := agent.draftOffer("a prompt", 50, time.Minute)
			offer.Incarnation = incarnation
			agent.wantOffer(offer, rtwire.Outcome_OUTCOME_NOT_RUN, rtwire.Reason_REASON_INCARNATION)
		}
		if used := engine.Stats().UsedMemory; used != 0 {
			t.Errorf("%d tokens of memory in use by a refused draft, want 0", used)
		}
		offer := agent.draftOffer("a prompt", 50, time.Minute)
		offer.Incarnation = own
		agent.wantAccepted(offer)
		agent.wantEnd(offer.Request, rtwire.Outcome_OUTCOME_DONE, rtwire.Reason_REASON_NONE)
	})
}
