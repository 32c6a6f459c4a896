package rtprogram

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeature"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfeed"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtgateway"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmetric"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtpeer"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/platform"
)

// memoryShare is the part of the memory of the VM that the Go runtime tries not to
// exceed. The rest is for what it does not count: the program itself, the C library
// and data that connections have received and nobody has read yet.
const memoryShare = 0.7

// settingsInterval is the interval at which the settings file is reread, because
// it may change without a SIGHUP.
const settingsInterval = 5 * time.Second

// RunGateway runs rhubarbtally-gateway and returns its exit status.
func RunGateway(args []string, stdout, stderr io.Writer) int {
	// Caught before anything else and never released: a SIGHUP without a handler
	// kills the process, also while it first reads its settings or shuts down.
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	var features string
	return program[platform.Settings]{
		name:         "rhubarbtally-gateway",
		summary:      "Serves callers on the users' platform and sends their requests directly to targets.",
		metricPrefix: "rhubarbtally_gateway",
		readSettings: func(path string) (platform.Settings, rtfinding.List) {
			settings, findings := platform.ReadSettings(path)
			optional, more := rtfeature.Read(features)
			settings.Gateway.Features = optional
			findings.Append(more)
			return settings, findings
		},
		addFlags:  func(flags *flag.FlagSet) { flags.StringVar(&features, "features", "", "") },
		flagUsage: "  -features FILE  optional features in TOML (or environment RHUBARBTALLY_FEATURES)\n",
		logLevel:  func(platform.Settings) string { return "info" },
		queueLog:  true,
		newRunner: func(path string, settings platform.Settings, log logr.Logger, metrics *rtmetric.Metrics) (runner, error) {
			return newGatewayProcess(path, settings, sighups, log, metrics), nil
		},
	}.run(args, stdout, stderr)
}

// gatewayProcess holds the components of a gateway process.
type gatewayProcess struct {
	path     string
	settings platform.Settings
	sighups  <-chan os.Signal
	log      logr.Logger
	metrics  *rtmetric.Metrics
	feed     *rtfeed.Feed
	gateway  *rtgateway.Gateway
	group    *rtpeer.Group
}

func newGatewayProcess(path string, settings platform.Settings, sighups <-chan os.Signal, log logr.Logger, metrics *rtmetric.Metrics) *gatewayProcess {
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory)))
	}
	network := &rtnet.TCP{}
	process := &gatewayProcess{path: path, settings: settings, sighups: sighups, log: log, metrics: metrics}
	items := platform.NewItems(log)
	items.SetScope(metrics.Scope)
	process.feed = rtfeed.New(platform.NewStore(network, settings.StoreAddress), items, log)
	process.feed.SetScope(metrics.Scope)
	peers := &deferredGroup{}
	process.gateway = rtgateway.New(settings.Gateway, rtgateway.Dependencies{
		Network: network,
		Log:     log,
		Metrics: metrics,
		Dialect: platform.Headers{},
		Views:   process.feed,
		Peers:   peers,
		OnNews:  func() { process.group.TriggerDigest() },
	})
	process.group = rtpeer.New(rtpeer.Options{
		VM:        settings.Gateway.VM,
		Address:   settings.PeerAddress,
		Seeds:     settings.Seeds,
		Network:   network,
		Feed:      process.feed,
		Loads:     process.gateway,
		Evidence:  process.gateway,
		Limits:    process.gateway,
		Leaves:    process.gateway,
		Outcomes:  process.gateway,
		Refusals:  process.gateway,
		Forecasts: process.gateway,
		Shares:    process.gateway,
		Log:       log,
		Scope:     metrics.Scope,
	})
	peers.Group = process.group
	return process
}

// deferredGroup resolves the circular dependency between the gateway and the
// peer group: the gateway gets it first, and Group is set once the group exists.
type deferredGroup struct{ *rtpeer.Group }

// Run serves until the context ends. The feed and the peer group run until the
// last request has ended.
func (p *gatewayProcess) Run(ctx context.Context) error {
	p.log.Info("Starting.", "vm", p.settings.Gateway.VM, "zone", p.settings.Gateway.Zone, "store", p.settings.StoreAddress, "memory", p.settings.Memory,
		"bodies", p.settings.Gateway.Intake.Memory, "connections", p.settings.Gateway.Intake.Connections)
	background := context.WithoutCancel(ctx)
	feed := rttask.Start(background, "feed", p.feed.Run)
	group := rttask.Start(background, "peers", p.group.Run)
	metrics := rttask.Start(background, "metrics", p.serveMetrics)
	reload := rttask.Start(background, "settings", p.reloadSettings)
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

// serveMetrics serves the scrape endpoint until the context ends.
func (p *gatewayProcess) serveMetrics(ctx context.Context) error {
	listener, err := (&rtnet.TCP{}).Listen(p.settings.Gateway.Metrics)
	if err != nil {
		// The gateway serves callers without the scrape endpoint.
		p.log.Error(err, "Metrics listener failed; callers are served without metrics.")
		return nil
	}
	routes := http.NewServeMux()
	routes.Handle("/", p.metrics.Handler)
	routes.HandleFunc("GET /state", p.serveState)
	server := &http.Server{Handler: routes, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics: %w", err)
	}
	return nil
}

// stateDump is the state of a gateway that operators may read.
type stateDump struct {
	rtid.StoreRevision
	Kept     map[string]rtid.StoreRevision `json:"kept"`     // items from before the store came back from a copy, by key
	Suspects []suspectDump                 `json:"suspects"` // most relevant first
	Limits   []limitDump                   `json:"limits"`   // by target
	Leaving  []leaveDump                   `json:"leaving"`  // the newest first
	Backoffs []backoffDump                 `json:"backoffs"` // the first to end first
}

// leaveDump is a target that has announced that it is leaving.
type leaveDump struct {
	rtid.TargetIncarnation
	Source string `json:"source"` // target or peer
	AgeMs  int64  `json:"ageMs"`  // since this process first heard it
}

// backoffDump is a target that wants no requests from this process.
type backoffDump struct {
	rtid.TargetIncarnation
	RemainingMs int64 `json:"remainingMs"`
}

// limitDump is the rate limit that a target has named.
type limitDump struct {
	rtid.TargetIncarnation
	Rate      float64 `json:"rate"`      // requests per second, for all processes together
	Source    string  `json:"source"`    // target or peer
	AgeMs     int64   `json:"ageMs"`     // since the target last named it
	Rank      int     `json:"rank"`      // of this process among those that may send to the target
	Processes int     `json:"processes"` // that share the limit
	Sender    bool    `json:"sender"`    // whether this process may send to the target
}

// suspectDump is the evidence that targets crash on a part of prompts.
type suspectDump struct {
	Part        rtid.Part     `json:"part"`
	Crashes     int           `json:"crashes"` // since the last success
	First       *time.Time    `json:"first,omitempty"`
	Last        *time.Time    `json:"last,omitempty"`
	Targets     []rtid.Target `json:"targets"`
	Quarantined bool          `json:"quarantined"`
	Until       *time.Time    `json:"until,omitempty"` // end of the quarantine, after which one request probes the part
}

// serveState serves the state dump.
func (p *gatewayProcess) serveState(w http.ResponseWriter, _ *http.Request) {
	dump := stateDump{StoreRevision: p.feed.Revision(), Kept: p.feed.KeptKeys(), Suspects: []suspectDump{}, Limits: []limitDump{},
		Leaving: []leaveDump{}, Backoffs: []backoffDump{}}
	for _, l := range p.gateway.Leaves() {
		dump.Leaving = append(dump.Leaving, leaveDump{
			TargetIncarnation: l.Target, Source: l.Source.String(), AgeMs: time.Since(l.Heard).Milliseconds(),
		})
	}
	for _, b := range p.gateway.Backoffs() {
		dump.Backoffs = append(dump.Backoffs, backoffDump{TargetIncarnation: b.Target, RemainingMs: time.Until(b.Until).Milliseconds()})
	}
	for _, l := range p.gateway.LimitedTargets() {
		dump.Limits = append(dump.Limits, limitDump{
			TargetIncarnation: l.Target, Rate: float64(l.Rate), Source: l.Source.String(), AgeMs: time.Since(l.Heard).Milliseconds(),
			Rank: l.Share.Rank, Processes: l.Share.Processes, Sender: l.Rate.Sender(l.Share),
		})
	}
	for _, s := range p.gateway.Suspects() {
		dump.Suspects = append(dump.Suspects, suspectDump{
			Part: s.Part, Crashes: s.Crashes, First: optionalTime(s.First), Last: optionalTime(s.Last),
			Targets: s.Targets, Quarantined: s.Quarantined, Until: optionalTime(s.Until),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(dump); err != nil {
		p.log.Info("State dump cannot be sent.", "error", err.Error())
	}
}

// optionalTime returns nil for the zero time, which JSON then omits.
func optionalTime(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

// reloadSettings rereads the settings file after a SIGHUP and at every
// settingsInterval, and applies its bounds and seeds. If the file cannot be read
// or is invalid, the settings in force stay.
func (p *gatewayProcess) reloadSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.sighups:
			p.log.Info("Rereading the settings file after SIGHUP.")
		case <-ticker.C:
		}
		settings, findings := platform.ReadSettings(p.path)
		if err := findings.Err(); err != nil {
			p.log.Error(err, "Settings cannot be read, the last ones stay.")
			continue
		}
		if settings.Gateway.Bounds != p.settings.Gateway.Bounds {
			p.log.Info("Settings reloaded with changed bounds.", "bounds", settings.Gateway.Bounds)
		}
		p.settings.Gateway.Bounds = settings.Gateway.Bounds
		p.gateway.SetBounds(settings.Gateway.Bounds)
		p.group.AddSeeds(settings.Seeds)
	}
}
