package rtgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against what is known of a target that holds for the next one under the
// same ID: that another target has its address, that it has failed, or its limit.
func TestTargetStartsAgainUnderItsID(t *testing.T) {
	tests := []struct {
		name   string
		before script
	}{
		{"address had another target", func(c net.Conn, _ *run) {
			_, _ = io.WriteString(c, "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n")
		}},
		{"failed often", writeText(func(*run) string { return "" })},
		{"had a rate limit", withLimit("0.1", answerOK)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, 2, func(b *testbed) {
				b.targets[0].set(test.before)
				b.load("/safe/x", 20*time.Millisecond, 3*time.Second)
				b.targets[0].set(answerOK)
				b.targets[0].born = 2
				b.publish(newConfiguration(2))
				before := len(b.allRuns())
				for i := range 10 {
					b.call(http.MethodPost, "/safe/x", headers(fmt.Sprint("again-", i)), "")
				}
				served := make(map[rtid.Target]int)
				for _, r := range b.allRuns()[before:] {
					served[r.target.id]++
				}
				if served[b.targets[0].id] == 0 {
					t.Errorf("requests after the start: %v, want some at %s", served, b.targets[0].id)
				}
			})
		})
	}
}
