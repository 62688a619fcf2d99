// Package metrics holds the counters of a node in a form that Prometheus and
// compatible systems can scrape.
//
// # Usage
//
//	m := metrics.New(metrics.Config{VM: "wdh-1", Zone: "katutura"})
//	m.Scope.Counter("requests").Inc(1)
//	m.Handler(ctx) // a fasthttp handler
package metrics

import (
	"io"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const (
	prefix = "auburngap"
	// reportInterval is the time between two updates of the scraped values.
	reportInterval = time.Second
)

// Config configures Metrics.
type Config struct {
	VM   string
	Zone string
}

// Metrics holds a node's counters and the handler that exposes them.
type Metrics struct {
	// Scope creates counters, gauges and histograms.
	Scope tally.Scope
	// Handler answers scrapes.
	Handler fasthttp.RequestHandler

	closer io.Closer
}

// New returns metrics without values.
func New(config Config) *Metrics {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		Tags:            map[string]string{"vm": config.VM, "zone": config.Zone},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return &Metrics{Scope: scope, Handler: fasthttpadaptor.NewFastHTTPHandler(handler), closer: closer}
}

// Close stops the updates of the scraped values.
func (m *Metrics) Close() error {
	return m.closer.Close()
}
