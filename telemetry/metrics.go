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

const reportPeriod = time.Second

// Metrics is the root scope of a process and the handler that serves it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics with a prefix and tags on every name.
func NewMetrics(role, name string) *Metrics {
	g := prom.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{
		Registerer: g,
		Gatherer:   g,
	})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "lentilshed_" + role,
		Tags: map[string]string{
			"instance": name,
		},
		CachedReporter:         r,
		Separator:              prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportPeriod)
	return &Metrics{
		Scope:   s,
		Handler: r.HTTPHandler(),
		closer:  c,
	}
}

// Close reports for the last time.
func (m *Metrics) Close() error {
	return errors.Wrap(m.closer.Close(), "close metrics")
}
