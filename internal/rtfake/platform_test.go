package rtfake

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// get returns the status, version and body of a response.
func get(t *testing.T, client *http.Client, path string) (status int, version, body string) {
	t.Helper()
	response, err := client.Get("http://" + string(portB) + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header.Get(rtplatform.HeaderVersion), string(content)
}

// Guards against watches that miss a version, return an old one or never end.
func TestPlatform(t *testing.T) {
	live := []rtplatform.Member{{VM: "vm-1"}}
	tests := []struct {
		name    string
		path    string
		before  func(*Platform)
		during  func(*Platform) // 1 s after the request was sent
		status  int
		version string
		body    string
		took    time.Duration // from request to response
	}{
		{"none published", "/document", nil, nil, 404, "", `{"detail":"none published"}` + "\n", 0},
		{"read", "/document", func(p *Platform) { p.Publish([]byte("a")) }, nil, 200, "1", "a", 0},
		{"watch finds", "/document?after=0", func(p *Platform) { p.Publish([]byte("a")) }, nil, 200, "1", "a", 0},
		{"watch waits", "/document?after=1", func(p *Platform) { p.Publish([]byte("a")) },
			func(p *Platform) { p.Publish([]byte("b")) }, 200, "2", "b", time.Second},
		{"watch ends", "/document?after=1", func(p *Platform) { p.Publish([]byte("a")) }, nil, 204, "", "", 30 * time.Second},
		{"lower version", "/document", func(p *Platform) { p.Publish([]byte("a")); p.Publish([]byte("b")); p.PublishVersion(1, []byte("c")) },
			nil, 200, "1", "c", 0},
		{"stale", "/document", func(p *Platform) { p.Publish([]byte("a")); p.Publish([]byte("b")); p.SetStale(1) }, nil, 200, "1", "a", 0},
		{"down", "/document?after=0", nil, func(p *Platform) { p.SetDown(true) }, 503, "", `{"detail":"platform is down"}` + "\n", time.Second},
		{"over rate", "/document", func(p *Platform) { p.MaxReadRate = 1e-9; p.limiter = newLimiter(1e-9, 0, 0) }, nil,
			429, "", `{"detail":"over the rate of the platform"}` + "\n", 0},
		{"list lags", "/vms?after=0", func(p *Platform) { p.SetVMs(live, 5*time.Second) }, nil, 200, "1",
			`[{"vm":"vm-1","role":"","zone":"","address":"","state":""}]`, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, network *Network) {
				platform := &Platform{}
				serveB(t, network, platform)
				if test.before != nil {
					test.before(platform)
				}
				if test.during != nil {
					time.AfterFunc(time.Second, func() { test.during(platform) })
				}
				begin := time.Now()
				status, version, body := get(t, rtnet.Client(network.Host(hostA)), test.path)
				if status != test.status || version != test.version || body != test.body || time.Since(begin) != test.took {
					t.Errorf("got status %d, version %q, body %q after %v", status, version, body, time.Since(begin))
				}
				if reads, watches := platform.Calls(); reads != 1 || watches != 0 {
					t.Errorf("%d reads and %d waiting watches, want 1 and 0", reads, watches)
				}
			})
		})
	}
}
