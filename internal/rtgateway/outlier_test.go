package rtgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeature"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtoutlier"
)

// failHalf fails every second request.
func failHalf() script {
	count := 0
	return func(c net.Conn, r *run) {
		if count++; count%2 == 0 {
			_, _ = io.WriteString(c, r.responseHead(500, "Content-Length: 4\r\n")+"fail")
			return
		}
		answerOK(c, r)
	}
}

// Guards against a target that fails half of its requests, passes its health checks and
// keeps its share of the requests, which an order cannot be repeated from.
func TestGreyTarget(t *testing.T) {
	tests := []struct {
		name    string
		enabled bool
	}{
		{"off", false},
		{"on", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 4, func(b *testbed) {
				b.gateway.settings.Features = rtfeature.Settings{Outliers: rtfeature.Switch{Enabled: test.enabled}}
				b.targets[0].set(failHalf())
				failed := 0
				for i := range 200 {
					if b.call(http.MethodPost, "/order/x", headers(fmt.Sprint("r", i)), "body").status != http.StatusOK {
						failed++
					}
					time.Sleep(20 * time.Millisecond)
				}
				avoided := len(b.logged("fails more often than others"))
				if test.enabled && (failed > 8 || avoided == 0) {
					t.Errorf("%d of 200 orders failed, %d lines about the target; want at most 8, and a line", failed, avoided)
				}
				if !test.enabled && (failed < 15 || avoided > 0) {
					t.Errorf("%d of 200 orders failed, %d lines about the target; want 15 or more as before, and no line", failed, avoided)
				}
			})
		})
	}
}

// Guards against callers who get no answer because peers name all targets.
func TestOutliersNamedByPeers(t *testing.T) {
	withTestbed(t, 4, func(b *testbed) {
		b.gateway.settings.Features = rtfeature.Settings{Outliers: rtfeature.Switch{Enabled: true}}
		var reports []rtoutlier.Report
		for _, target := range b.targets[:1] {
			reports = append(reports, rtoutlier.Report{Target: rtid.TargetIncarnation{ID: target.id}, Outcomes: rtoutlier.Outcomes{Answers: 4, Failures: 4}})
		}
		b.gateway.SetPeerOutcomes("peer", reports)
		for i := range 12 {
			b.call(http.MethodPost, "/order/x", headers(fmt.Sprint("one", i)), "body")
		}
		for _, r := range b.allRuns() {
			if r.target == b.targets[0] {
				t.Error("the target that a peer has named got a request")
			}
		}
		for _, target := range b.targets[1:] {
			reports = append(reports, rtoutlier.Report{Target: rtid.TargetIncarnation{ID: target.id}, Outcomes: rtoutlier.Outcomes{Answers: 4, Failures: 4}})
		}
		b.gateway.SetPeerOutcomes("peer", reports)
		if got := b.call(http.MethodPost, "/order/x", headers("all"), "body"); got.status != http.StatusOK {
			t.Errorf("all targets are named: got status %d, error %v; want 200", got.status, got.err)
		}
	})
}
