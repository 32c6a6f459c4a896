package rtgateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
)

// Guards against pauses that are not kept because the refusal which asked for them was on
// its way when its caller left.
func TestPauseBehindLeavingCaller(t *testing.T) {
	const (
		patience = 30 * time.Millisecond // of callers
		oneWay   = 5 * time.Millisecond  // to the target
		pause    = 3 * time.Second
	)
	for answer := 10 * time.Millisecond; answer <= patience+oneWay; answer += 2 * time.Millisecond {
		t.Run(fmt.Sprint("refusal after ", answer), func(t *testing.T) {
			withTestbed(t, 1, func(b *testbed) {
				for _, link := range [][2]string{{"10.0.0.1", "10.0.1.1"}, {"10.0.1.1", "10.0.0.1"}} {
					b.network.SetLatency(link[0], link[1], rtfake.Latency{Base: oneWay})
				}
				var wishes []pauseWish
				refuse := backingOff(b, func() time.Duration { return pause }, &wishes)
				b.targets[0].set(func(c net.Conn, r *run) {
					time.Sleep(answer - 3*oneWay)
					refuse(c, r)
				})
				for i := range 100 {
					ctx, leave := context.WithTimeout(b.t.Context(), patience)
					b.callCtx(ctx, http.MethodGet, "/safe/x", headers(fmt.Sprint("id-", i)), "")
					leave()
					time.Sleep(20 * time.Millisecond)
				}
				if len(wishes) == 0 {
					t.Error("the target asked for no pause, want some")
				}
				if got := b.worstPause(b.targets[0], wishes); got > backoffArrivals {
					t.Errorf("%d requests in a pause that the target had asked for, want at most %d", got, backoffArrivals)
				}
			})
		})
	}
}
