package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics holds the Prometheus metrics of a router. docs/METRICS.md lists them.
type Metrics struct {
	Registry *prometheus.Registry

	Requests             *prometheus.CounterVec
	FirstToken           *prometheus.HistogramVec
	BetweenTokens        *prometheus.HistogramVec
	InFlight             prometheus.Gauge
	ConfigurationVersion prometheus.Gauge
}

var (
	firstTokenBuckets    = []float64{.05, .1, .2, .3, .4, .5, .65, .8, 1, 1.5, 2, 3, 5, 10}
	betweenTokensBuckets = []float64{.005, .01, .02, .03, .04, .06, .1, .2, .5, 1, 5}
)

// registerScrapedMetrics registers the metrics whose values are read at the time of a scrape.
func (r *Router) registerScrapedMetrics() {
	for _, counter := range []struct {
		name, help string
		read       func() float64
	}{
		{
			name: "slipwick_control_bytes_total",
			help: "Control bytes sent to and received from the platform and other routers.",
			read: func() float64 { return float64(r.ControlBytes()) },
		},
		{
			name: "slipwick_claims_total",
			help: "Idempotency keys claimed by this router.",
			read: func() float64 { return float64(r.claims.Stats.Claims.Load()) },
		},
		{
			name: "slipwick_claim_writes_total",
			help: "Writes to the platform for claims.",
			read: func() float64 { return float64(r.claims.Stats.Writes.Load()) },
		},
		{
			name: "slipwick_claim_write_bytes_total",
			help: "Bytes of values written to the platform for claims.",
			read: func() float64 { return float64(r.claims.Stats.Bytes.Load()) },
		},
		{
			name: "slipwick_platform_calls_total",
			help: "Calls made to the platform.",
			read: func() float64 { return float64(r.platform.Calls()) },
		},
	} {
		r.frontend.metrics.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: counter.name,
			Help: counter.help,
		}, counter.read))
	}
	r.frontend.metrics.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "slipwick_members",
		Help: "Routers that this router does not count as dead, including itself.",
	}, func() float64 { return float64(len(r.node.Routers())) }))
	r.frontend.metrics.Registry.MustRegister(&ownedCollector{
		coordinator: r.coordinator,
	})
}

// NewMetrics creates the metrics and registers them in a new registry.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slipwick_requests_total",
			Help: "Finished requests, by workspace, pool and outcome.",
		}, []string{"workspace", "pool", "outcome"}),
		FirstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "slipwick_first_token_seconds",
			Help:    "Time from a chat request's arrival to its first token.",
			Buckets: firstTokenBuckets,
		}, []string{"workspace"}),
		BetweenTokens: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "slipwick_between_tokens_seconds",
			Help:    "Time between two events of a streamed response.",
			Buckets: betweenTokensBuckets,
		}, []string{"workspace"}),
		InFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "slipwick_requests_in_flight",
			Help: "Requests in progress at this router.",
		}),
		ConfigurationVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "slipwick_configuration_version",
			Help: "Version of the configuration in force.",
		}),
	}
	m.Registry.MustRegister(m.Requests, m.FirstToken, m.BetweenTokens, m.InFlight, m.ConfigurationVersion,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}
