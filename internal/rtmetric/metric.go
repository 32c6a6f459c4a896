// Package rtmetric creates the metric scope of a process and its scrape
// endpoint.
package rtmetric

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally reports its values to the
// Prometheus registry.
const reportInterval = time.Second

// Metrics is a metric scope and the scrape handler for it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns a scope whose metric names start with prefix. Each call creates a
// registry of its own, so that several daemons can run in one process.
func New(prefix string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        &tallyprometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}, nil
}

// Close reports the last values and stops the scope.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metric scope: %w", err)
	}
	return nil
}
