// Package meter sets up metrics by tally, exposed as Prometheus text.
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

// ReportInterval is how often counters are handed to the exporter.
const ReportInterval = time.Second

// sanitizer keeps metric names and label names as Prometheus takes them, and
// the characters that occur in names of instances in label values.
func sanitizer() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'-', '_', '.', ':', '/'},
	}
	return &options
}

// New returns a root scope with the given tags, the handler that exposes it
// together with the memory statistics of the process, and a closer that reports the last values.
func New(tags map[string]string) (tally.Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "sycamorerun",
		Tags:            tags,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: sanitizer(),
	}, ReportInterval)
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer
}
