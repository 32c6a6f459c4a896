package rtplatform_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

const address rtid.Address = "10.0.0.2:80"

// withClient runs a test in virtual time with a client of a server that runs the
// handler.
func withClient(t *testing.T, handler http.Handler, test func(t *testing.T, network *rtfake.Network, client *rtplatform.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := &rtfake.Network{}
		listener, err := network.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		task := rttask.Start(t.Context(), "serve", func(ctx context.Context) error {
			return rtfake.Serve(ctx, listener, handler)
		})
		t.Cleanup(func() {
			network.Close()
			// The task fails because the network has just been closed.
			_ = task.Stop()
		})
		test(t, network, &rtplatform.Client{HTTP: rtnet.Client(network), Address: address})
	})
}

// Guards against an unavailable platform that is reported as one without a
// published document, against a value over the size limit that is accepted, and
// against a call that waits longer than 5 s for a platform that does not answer.
func TestReadErrors(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*rtfake.Network, *rtfake.Platform)
		want  error
	}{
		{"none published", func(*rtfake.Network, *rtfake.Platform) {}, rtplatform.ErrNotPublished},
		{"down", func(_ *rtfake.Network, p *rtfake.Platform) { p.SetDown(true) }, rtplatform.ErrUnavailable},
		{"unreachable", func(n *rtfake.Network, _ *rtfake.Platform) { n.Isolate("10.0.0.2") }, rtplatform.ErrUnavailable},
		{"silent", func(n *rtfake.Network, _ *rtfake.Platform) { n.Freeze("10.0.0.2") }, rtplatform.ErrUnavailable},
		{"largest", func(_ *rtfake.Network, p *rtfake.Platform) { p.Publish(make([]byte, rtdocument.MaxSize)) }, nil},
		{"too large", func(_ *rtfake.Network, p *rtfake.Platform) { p.Publish(make([]byte, rtdocument.MaxSize+1)) }, rtplatform.ErrTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			platform := &rtfake.Platform{}
			withClient(t, platform, func(t *testing.T, network *rtfake.Network, client *rtplatform.Client) {
				test.fault(network, platform)
				begin := time.Now()
				_, _, err := client.Read(t.Context())
				if !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				if took := time.Since(begin); took > 5*time.Second {
					t.Errorf("took %v, want at most 5 s", took)
				}
			})
		})
	}
}

// Guards against a watch that returns an old version or an error when there is
// no newer version.
func TestWatch(t *testing.T) {
	platform := &rtfake.Platform{}
	withClient(t, platform, func(t *testing.T, _ *rtfake.Network, client *rtplatform.Client) {
		platform.Publish([]byte("a"))
		if version, body, err := client.Watch(t.Context(), 0); version != 1 || string(body) != "a" || err != nil {
			t.Errorf("got %d, %q, %v, want version 1", version, body, err)
		}
		if version, body, err := client.Watch(t.Context(), 1); version != 0 || body != nil || err != nil {
			t.Errorf("got %d, %q, %v, want nothing newer", version, body, err)
		}
		time.AfterFunc(time.Second, func() { platform.Publish([]byte("b")) })
		if version, body, err := client.Watch(t.Context(), 1); version != 2 || string(body) != "b" || err != nil {
			t.Errorf("got %d, %q, %v, want version 2", version, body, err)
		}
	})
}

// Guards against fields that are lost when the list of VMs is encoded and
// decoded.
func TestVMs(t *testing.T) {
	platform := &rtfake.Platform{}
	withClient(t, platform, func(t *testing.T, _ *rtfake.Network, client *rtplatform.Client) {
		if _, _, err := client.VMs(t.Context(), 0); !errors.Is(err, rtplatform.ErrNotPublished) {
			t.Errorf("got %v, want none published", err)
		}
		want := []rtplatform.Member{
			{VM: "vm-1", Role: rtplatform.RoleEntry, Zone: "wdh-a", Address: "10.0.0.1:1", State: rtplatform.StateLive},
			{VM: "vm-2", Role: rtplatform.RoleAgent, Zone: "wdh-b", Address: "10.0.0.2:1", State: rtplatform.StateLeaving,
				Target: "court-1", Service: "summaries"},
		}
		platform.SetVMs(want, 0)
		version, got, err := client.VMs(t.Context(), 0)
		if version != 1 || !reflect.DeepEqual(got, want) || err != nil {
			t.Errorf("got %d, %v, %v, want %v", version, got, err, want)
		}
		if version, got, err := client.VMs(t.Context(), 1); version != 0 || got != nil || err != nil {
			t.Errorf("got %d, %v, %v, want nothing newer", version, got, err)
		}
	})
}

// Guards against values without a valid version that are accepted as published.
func TestBadAnswers(t *testing.T) {
	for _, version := range []string{"", "0", "-1", "x"} {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(rtplatform.HeaderVersion, version)
			_, _ = w.Write(bytes.Repeat([]byte("["), 10))
		})
		withClient(t, handler, func(t *testing.T, _ *rtfake.Network, client *rtplatform.Client) {
			if _, _, err := client.Read(t.Context()); err == nil {
				t.Errorf("version %q was accepted, want an error", version)
			}
		})
	}
}
