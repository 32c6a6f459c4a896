package rtagent

import (
	"net/http"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const unknownOutcome = rtwire.Outcome_OUTCOME_UNKNOWN

// Guards against an order that runs twice, or whose outcome is told wrongly,
// when the service loses its reply, crashes, hangs or is gone.
func TestOrderAtMostOnce(t *testing.T) {
	const duration = 500 * time.Millisecond
	tests := []struct {
		name     string
		fault    func(*world, *rtfake.Service)
		outcome  rtwire.Outcome
		reason   rtwire.Reason
		finally  rtwire.Outcome // what the ledger says after a minute
		executed int
	}{
		{"no fault", func(*world, *rtfake.Service) {}, doneOutcome, noReason, doneOutcome, 1},
		{"lost reply", func(_ *world, s *rtfake.Service) { s.LoseReplies(1) },
			unknownOutcome, rtwire.Reason_REASON_TARGET, unknownOutcome, 1},
		{"crash in the run", func(_ *world, s *rtfake.Service) { time.AfterFunc(duration/2, s.Crash) },
			unknownOutcome, rtwire.Reason_REASON_TARGET, unknownOutcome, 0},
		{"late reply", func(_ *world, s *rtfake.Service) {
			time.AfterFunc(duration/2, s.Freeze)
			time.AfterFunc(8*time.Second, s.Thaw)
		}, unknownOutcome, late, doneOutcome, 1},
		{"service gone", func(w *world, _ *rtfake.Service) { w.network.Kill("10.0.0.99") },
			notRunOutcome, rtwire.Reason_REASON_TARGET, notRunOutcome, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				service := rtfake.NewService(rtfake.ServiceConfig{RunDuration: duration})
				w.serve(99, service)
				chosen := serviceSettings()
				chosen.TargetAddress = address(99, 80)
				agent := w.agent(chosen)
				offer := agent.order("body", 5*time.Second)
				test.fault(w, service)
				agent.accept(offer)
				for range 3 {
					if _, err := agent.target.Offer(w.t.Context(), offer); err != nil {
						t.Error(err)
					}
				}
				agent.want(offer.Request, test.outcome, test.reason)
				for range 3 {
					agent.send(offer, test.outcome, test.reason)
				}
				<-time.After(20 * time.Second)
				if reply := agent.query(offer.Request); reply.Outcome != test.finally {
					t.Errorf("the ledger says %v, want %v", reply.Outcome, test.finally)
				}
				if executed := service.Executions(rtid.Request(offer.Request)); executed != test.executed {
					t.Errorf("executed %d times, want %d", executed, test.executed)
				}
			})
		})
	}
}

// Guards against an order that runs although its offer's reply was lost and
// the order was cancelled, or that runs twice over repeated offers.
func TestOrderOverLostOfferReply(t *testing.T) {
	for _, size := range []int64{0, 1, 100, 400} {
		inWorld(t, func(w *world) {
			service := rtfake.NewService(rtfake.ServiceConfig{})
			w.serve(1, service)
			agent := w.agent(serviceSettings())
			offer := agent.order("body", 20*time.Second)
			w.network.CutAfter("10.9.0.1", "10.0.0.1", size)
			done := make(chan error)
			go func() {
				_, err := agent.target.Offer(w.t.Context(), offer)
				done <- err
			}()
			<-time.After(time.Second)
			w.network.Heal("10.9.0.1", "10.0.0.1")
			if err := <-done; err != nil {
				t.Log(err)
			}
			reply, err := agent.target.Offer(w.t.Context(), offer)
			if err != nil {
				t.Fatal(err)
			}
			if reply.Outcome == notRunOutcome {
				t.Fatalf("offer: %v", reply)
			}
			agent.want(offer.Request, doneOutcome, noReason)
			if executed := service.Executions(rtid.Request(offer.Request)); executed != 1 {
				t.Errorf("cut after %d bytes: executed %d times", size, executed)
			}
		})
	}
}

// Guards against a running order that is reported as cancelled, and against
// one that runs after its cancellation.
func TestCancelOrder(t *testing.T) {
	inWorld(t, func(w *world) {
		service := rtfake.NewService(rtfake.ServiceConfig{RunDuration: time.Second})
		w.serve(1, service)
		agent := w.agent(serviceSettings())
		first := agent.order("first", time.Minute)
		second := agent.order("second", time.Minute)
		agent.accept(first)
		agent.accept(second)
		<-time.After(100 * time.Millisecond)
		for request, want := range map[string]rtwire.Outcome{
			first.Request:  rtwire.Outcome_OUTCOME_ACCEPTED,
			second.Request: notRunOutcome,
		} {
			reply, err := agent.target.Cancel(w.t.Context(), &rtwire.CancelRequest{Request: request, Organisation: string(court)})
			if err != nil || reply.Outcome != want {
				t.Errorf("cancel: %v, %v, want %v", reply, err, want)
			}
		}
		agent.want(first.Request, doneOutcome, noReason)
		agent.send(second, notRunOutcome, rtwire.Reason_REASON_CANCELLED)
		<-time.After(time.Minute)
		if effects := service.Effects(); len(effects) != 1 {
			t.Errorf("got %v, want the first order only", effects)
		}
	})
}

// Guards against a refusal that says not run although the service reported a
// fault of its own, before which it may have acted.
func TestOrderStatusOfService(t *testing.T) {
	tests := []struct {
		status  int
		outcome rtwire.Outcome
	}{
		{http.StatusUnprocessableEntity, notRunOutcome},
		{http.StatusTooManyRequests, notRunOutcome},
		{http.StatusInternalServerError, unknownOutcome},
		{http.StatusServiceUnavailable, unknownOutcome},
	}
	for _, test := range tests {
		t.Run(http.StatusText(test.status), func(t *testing.T) {
			inWorld(t, func(w *world) {
				service := rtfake.NewService(rtfake.ServiceConfig{})
				w.serve(99, http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
					if in.URL.Path == "/run" {
						http.Error(out, "no", test.status)
						return
					}
					service.ServeHTTP(out, in)
				}))
				chosen := serviceSettings()
				chosen.TargetAddress = address(99, 80)
				agent := w.agent(chosen)
				offer := agent.order("body", 5*time.Second)
				agent.accept(offer)
				agent.want(offer.Request, test.outcome, rtwire.Reason_REASON_TARGET)
			})
		})
	}
}
