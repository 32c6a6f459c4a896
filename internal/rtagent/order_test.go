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

// Guards against an order that runs twice or is reported with a wrong outcome
// when the service loses its reply, crashes, hangs or is unreachable.
func TestOrderAtMostOnce(t *testing.T) {
	const duration = 500 * time.Millisecond
	tests := []struct {
		name     string
		fault    func(*cluster, *rtfake.Service)
		outcome  rtwire.Outcome
		reason   rtwire.Reason
		finally  rtwire.Outcome // in the ledger 20 s after the end of the answer
		executed int
	}{
		{"no fault", func(*cluster, *rtfake.Service) {}, doneOutcome, noReason, doneOutcome, 1},
		{"lost reply", func(_ *cluster, s *rtfake.Service) { s.LoseReplies(1) },
			unknownOutcome, rtwire.Reason_REASON_TARGET, unknownOutcome, 1},
		{"crash in the run", func(_ *cluster, s *rtfake.Service) { time.AfterFunc(duration/2, s.Crash) },
			unknownOutcome, rtwire.Reason_REASON_TARGET, unknownOutcome, 0},
		{"late reply", func(_ *cluster, s *rtfake.Service) {
			time.AfterFunc(duration/2, s.Freeze)
			time.AfterFunc(8*time.Second, s.Thaw)
		}, unknownOutcome, deadlineReason, doneOutcome, 1},
		{"service gone", func(c *cluster, _ *rtfake.Service) { c.network.Kill("10.0.0.99") },
			notRunOutcome, rtwire.Reason_REASON_TARGET, notRunOutcome, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, func(c *cluster) {
				service := rtfake.NewService(rtfake.ServiceConfig{RunDuration: duration})
				c.serveTarget(99, service)
				config := serviceSettings()
				config.TargetAddress = address(99, 80)
				agent := c.startReadyAgent(config)
				offer := agent.orderOffer("body", 5*time.Second)
				test.fault(c, service)
				agent.wantAccepted(offer)
				for range 3 {
					if _, err := agent.target.Offer(c.t.Context(), offer); err != nil {
						t.Error(err)
					}
				}
				agent.wantEnd(offer.Request, test.outcome, test.reason)
				for range 3 {
					agent.wantOffer(offer, test.outcome, test.reason)
				}
				<-time.After(20 * time.Second)
				if reply := agent.queryLedger(offer.Request); reply.Outcome != test.finally {
					t.Errorf("outcome in the ledger: got %v, want %v", reply.Outcome, test.finally)
				}
				if executed := service.Executions(rtid.Request(offer.Request)); executed != test.executed {
					t.Errorf("executed %d times, want %d", executed, test.executed)
				}
			})
		})
	}
}

// Guards against an order that runs twice when the connection is cut during the
// offer and the offer is repeated.
func TestOrderOverLostOfferReply(t *testing.T) {
	for _, size := range []int64{0, 1, 100, 400} {
		withCluster(t, func(c *cluster) {
			service := rtfake.NewService(rtfake.ServiceConfig{})
			c.serveTarget(1, service)
			agent := c.startReadyAgent(serviceSettings())
			offer := agent.orderOffer("body", 20*time.Second)
			c.network.CutAfter("10.9.0.1", "10.0.0.1", size)
			done := make(chan error)
			go func() {
				_, err := agent.target.Offer(c.t.Context(), offer)
				done <- err
			}()
			<-time.After(time.Second)
			c.network.Heal("10.9.0.1", "10.0.0.1")
			if err := <-done; err != nil {
				t.Log(err)
			}
			reply, err := agent.target.Offer(c.t.Context(), offer)
			if err != nil {
				t.Fatal(err)
			}
			if reply.Outcome == notRunOutcome {
				t.Fatalf("repeated offer: got %v, want it accepted or done", reply)
			}
			agent.wantEnd(offer.Request, doneOutcome, noReason)
			if executed := service.Executions(rtid.Request(offer.Request)); executed != 1 {
				t.Errorf("connection cut after %d bytes: executed %d times, want 1", size, executed)
			}
		})
	}
}

// Guards against a running order that is reported as cancelled, and against
// one that runs after its cancellation.
func TestCancelOrder(t *testing.T) {
	withCluster(t, func(c *cluster) {
		service := rtfake.NewService(rtfake.ServiceConfig{RunDuration: time.Second})
		c.serveTarget(1, service)
		agent := c.startReadyAgent(serviceSettings())
		first := agent.orderOffer("first", time.Minute)
		second := agent.orderOffer("second", time.Minute)
		agent.wantAccepted(first)
		agent.wantAccepted(second)
		<-time.After(100 * time.Millisecond)
		for request, want := range map[string]rtwire.Outcome{
			first.Request:  rtwire.Outcome_OUTCOME_ACCEPTED,
			second.Request: notRunOutcome,
		} {
			reply, err := agent.target.Cancel(c.t.Context(), &rtwire.CancelRequest{Request: request, Organisation: string(court)})
			if err != nil || reply.Outcome != want {
				t.Errorf("cancel: %v, %v, want %v", reply, err, want)
			}
		}
		agent.wantEnd(first.Request, doneOutcome, noReason)
		agent.wantOffer(second, notRunOutcome, rtwire.Reason_REASON_CANCELLED)
		<-time.After(time.Minute)
		if effects := service.Effects(); len(effects) != 1 {
			t.Errorf("effects at the service: got %v, want only the first order", effects)
		}
	})
}

// Guards against reporting an order as not run when the service returned an
// internal error, because it may have executed the order before the error.
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
			withCluster(t, func(c *cluster) {
				service := rtfake.NewService(rtfake.ServiceConfig{})
				c.serveTarget(99, http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
					if in.URL.Path == "/run" {
						http.Error(out, "no", test.status)
						return
					}
					service.ServeHTTP(out, in)
				}))
				config := serviceSettings()
				config.TargetAddress = address(99, 80)
				agent := c.startReadyAgent(config)
				offer := agent.orderOffer("body", 5*time.Second)
				agent.wantAccepted(offer)
				agent.wantEnd(offer.Request, test.outcome, rtwire.Reason_REASON_TARGET)
			})
		})
	}
}
