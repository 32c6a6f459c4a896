package rtgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
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
				// Which of two equal targets gets a request is drawn at random, so that the
				// sound one might get all of a few.
				for i := range 40 {
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

// Guards against a target that gets nothing because another entry names its address: of
// an odd writer with a later start, or of a target that has ended meanwhile.
func TestTwoEntriesAtOneAddress(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		sound := &rtcatalog.Instance{ID: "t0", Born: 1, Service: "work", Address: b.targets[0].address, Zone: "a", Slots: 16}
		var instances []*rtcatalog.Instance
		for i := range 3 {
			odd := *sound
			odd.ID, odd.Born = rtid.Target(fmt.Sprint("odd-", i)), rtid.Incarnation(10+i)
			instances = append(instances, &odd)
		}
		b.mu.Lock()
		b.view = rtcatalog.NewView(rtid.StoreRevision{Number: 2}, newConfiguration(2), nil, append(instances, sound))
		b.mu.Unlock()
		b.load("/safe/x", 50*time.Millisecond, time.Second)
		for _, got := range b.load("/safe/x", 50*time.Millisecond, 5*time.Second) {
			if got.status != http.StatusOK {
				t.Errorf("got status %d, want 200 from the target that has the address", got.status)
				break
			}
		}
		draining := *sound
		draining.Draining = true
		b.mu.Lock()
		b.view = rtcatalog.NewView(rtid.StoreRevision{Number: 3}, newConfiguration(2), nil, append(instances, &draining))
		b.mu.Unlock()
		from := time.Now()
		b.load("/safe/x", 50*time.Millisecond, 5*time.Second)
		if got := b.arrivalsSince(b.targets[0], from); len(got) > 0 {
			t.Errorf("%d requests reached the target, which is leaving", len(got))
		}
	})
}

// Guards against a request that runs at a target of another service, which had the
// address of a listed one before, or has it still.
func TestOtherServiceAtTheAddress(t *testing.T) {
	withTestbed(t, 1, func(b *testbed) {
		other := &rtcatalog.Instance{ID: "t0", Born: 1, Service: "other", Address: b.targets[0].address, Zone: "a", Slots: 16}
		listed := &rtcatalog.Instance{ID: "listed", Born: 2, Service: "work", Address: b.targets[0].address, Zone: "a", Slots: 16}
		b.mu.Lock()
		b.view = rtcatalog.NewView(rtid.StoreRevision{Number: 2}, newConfiguration(2), nil, []*rtcatalog.Instance{other, listed})
		b.mu.Unlock()
		b.load("/safe/x", 100*time.Millisecond, 5*time.Second)
		if runs := b.allRuns(); len(runs) > 0 {
			t.Errorf("%d requests ran at a target of another service", len(runs))
		}
	})
}
