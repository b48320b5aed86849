package gatewayd

import (
	"net/http"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are a gateway's Prometheus metrics; docs/METRICS.md lists them.
type metrics struct {
	registry *prometheus.Registry

	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	duration *prometheus.HistogramVec
	version  prometheus.Gauge
}

var durationBuckets = []float64{.02, .05, .1, .2, .3, .4, .6, 1, 2, 4, 8}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slipwick_gateway_requests_total",
			Help: "Requests ended, by result and reason.",
		}, []string{"result", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slipwick_gateway_attempts_total",
			Help: "Sends to backend servers that brought no answer, by result.",
		}, []string{"result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "slipwick_gateway_request_seconds",
			Help:    "Time from a request's arrival to its end.",
			Buckets: durationBuckets,
		}, []string{"kind"}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "slipwick_configuration_version",
			Help: "Version of the configuration in force.",
		}),
	}
	m.registry.MustRegister(m.requests, m.attempts, m.duration, m.version)
	return m
}

// figure is one that is read when asked for.
type figure struct {
	name, help string
	read       func() float64
}

// add adds the figures that are read when asked for.
func (m *metrics) add(p *Process) {
	for _, f := range slices.Concat(p.figures(), p.backendFigures()) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: f.name,
			Help: f.help,
		}, f.read))
	}
}

func (p *Process) figures() []figure {
	return []figure{
		{
			name: "slipwick_requests_in_flight",
			help: "Requests that this router has in progress.",
			read: func() float64 { return float64(p.gateway.InFlight()) },
		},
		{
			name: "slipwick_caller_connections_accepted",
			help: "Connections accepted from callers.",
			read: func() float64 { return float64(p.connections.Load()) },
		},
		{
			name: "slipwick_log_lines_dropped",
			help: "Lines of the log beyond its budget.",
			read: func() float64 {
				if p.DroppedLines == nil {
					return 0
				}
				return float64(p.DroppedLines.Load())
			},
		},
		{
			name: "slipwick_control_bytes",
			help: "Bytes of membership and tellings sent and received, headers of IP and UDP included.",
			read: func() float64 {
				return float64(p.udp.Sent.Load() + p.udp.Received.Load() + p.tellings.Sent.Load() + p.tellings.Received.Load())
			},
		},
		{
			name: "slipwick_store_timeline",
			help: "How often the store came back from a copy of itself, as it says; 0 of one that does not.",
			read: func() float64 { return float64(p.timeline.Load()) },
		},
		{
			name: "slipwick_store_returns_from_copies",
			help: "Times that a followed feed began anew as the store came back from a copy.",
			read: func() float64 { return float64(p.fellBack.Load()) },
		},
		{
			name: "slipwick_evacuated_data_centres",
			help: "Data centres whose backend servers get nothing new.",
			read: func() float64 { return float64(len(p.evacuatedNow())) },
		},
		{
			name: "slipwick_refused_entries",
			help: "Objects of the store that can't be read, and are out of use.",
			read: func() float64 { return float64(p.foreign.count()) },
		},
		{
			name: "slipwick_quarantined_requests",
			help: "Requests that get no backend server, as several ended under each.",
			read: func() float64 { return float64(p.ledger.QuarantinedCount()) },
		},
		{
			name: "slipwick_members",
			help: "Routers that this router does not count as dead.",
			read: func() float64 { return float64(len(p.node.Routers())) },
		},
	}
}

// backendFigures are those of backend servers.
func (p *Process) backendFigures() []figure {
	return []figure{
		{
			name: "slipwick_leaving_backend_servers",
			help: "Backend servers that leave, by the list or by what they say in answers.",
			read: func() float64 { leaving, _ := p.balancer.Notices(); return float64(leaving) },
		},
		{
			name: "slipwick_resting_backend_servers",
			help: "Backend servers that want nothing from this router for a while.",
			read: func() float64 { _, resting := p.balancer.Notices(); return float64(resting) },
		},
		{
			name: "slipwick_running_rollouts",
			help: "Rollouts of versions without a verdict.",
			read: func() float64 { return float64(p.rollouts.running()) },
		},
		{
			name: "slipwick_backend_connections_opened",
			help: "Connections opened to backend servers.",
			read: func() float64 { return float64(p.client.OpenedConnections.Load()) },
		},
		{
			name: "slipwick_stray_answers",
			help: "Answers to other requests that were skipped.",
			read: func() float64 { return float64(p.client.StrayResponses.Load()) },
		},
	}
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
