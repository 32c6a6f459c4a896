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

// reportInterval is how often tally moves its values to the scrape registry.
const reportInterval = time.Second

// Metrics is the metric scope of one process part and its scrape handler.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns a scope whose metric names start with prefix. Every call has a
// registry of its own, so that several parts can run in one process.
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

// Close stops reporting.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metric scope: %w", err)
	}
	return nil
}
