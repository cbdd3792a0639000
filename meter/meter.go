// Package meter sets up tally metrics that are exposed in the Prometheus text
// format.
package meter

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// ReportInterval is the interval at which metrics are passed to the exporter.
const ReportInterval = time.Second

// sanitizeOptions returns Prometheus's rules for metric and label names, and
// allows all characters of instance names in label values.
func sanitizeOptions() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'-', '_', '.', ':', '/'},
	}
	return &options
}

// New returns a root scope with the given tags, a handler that exposes it
// together with the Go runtime metrics, and a closer that reports the last
// values.
func New(tags map[string]string) (tally.Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "sycamorerun",
		Tags:            tags,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: sanitizeOptions(),
	}, ReportInterval)
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer
}
