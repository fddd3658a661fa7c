package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Metrics has the root scope of a process's metrics and the handler that serves them.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics whose names have "lentilshed_" and the role as prefix,
// tagged with the name of the instance.
func NewMetrics(role, name string) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "lentilshed_" + role,
		Tags: map[string]string{
			"instance": name,
		},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		Scope:   scope,
		Handler: reporter.HTTPHandler(),
		closer:  closer,
	}
}

// Close reports the metrics for the last time.
func (m *Metrics) Close() error {
	return errors.Wrap(m.closer.Close(), "close metrics")
}
