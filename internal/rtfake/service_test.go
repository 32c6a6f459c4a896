package rtfake

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rttarget"
)

func serviceBubble(t *testing.T, config ServiceConfig, test func(t *testing.T, service *Service, client *rttarget.Service)) {
	t.Helper()
	bubble(t, func(t *testing.T, network *Network) {
		service := NewService(config)
		serveB(t, network, service)
		test(t, service, rttarget.NewService(rtnet.Client(network.Host(hostA)), portB))
	})
}

// Guards against a service that does not count a repeated run, and against a
// lost reply that clients see as a refusal.
func TestServiceCountsRuns(t *testing.T) {
	serviceBubble(t, ServiceConfig{}, func(t *testing.T, service *Service, client *rttarget.Service) {
		request := rttarget.RunRequest{ID: "a", Body: []byte("order")}
		for _, want := range []string{"a is number 1", "a is number 2"} {
			if reply, err := client.Run(t.Context(), request); err != nil || string(reply.Result) != want {
				t.Errorf("got %q, error %v, want %q", reply.Result, err, want)
			}
		}
		service.LoseReplies(1)
		_, err := client.Run(t.Context(), request)
		var status *rttarget.StatusError
		if err == nil || errors.As(err, &status) {
			t.Errorf("lost reply: got %v, want a transport error without a status", err)
		}
		if got := service.Executions("a"); got != 3 {
			t.Errorf("%d executions, want 3", got)
		}
	})
}

// Guards against a run that takes effect although the service crashed during it,
// and against runs that take effect while the service is frozen.
func TestServiceFaults(t *testing.T) {
	serviceBubble(t, ServiceConfig{RunDuration: time.Second}, func(t *testing.T, service *Service, client *rttarget.Service) {
		time.AfterFunc(500*time.Millisecond, service.Crash)
		if _, err := client.Run(t.Context(), rttarget.RunRequest{ID: "a"}); err == nil {
			t.Error("run succeeded although the service crashed during it")
		}
		if got := service.Executions("a"); got != 0 {
			t.Errorf("%d effects of the run during the crash, want 0", got)
		}
		begin := time.Now()
		time.AfterFunc(500*time.Millisecond, service.Freeze)
		time.AfterFunc(time.Minute, service.Thaw)
		if _, err := client.Run(t.Context(), rttarget.RunRequest{ID: "b"}); err != nil || time.Since(begin) != time.Minute {
			t.Errorf("got error %v after %v, want the reply after the thaw, at 1m0s", err, time.Since(begin))
		}
	})
}

// Guards against a target that accepts the fencing number of an older agent, and
// against one that rejects it although fencing is disabled.
func TestServiceFencing(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		serviceBubble(t, ServiceConfig{Fencing: fencing}, func(t *testing.T, service *Service, client *rttarget.Service) {
			for range 2 {
				if _, err := client.Run(t.Context(), rttarget.RunRequest{ID: "a", Fence: 7}); err != nil {
					t.Fatal(err)
				}
			}
			_, err := client.Run(t.Context(), rttarget.RunRequest{ID: "b", Fence: 6})
			var status *rttarget.StatusError
			rejected := errors.As(err, &status) && status.Status == http.StatusConflict && status.Fence == 7
			if rejected != fencing || service.Executions("b") == 1 == fencing {
				t.Errorf("fencing %v: got error %v and %d effects", fencing, err, service.Executions("b"))
			}
			load, err := client.Load(t.Context())
			if err != nil || (load.Fence == 7) != fencing {
				t.Errorf("fencing %v: got load %+v, error %v", fencing, load, err)
			}
		})
	}
}
