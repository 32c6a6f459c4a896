package rtprogram

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeed"
	"github.com/rhubarbtally/rhubarbtally/internal/rtgateway"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtpeer"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/platform"
)

// settingsInterval is how often the settings file is read again: it may change
// without a signal.
const settingsInterval = 5 * time.Second

// Gateway runs rhubarbtally-gateway and returns its exit status.
func RunGateway(args []string, stdout, stderr io.Writer) int {
	// Caught from the first statement to the last: a SIGHUP that nobody catches
	// ends a process, also one that still reads its settings or already stops.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return program[platform.Settings]{
		name:    "rhubarbtally-gateway",
		summary: "Serves callers on the users' platform from targets that it reaches directly.",
		metrics: "rhubarbtally_gateway",
		read:    platform.ReadSettings,
		level:   func(platform.Settings) string { return "info" },
		queued:  true,
		create: func(path string, settings platform.Settings, log logr.Logger, metrics *rtmetric.Metrics) (runner, error) {
			return newGatewayProcess(path, settings, hangups, log, metrics), nil
		},
	}.run(args, stdout, stderr)
}

// gatewayProcess is the parts of one gateway process.
type gatewayProcess struct {
	path     string
	settings platform.Settings
	hangups  <-chan os.Signal
	log      logr.Logger
	metrics  *rtmetric.Metrics
	feed     *rtfeed.Feed
	gateway  *rtgateway.Gateway
	group    *rtpeer.Group
}

func newGatewayProcess(path string, settings platform.Settings, hangups <-chan os.Signal, log logr.Logger, metrics *rtmetric.Metrics) *gatewayProcess {
	network := &rtnet.TCP{}
	process := &gatewayProcess{path: path, settings: settings, hangups: hangups, log: log, metrics: metrics}
	process.feed = rtfeed.New(platform.NewStore(network, settings.StoreAddress), platform.NewItems(log), log)
	peers := &peerCount{}
	process.gateway = rtgateway.New(settings.Gateway, rtgateway.Dependencies{
		Network:     network,
		Log:         log,
		Metrics:     metrics,
		Dialect:     platform.Headers{},
		Views:       process.feed,
		Peers:       peers,
		OnPlacement: func() { process.group.TriggerDigest() },
	})
	process.group = rtpeer.New(rtpeer.Options{
		VM:      settings.Gateway.VM,
		Address: settings.PeerAddress,
		Seeds:   settings.Seeds,
		Network: network,
		Feed:    process.feed,
		Loads:   process.gateway,
		Log:     log,
	})
	peers.Group = process.group
	return process
}

// peerCount breaks the circle between gateway and group: each needs the other.
type peerCount struct{ *rtpeer.Group }

// Run serves until the context ends. The feed and the peers go on until the
// last request has ended.
func (p *gatewayProcess) Run(ctx context.Context) error {
	p.log.Info("Starting.", "vm", p.settings.Gateway.VM, "zone", p.settings.Gateway.Zone, "store", p.settings.StoreAddress)
	background := context.WithoutCancel(ctx)
	feed := rttask.Start(background, "feed", p.feed.Run)
	group := rttask.Start(background, "peers", p.group.Run)
	metrics := rttask.Start(background, "metrics", p.serveMetrics)
	reload := rttask.Start(background, "settings", p.reload)
	serving := rttask.Start(ctx, "gateway", p.gateway.Run)
	var err error
	select {
	case err = <-serving.Done():
	case err = <-feed.Done():
		err = errors.Join(err, serving.Stop())
	case err = <-group.Done():
		err = errors.Join(err, serving.Stop())
	}
	return errors.Join(err, reload.Stop(), metrics.Stop(), group.Stop(), feed.Stop())
}

// serveMetrics serves the scrape endpoint.
func (p *gatewayProcess) serveMetrics(ctx context.Context) error {
	listener, err := (&rtnet.TCP{}).Listen(p.settings.Gateway.Metrics)
	if err != nil {
		// Serving callers goes on without it.
		p.log.Error(err, "Metrics are not served, callers are.")
		return nil
	}
	server := &http.Server{Handler: p.metrics.Handler, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}

// reload takes in the settings file again after a signal and now and then.
func (p *gatewayProcess) reload(ctx context.Context) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.hangups:
			p.log.Info("Reloading after a signal.")
		case <-ticker.C:
		}
		settings, findings := platform.ReadSettings(p.path)
		if err := findings.Err(); err != nil {
			p.log.Error(err, "Settings cannot be read, the last ones stay.")
			continue
		}
		if settings.Gateway.Bounds != p.settings.Gateway.Bounds {
			p.log.Info("Bounds changed.", "bounds", settings.Gateway.Bounds)
		}
		p.settings.Gateway.Bounds = settings.Gateway.Bounds
		p.gateway.SetBounds(settings.Gateway.Bounds)
		p.group.AddSeeds(settings.Seeds)
	}
}
