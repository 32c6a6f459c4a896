package rtentry

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

const testText = "wöörtlich – ganz"

// refusal of an agent.
func refuseOffer(*rtwire.OfferRequest) (*rtwire.OfferReply, error) {
	return &rtwire.OfferReply{Outcome: rtwire.Outcome_OUTCOME_NOT_RUN, Reason: rtwire.Reason_REASON_QUEUE}, nil
}

// loseReply breaks the connection instead of answering an offer.
func loseReply(*rtwire.OfferRequest) (*rtwire.OfferReply, error) {
	panic(http.ErrAbortHandler)
}

// offersOf returns the number of offers that agents got.
func offersOf(agents ...*fakeAgent) int {
	count := 0
	for _, agent := range agents {
		agent.mu.Lock()
		count += len(agent.offers)
		agent.mu.Unlock()
	}
	return count
}

// postDraft posts a draft that is refused and returns status and body.
func (f *fixture) postDraft(limit string) (int, rtapi.ErrorBody) {
	f.t.Helper()
	status, body := f.call("court", http.MethodPost, "/v1/drafts",
		[]byte(`{"service":"drafts","prompt":"p","output":10,"limit":"`+limit+`"}`))
	var refused rtapi.ErrorBody
	if err := json.Unmarshal(body, &refused); err != nil {
		f.t.Fatalf("status %d: %s", status, body)
	}
	return status, refused
}

// Guards against an answer that loses text on its way, with characters that
// cross a frame border, and with a stream that is cut at each frame border.
func TestDraftCutAndResumed(t *testing.T) {
	for cut := range 6 {
		agent := &fakeAgent{name: "engine-1", text: testText, cut: cut}
		run(t, func(f *fixture) {
			text, starts, end := answerOf(t, f.draft("30s"))
			if text != testText || starts != 1 || end.Outcome != rtapi.Done || end.Size != int64(len(testText)) {
				t.Errorf("cut %d: got %q with %d starts and %+v", cut, text, starts, end)
			}
			if cut > 0 && !slices.Equal(agent.reads, []int64{0, int64(cut * frameSize)}) {
				t.Errorf("cut %d: read at %v", cut, agent.reads)
			}
		}, agent)
	}
}

// Guards against a refused draft that is given up, or that is offered to the
// same target again.
func TestDraftRefusedElsewhere(t *testing.T) {
	busy := &fakeAgent{name: "engine-1", offer: refuseOffer}
	free := &fakeAgent{name: "engine-2", text: testText}
	run(t, func(f *fixture) {
		for range 2 {
			if text, _, end := answerOf(t, f.draft("30s")); text != testText || end.Outcome != rtapi.Done {
				t.Errorf("got %q and %+v", text, end)
			}
			<-time.After(2 * time.Second) // virtual time, until the budget has its floor again
		}
		if offersOf(free) != 2 || offersOf(busy) > 2 {
			t.Errorf("%d offers to the free target, %d to the busy one", offersOf(free), offersOf(busy))
		}
	}, busy, free)
}

// Guards against retries that amplify an overload: with every target full, one
// draft gets the floor of one retry, the next none.
func TestDraftBudgetExhausted(t *testing.T) {
	agents := []*fakeAgent{{name: "engine-1", offer: refuseOffer}, {name: "engine-2", offer: refuseOffer},
		{name: "engine-3", offer: refuseOffer}}
	run(t, func(f *fixture) {
		for _, want := range []int{2, 3} {
			status, refused := f.postDraft("30s")
			if status != http.StatusServiceUnavailable || refused.Outcome != rtapi.NotRun ||
				refused.Reason != rtapi.ReasonBudget || !refused.Retry {
				t.Errorf("status %d: %+v", status, refused)
			}
			if got := offersOf(agents...); got != want {
				t.Errorf("%d offers, want %d", got, want)
			}
		}
	}, agents...)
}

// Guards against a lost offer reply that leads to a second run elsewhere.
func TestDraftLostReply(t *testing.T) {
	accepted := &rtwire.QueryReply{Outcome: rtwire.Outcome_OUTCOME_ACCEPTED}
	tests := []struct {
		name    string
		answers []*rtwire.QueryReply // to queries in order, the last one repeated; nil for none
		offers  int                  // to the first target
		outcome rtapi.Outcome
		moved   bool
	}{
		{"accepted", []*rtwire.QueryReply{accepted}, 1, rtapi.Done, false},
		{"accepted, query lost once", []*rtwire.QueryReply{nil, accepted}, 1, rtapi.Done, false},
		{"never arrived, offered again", []*rtwire.QueryReply{{}, accepted}, 2, rtapi.Done, false},
		{"not run", []*rtwire.QueryReply{{Outcome: rtwire.Outcome_OUTCOME_NOT_RUN, Reason: rtwire.Reason_REASON_QUEUE}}, 1,
			rtapi.Done, true},
		{"incarnation gone", []*rtwire.QueryReply{{Reason: rtwire.Reason_REASON_INCARNATION}}, 1, rtapi.Done, true},
		{"no answer until the time limit", []*rtwire.QueryReply{nil}, 1, rtapi.Unknown, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lossy := &fakeAgent{name: "engine-1", text: testText, offer: loseReply}
			queries := 0
			lossy.query = func(*rtwire.QueryRequest) (*rtwire.QueryReply, error) {
				reply := test.answers[min(queries, len(test.answers)-1)]
				queries++
				if reply == nil {
					panic(http.ErrAbortHandler)
				}
				return reply, nil
			}
			run(t, func(f *fixture) {
				other := f.addLater("engine-2")
				f.checkEnd(test.outcome)
				if got := offersOf(lossy); got != test.offers {
					t.Errorf("%d offers to the first target, want %d", got, test.offers)
				}
				if got := offersOf(other) > 0; got != test.moved {
					t.Errorf("offered elsewhere: %v, want %v", got, test.moved)
				}
			}, lossy)
		})
	}
}

// checkEnd posts a draft with a time limit of 3 s. Without its answer it must
// have the outcome at the time limit.
func (f *fixture) checkEnd(outcome rtapi.Outcome) {
	f.t.Helper()
	if outcome == rtapi.Done {
		if text, _, end := answerOf(f.t, f.draft("3s")); text != testText || end.Outcome != rtapi.Done {
			f.t.Errorf("got %q and %+v", text, end)
		}
		return
	}
	began := time.Now()
	status, refused := f.postDraft("3s")
	if status != http.StatusGatewayTimeout || refused.Outcome != outcome || !refused.Retry {
		f.t.Errorf("status %d: %+v", status, refused)
	}
	if took := time.Since(began); took < 3*time.Second || took > 3250*time.Millisecond {
		f.t.Errorf("took %v", took)
	}
}

// addLater adds a target with so much load that it is offered a draft only
// after the others have refused.
func (f *fixture) addLater(name string) *fakeAgent {
	agent := &fakeAgent{name: name, text: testText}
	f.serveAgent(agent, "10.0.2."+name[len(name)-1:], 100)
	<-time.After(2 * refreshInterval) // virtual time, until the entry sees the target
	return agent
}

// Guards against mixed answers when a target is lost during an answer: the
// other one continues after the delivered text.
func TestDraftAgentGone(t *testing.T) {
	// The first frame ends inside a character.
	lost := &fakeAgent{name: "engine-1", text: testText, cut: 1}
	run(t, func(f *fixture) {
		other := f.addLater("engine-2")
		lost.onCut = func() { f.node.replace("engine-1") }
		text, starts, end := answerOf(t, f.draft("30s"))
		if text != testText || starts != 2 || end.Outcome != rtapi.Done {
			t.Fatalf("got %q with %d starts and %+v", text, starts, end)
		}
		if prefix := string(other.offers[0].GetPrefix()); prefix != "wö" {
			t.Errorf("continued after %q", prefix)
		}
		if offersOf(lost) != 1 || len(other.reads) != 1 || other.reads[0] != int64(len(other.offers[0].GetPrefix())) {
			t.Errorf("%d offers to the lost target, second target read at %v", offersOf(lost), other.reads)
		}
	}, lost)
}

// Guards against a draft that moves forever.
func TestDraftTwoAgentsGone(t *testing.T) {
	lost := &fakeAgent{name: "engine-1", text: testText, cut: 2}
	run(t, func(f *fixture) {
		other := f.addLater("engine-2")
		third := f.addLater("engine-3")
		other.cut = 1
		lost.onCut = func() { f.node.replace("engine-1") }
		other.onCut = func() { f.node.replace("engine-2") }
		third.cut = 1
		third.onCut = func() { f.node.replace("engine-3") }
		_, starts, end := answerOf(t, f.draft("30s"))
		if starts != 2 || end.Outcome != rtapi.Failed || end.Reason != rtapi.ReasonIncarnation || !end.Retry {
			t.Errorf("%d starts and %+v", starts, end)
		}
		if got := offersOf(lost, other, third); got != 2 {
			t.Errorf("%d offers, want 2", got)
		}
	}, lost)
}

// Guards against a caller that waits past its time limit for a silent agent.
func TestDraftTimeLimit(t *testing.T) {
	tests := []struct {
		name  string
		agent *fakeAgent
	}{
		{"silent answer", &fakeAgent{name: "engine-1", silent: true}},
		{"slow answer", &fakeAgent{name: "engine-1", text: testText, pause: 900 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(f *fixture) {
				began := time.Now()
				text, _, end := answerOf(t, f.draft("2s"))
				if took := time.Since(began); took < 2*time.Second || took > 2250*time.Millisecond {
					t.Errorf("took %v", took)
				}
				want := rtapi.Unknown
				if text != "" {
					want = rtapi.Failed
				}
				if end.Outcome != want || end.Reason != rtapi.ReasonDeadline || !end.Retry {
					t.Errorf("after %q: %+v", text, end)
				}
			}, test.agent)
		})
	}
}

// Guards against a long prompt that is sent around although no target can read
// it in time.
func TestDraftImpossible(t *testing.T) {
	agent := &fakeAgent{name: "engine-1", text: testText}
	run(t, func(f *fixture) {
		body := `{"service":"drafts","prompt":"` + strings.Repeat("word", 2000) + `","output":10,"limit":"1s"}`
		status, answer := f.call("court", http.MethodPost, "/v1/drafts", []byte(body))
		var refused rtapi.ErrorBody
		if err := json.Unmarshal(answer, &refused); err != nil || status != http.StatusGatewayTimeout ||
			refused.Outcome != rtapi.NotRun || refused.Reason != rtapi.ReasonDeadline {
			t.Errorf("status %d: %s", status, answer)
		}
		if offersOf(agent) != 0 {
			t.Error("offered")
		}
	}, agent)
}

// Guards against a resume that repeats or loses text, and against reading an
// answer of another organisation.
func TestDraftResumeAtEntry(t *testing.T) {
	agent := &fakeAgent{name: "engine-1", text: testText}
	run(t, func(f *fixture) {
		id := f.draft("30s")[0].ID
		status, body := f.call("court", http.MethodGet, "/v1/drafts/"+id+"?offset=5", nil)
		var text string
		for _, event := range eventsOf(t, body) {
			text += event.Text
		}
		if status != http.StatusOK || text != testText[5:] {
			t.Errorf("status %d: resumed with %q", status, text)
		}
		queries := agent.queries
		for _, path := range []string{"/v1/drafts/" + id, "/v1/drafts/" + id + "/status", "/v1/orders/" + id} {
			organisation := "studio"
			if path == "/v1/orders/"+id {
				organisation = "court" // of the wrong kind
			}
			if status, body := f.call(organisation, http.MethodGet, path, nil); status != http.StatusNotFound {
				t.Errorf("%s: status %d: %s", path, status, body)
			}
		}
		if agent.queries != queries {
			t.Error("agent was asked about the id of another organisation")
		}
		agent.query = func(*rtwire.QueryRequest) (*rtwire.QueryReply, error) {
			return &rtwire.QueryReply{Reason: rtwire.Reason_REASON_CONFLICT}, nil
		}
		if status, body := f.call("court", http.MethodGet, "/v1/drafts/"+id, nil); status != http.StatusNotFound {
			t.Errorf("id that the ledger holds for another organisation: status %d: %s", status, body)
		}
	}, agent)
}

// Guards against a planned stop that interrupts a stream or takes new
// connections.
func TestGracefulStop(t *testing.T) {
	agent := &fakeAgent{name: "engine-1", text: testText, pause: 3 * time.Second}
	run(t, func(f *fixture) {
		body := `{"service":"drafts","prompt":"p","output":10,"limit":"60s"}`
		response, err := f.send("court", http.MethodPost, "/v1/drafts", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		f.stop()
		synctest.Wait()
		if status, _ := f.call("court", http.MethodGet, "/ready", nil); status != http.StatusServiceUnavailable {
			t.Errorf("ready with status %d during a planned stop", status)
		}
		<-time.After(balancerDelay + time.Second) // virtual time
		if _, err := f.network.Host("10.0.9.9").Dial(t.Context(), callersAddress); err == nil {
			t.Error("new connection during a planned stop")
		}
		read, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatalf("stream interrupted: %v", err)
		}
		if text, _, end := answerOf(t, eventsOf(t, read)); text != testText || end.Outcome != rtapi.Done {
			t.Errorf("got %q and %+v", text, end)
		}
	}, agent)
}

// Guards against an accepted draft that its target gives up before the start
// and that is not offered elsewhere.
func TestDraftDroppedFromQueue(t *testing.T) {
	drops := &fakeAgent{name: "engine-1"}
	drops.final.Outcome = rtwire.Outcome_OUTCOME_NOT_RUN
	drops.final.Reason = rtwire.Reason_REASON_ZONE_OUT
	run(t, func(f *fixture) {
		f.addLater("engine-2")
		text, starts, end := answerOf(t, f.draft("30s"))
		if text != testText || starts != 2 || end.Outcome != rtapi.Done {
			t.Errorf("got %q with %d starts and %+v", text, starts, end)
		}
	}, drops)
}

// Guards against a draft that waits for a VM that has vanished without closing
// its connections.
func TestDraftAgentVanished(t *testing.T) {
	lost := &fakeAgent{name: "engine-1", text: testText, pause: time.Second}
	run(t, func(f *fixture) {
		f.addLater("engine-2")
		go func() {
			<-time.After(2500 * time.Millisecond)
			f.network.Isolate("10.0.1.1")
			f.node.mu.Lock()
			view := f.node.views["engine-1"]
			view.Alive = false
			f.node.views["engine-1"] = view
			f.node.mu.Unlock()
		}()
		began := time.Now()
		text, starts, end := answerOf(t, f.draft("60s"))
		if text != testText || starts != 2 || end.Outcome != rtapi.Done {
			t.Errorf("got %q with %d starts and %+v", text, starts, end)
		}
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("took %v", took)
		}
		f.network.Rejoin("10.0.1.1")
	}, lost)
}

// Guards against a caller that reads nothing and holds a request past its time
// limit.
func TestDraftSlowReader(t *testing.T) {
	agent := &fakeAgent{name: "engine-1", text: strings.Repeat("long answer ", 20_000)}
	run(t, func(f *fixture) {
		body := `{"service":"drafts","prompt":"p","output":10,"limit":"5s"}`
		response, err := f.send("court", http.MethodPost, "/v1/drafts", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		if f.entry.drafts.Load() != 1 {
			t.Fatal("draft ended although nothing was read")
		}
		<-time.After(5250 * time.Millisecond)
		synctest.Wait()
		if got := f.entry.drafts.Load(); got != 0 {
			t.Errorf("%d drafts run after the time limit", got)
		}
	}, agent)
}
