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

// refuseOffer refuses an offer because the queue is full.
func refuseOffer(*rtwire.OfferRequest) (*rtwire.OfferReply, error) {
	return &rtwire.OfferReply{Outcome: rtwire.Outcome_OUTCOME_NOT_RUN, Reason: rtwire.Reason_REASON_QUEUE}, nil
}

// dropReply breaks the connection instead of replying to an offer.
func dropReply(*rtwire.OfferRequest) (*rtwire.OfferReply, error) {
	panic(http.ErrAbortHandler)
}

// countOffers returns the number of offers that the agents received.
func countOffers(agents ...*fakeAgent) int {
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
		f.t.Fatalf("response with status %d is not an error body: %s", status, body)
	}
	return status, refused
}

// Guards against an answer that loses text when the agent's stream is cut, at
// each frame boundary, and when a character crosses a frame boundary.
func TestDraftCutAndResumed(t *testing.T) {
	for cut := range 6 {
		agent := &fakeAgent{name: "engine-1", text: testText, framesBeforeCut: cut}
		run(t, func(f *fixture) {
			text, starts, end := answerOf(t, f.draft("30s"))
			if text != testText || starts != 1 || end.Outcome != rtapi.Done || end.Size != int64(len(testText)) {
				t.Errorf("cut %d: got text %q with %d start events and end %+v, want the whole text, 1 start event and done", cut, text, starts, end)
			}
			if cut > 0 && !slices.Equal(agent.reads, []int64{0, int64(cut * frameSize)}) {
				t.Errorf("cut %d: answer read at offsets %v, want 0 and the offset of the cut", cut, agent.reads)
			}
		}, agent)
	}
}

// Guards against a refused draft that is not offered to another target, or is
// offered to the same target again.
func TestDraftRefusedElsewhere(t *testing.T) {
	busy := &fakeAgent{name: "engine-1", offer: refuseOffer}
	free := &fakeAgent{name: "engine-2", text: testText}
	run(t, func(f *fixture) {
		for range 2 {
			if text, _, end := answerOf(t, f.draft("30s")); text != testText || end.Outcome != rtapi.Done {
				t.Errorf("got text %q and end %+v, want the whole text and done", text, end)
			}
			<-time.After(2 * time.Second) // virtual time, until the retry budget has its minimum of one again
		}
		if countOffers(free) != 2 || countOffers(busy) > 2 {
			t.Errorf("%d offers to the free target, %d to the busy one, want 2 and at most 2", countOffers(free), countOffers(busy))
		}
	}, busy, free)
}

// Guards against retries that amplify an overload: with every target full, the
// first draft gets one retry, the minimum of the budget, and the next none.
func TestDraftBudgetExhausted(t *testing.T) {
	agents := []*fakeAgent{{name: "engine-1", offer: refuseOffer}, {name: "engine-2", offer: refuseOffer},
		{name: "engine-3", offer: refuseOffer}}
	run(t, func(f *fixture) {
		for _, want := range []int{2, 3} {
			status, refused := f.postDraft("30s")
			if status != http.StatusServiceUnavailable || refused.Outcome != rtapi.NotRun ||
				refused.Reason != rtapi.ReasonBudget || !refused.Retry {
				t.Errorf("status %d: %+v, want 503, not run, reason budget and retry", status, refused)
			}
			if got := countOffers(agents...); got != want {
				t.Errorf("%d offers, want %d", got, want)
			}
		}
	}, agents...)
}

// Guards against a draft that runs at a second target because the reply to its
// first offer was lost although the agent accepted it.
func TestDraftLostReply(t *testing.T) {
	accepted := &rtwire.QueryReply{Outcome: rtwire.Outcome_OUTCOME_ACCEPTED}
	tests := []struct {
		name    string
		replies []*rtwire.QueryReply // to queries in order, the last one repeated; nil to break the connection
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
			lossy := &fakeAgent{name: "engine-1", text: testText, offer: dropReply}
			queries := 0
			lossy.query = func(*rtwire.QueryRequest) (*rtwire.QueryReply, error) {
				reply := test.replies[min(queries, len(test.replies)-1)]
				queries++
				if reply == nil {
					panic(http.ErrAbortHandler)
				}
				return reply, nil
			}
			run(t, func(f *fixture) {
				other := f.addLoadedAgent("engine-2")
				f.checkDraftEnd(test.outcome)
				if got := countOffers(lossy); got != test.offers {
					t.Errorf("%d offers to the first target, want %d", got, test.offers)
				}
				if got := countOffers(other) > 0; got != test.moved {
					t.Errorf("offered to the other target: %v, want %v", got, test.moved)
				}
			}, lossy)
		})
	}
}

// checkDraftEnd posts a draft with a time limit of 3 s. Unless the wanted outcome
// is done, the refusal must have this outcome and arrive at the time limit.
func (f *fixture) checkDraftEnd(outcome rtapi.Outcome) {
	f.t.Helper()
	if outcome == rtapi.Done {
		if text, _, end := answerOf(f.t, f.draft("3s")); text != testText || end.Outcome != rtapi.Done {
			f.t.Errorf("got text %q and end %+v, want the whole text and done", text, end)
		}
		return
	}
	began := time.Now()
	status, refused := f.postDraft("3s")
	if status != http.StatusGatewayTimeout || refused.Outcome != outcome || !refused.Retry {
		f.t.Errorf("status %d: %+v, want 504, the outcome of the test and retry", status, refused)
	}
	if took := time.Since(began); took < 3*time.Second || took > 3250*time.Millisecond {
		f.t.Errorf("took %v, want 3 s to 3.25 s", took)
	}
}

// addLoadedAgent adds a target with so much load that it is offered a draft only
// after the other targets.
func (f *fixture) addLoadedAgent(name string) *fakeAgent {
	agent := &fakeAgent{name: name, text: testText}
	f.serveAgent(agent, "10.0.2."+name[len(name)-1:], 100)
	<-time.After(2 * refreshInterval) // virtual time, until the entry sees the target
	return agent
}

// Guards against text that is repeated or mixed from two answers after a target
// is lost during an answer: the second target must continue after the delivered
// text.
func TestDraftAgentGone(t *testing.T) {
	// The first frame ends inside a character.
	lost := &fakeAgent{name: "engine-1", text: testText, framesBeforeCut: 1}
	run(t, func(f *fixture) {
		other := f.addLoadedAgent("engine-2")
		lost.onCut = func() { f.node.replace("engine-1") }
		text, starts, end := answerOf(t, f.draft("30s"))
		if text != testText || starts != 2 || end.Outcome != rtapi.Done {
			t.Fatalf("got text %q with %d start events and end %+v, want the whole text, 2 start events and done", text, starts, end)
		}
		if prefix := string(other.offers[0].GetPrefix()); prefix != "wö" {
			t.Errorf("continued after prefix %q, want the text up to the last complete character", prefix)
		}
		if countOffers(lost) != 1 || len(other.reads) != 1 || other.reads[0] != int64(len(other.offers[0].GetPrefix())) {
			t.Errorf("%d offers to the lost target, want 1; second target read at offsets %v, want the length of the prefix", countOffers(lost), other.reads)
		}
	}, lost)
}

// Guards against a draft that is moved without limit as one target after the
// other is lost.
func TestDraftTwoAgentsGone(t *testing.T) {
	lost := &fakeAgent{name: "engine-1", text: testText, framesBeforeCut: 2}
	run(t, func(f *fixture) {
		other := f.addLoadedAgent("engine-2")
		third := f.addLoadedAgent("engine-3")
		other.framesBeforeCut = 1
		lost.onCut = func() { f.node.replace("engine-1") }
		other.onCut = func() { f.node.replace("engine-2") }
		third.framesBeforeCut = 1
		third.onCut = func() { f.node.replace("engine-3") }
		_, starts, end := answerOf(t, f.draft("30s"))
		if starts != 2 || end.Outcome != rtapi.Failed || end.Reason != rtapi.ReasonIncarnation || !end.Retry {
			t.Errorf("%d start events and end %+v, want 2, failed, reason incarnation and retry", starts, end)
		}
		if got := countOffers(lost, other, third); got != 2 {
			t.Errorf("%d offers, want 2", got)
		}
	}, lost)
}

// Guards against a caller that waits past its time limit because the agent sends
// no frames or sends them too slowly.
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
					t.Errorf("took %v, want 2 s to 2.25 s", took)
				}
				want := rtapi.Unknown
				if text != "" {
					want = rtapi.Failed
				}
				if end.Outcome != want || end.Reason != rtapi.ReasonDeadline || !end.Retry {
					t.Errorf("end after text %q: %+v, want reason deadline and retry, unknown without text and failed with text", text, end)
				}
			}, test.agent)
		})
	}
}

// Guards against offers of a long prompt that no target can prefill within the
// time limit.
func TestDraftImpossible(t *testing.T) {
	agent := &fakeAgent{name: "engine-1", text: testText}
	run(t, func(f *fixture) {
		body := `{"service":"drafts","prompt":"` + strings.Repeat("word", 2000) + `","output":10,"limit":"1s"}`
		status, answer := f.call("court", http.MethodPost, "/v1/drafts", []byte(body))
		var refused rtapi.ErrorBody
		if err := json.Unmarshal(answer, &refused); err != nil || status != http.StatusGatewayTimeout ||
			refused.Outcome != rtapi.NotRun || refused.Reason != rtapi.ReasonDeadline {
			t.Errorf("status %d: %s, want 504, not run and reason deadline", status, answer)
		}
		if countOffers(agent) != 0 {
			t.Error("draft was offered to the target")
		}
	}, agent)
}

// Guards against a resumed answer that repeats or loses text, and against access
// to an answer of another organisation.
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
			t.Errorf("status %d: resumed with text %q, want 200 and the text from offset 5", status, text)
		}
		queries := agent.queries
		for _, path := range []string{"/v1/drafts/" + id, "/v1/drafts/" + id + "/status", "/v1/orders/" + id} {
			organisation := "studio"
			if path == "/v1/orders/"+id {
				organisation = "court" // of the wrong kind
			}
			if status, body := f.call(organisation, http.MethodGet, path, nil); status != http.StatusNotFound {
				t.Errorf("%s: status %d: %s, want 404", path, status, body)
			}
		}
		if agent.queries != queries {
			t.Error("agent was asked about the id of another organisation")
		}
		agent.query = func(*rtwire.QueryRequest) (*rtwire.QueryReply, error) {
			return &rtwire.QueryReply{Reason: rtwire.Reason_REASON_CONFLICT}, nil
		}
		if status, body := f.call("court", http.MethodGet, "/v1/drafts/"+id, nil); status != http.StatusNotFound {
			t.Errorf("id that the ledger holds for another organisation: status %d: %s, want 404", status, body)
		}
	}, agent)
}

// Guards against a graceful shutdown that interrupts a stream or accepts new
// connections after the load balancer delay.
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
			t.Errorf("GET /ready returned status %d during a graceful shutdown, want 503", status)
		}
		<-time.After(loadBalancerDelay + time.Second) // virtual time
		if _, err := f.network.Host("10.0.9.9").Dial(t.Context(), callersAddress); err == nil {
			t.Error("new connection was accepted during a graceful shutdown")
		}
		read, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatalf("stream was interrupted by the graceful shutdown: %v", err)
		}
		if text, _, end := answerOf(t, eventsOf(t, read)); text != testText || end.Outcome != rtapi.Done {
			t.Errorf("got text %q and end %+v, want the whole text and done", text, end)
		}
	}, agent)
}

// Guards against an accepted draft that its target drops from the queue and that
// is not offered to another target.
func TestDraftDroppedFromQueue(t *testing.T) {
	drops := &fakeAgent{name: "engine-1"}
	drops.final.Outcome = rtwire.Outcome_OUTCOME_NOT_RUN
	drops.final.Reason = rtwire.Reason_REASON_ZONE_OUT
	run(t, func(f *fixture) {
		f.addLoadedAgent("engine-2")
		text, starts, end := answerOf(t, f.draft("30s"))
		if text != testText || starts != 2 || end.Outcome != rtapi.Done {
			t.Errorf("got text %q with %d start events and end %+v, want the whole text, 2 start events and done", text, starts, end)
		}
	}, drops)
}

// Guards against a draft that waits for a VM that was lost without closing its
// connections.
func TestDraftAgentVanished(t *testing.T) {
	lost := &fakeAgent{name: "engine-1", text: testText, pause: time.Second}
	run(t, func(f *fixture) {
		f.addLoadedAgent("engine-2")
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
			t.Errorf("got text %q with %d start events and end %+v, want the whole text, 2 start events and done", text, starts, end)
		}
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("took %v, want at most 10 s", took)
		}
		f.network.Rejoin("10.0.1.1")
	}, lost)
}

// Guards against a draft that runs past its time limit because the caller does
// not read the answer.
func TestDraftSlowReader(t *testing.T) {
	agent := &fakeAgent{name: "engine-1", text: strings.Repeat("long answer ", 20_000)}
	run(t, func(f *fixture) {
		body := `{"service":"drafts","prompt":"p","output":10,"limit":"5s"}`
		response, err := f.send("court", http.MethodPost, "/v1/drafts", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		if f.entry.runningDrafts.Load() != 1 {
			t.Fatal("draft ended although the caller has read nothing")
		}
		<-time.After(5250 * time.Millisecond)
		synctest.Wait()
		if got := f.entry.runningDrafts.Load(); got != 0 {
			t.Errorf("%d drafts run after the time limit, want 0", got)
		}
	}, agent)
}
