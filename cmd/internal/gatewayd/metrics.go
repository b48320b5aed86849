package gatewayd

import (
	"net/http"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/slipwick/slipwick/upstream"
)

// metrics are a gateway's Prometheus metrics; docs/METRICS-GATEWAY.md lists them.
type metrics struct {
	registry *prometheus.Registry

	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	// rejections counts the requests that backend servers rejected, by pool.
	rejections *prometheus.CounterVec
	// retries counts the retries taken from the fleet's retry budget, by pool.
	retries *prometheus.CounterVec
	// budgetRequests counts the requests that the retry budget counted, by pool.
	budgetRequests *prometheus.CounterVec
	// responses counts the responses that were read to their end, by framing.
	responses *prometheus.CounterVec
	// continued counts the streams that a backend server continued.
	continued *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	version   prometheus.Gauge
	// permits counts the requests for permits by source and result, permitWait has the waits.
	permits    *prometheus.CounterVec
	permitWait prometheus.Histogram
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
			Help: "Attempts at backend servers that yielded no complete response, by result.",
		}, []string{"result"}),
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slipwick_backend_rejections_total",
			Help: "Requests that backend servers rejected without running them, by pool.",
		}, []string{"pool"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slipwick_gateway_retries_total",
			Help: "Retries taken from the fleet's retry budget, by pool.",
		}, []string{"pool"}),
		budgetRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slipwick_gateway_budget_requests_total",
			Help: "Requests that the fleet's retry budget counted, by pool.",
		}, []string{"pool"}),
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slipwick_gateway_responses_total",
			Help: "Responses of backend servers read to their end, by how the end is marked.",
		}, []string{"framing"}),
		continued: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slipwick_gateway_continued_streams_total",
			Help: "Streams that a backend server continued, by whether the earlier events are in the same response.",
		}, []string{"where"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "slipwick_gateway_request_seconds",
			Help:    "Time from a request's arrival to its end.",
			Buckets: durationBuckets,
		}, []string{"kind"}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "slipwick_configuration_version",
			Help: "Version of the configuration in force.",
		}),
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "slipwick_gateway_permits_total",
			Help: "Requests for permits, by who decided and the result.",
		}, []string{"source", "result"}),
		permitWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "slipwick_gateway_permit_wait_seconds",
			Help:    "Time that requests waited for permits, of those that waited for a millisecond at least.",
			Buckets: durationBuckets,
		}),
	}
	m.registry.MustRegister(
		m.requests, m.attempts, m.rejections, m.retries, m.budgetRequests, m.responses, m.continued, m.duration, m.version,
		m.permits, m.permitWait)
	return m
}

// registerDials registers a counter of opened connections for each cause.
func (m *metrics) registerDials(client *upstream.Client) {
	for _, cause := range upstream.DialCauses() {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "slipwick_backend_dials_total",
			Help:        "Connections opened to backend servers for requests, by cause.",
			ConstLabels: prometheus.Labels{"cause": cause.String()},
		}, func() float64 { return float64(client.OpenedByCause[cause].Load()) }))
	}
}

// registerFailedDials registers a counter of failed dials for each kind of failure.
func (m *metrics) registerFailedDials(client *upstream.Client) {
	for _, failure := range upstream.DialFailures() {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "slipwick_backend_dials_failed_total",
			Help:        "Connections to backend servers that could not be opened, by failure.",
			ConstLabels: prometheus.Labels{"failure": failure.String()},
		}, func() float64 { return float64(client.FailedDials[failure].Load()) }))
	}
}

// permitCounts returns the counters of one source of permits.
func (m *metrics) permitCounts(source string) permitCounts {
	return permitCounts{
		granted: m.permits.WithLabelValues(source, "granted"),
		refused: m.permits.WithLabelValues(source, "refused"),
		ended:   m.permits.WithLabelValues(source, "ended"),
	}
}

// gauge is a metric whose value is read at each scrape.
type gauge struct {
	name, help string
	read       func() float64
}

// registerGauges registers the gauges that are read at each scrape.
func (m *metrics) registerGauges(p *Process) {
	m.registerDials(p.client)
	m.registerFailedDials(p.client)
	m.registerMemory(p.memory)
	gauges := slices.Concat(
		p.gauges(), p.callerGauges(), p.admissionGauges(), p.backendGauges(), p.memoryGauges(), p.tunnelGauges())
	for _, f := range gauges {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: f.name,
			Help: f.help,
		}, f.read))
	}
	m.registry.MustRegister(&poolCollector{
		statuses: p.poolStatuses,
	})
}

// callerGauges returns the gauges on callers' requests and connections.
func (p *Process) callerGauges() []gauge {
	return []gauge{
		{
			name: "slipwick_requests_in_flight",
			help: "Requests that this router has in progress.",
			read: func() float64 { return float64(p.gateway.InFlight()) },
		},
		{
			name: "slipwick_caller_connections_accepted",
			help: "Connections accepted from callers.",
			read: func() float64 { return float64(p.callers.Accepted()) },
		},
		{
			name: "slipwick_caller_connections_refused",
			help: "Connections of callers closed unread since the router lacks processor time.",
			read: func() float64 { return float64(p.connectionLimit.Refused()) },
		},
		{
			name: "slipwick_caller_connections_open",
			help: "Open connections of callers.",
			read: func() float64 { return float64(p.callers.Open()) },
		},
		{
			name: "slipwick_caller_connections_limit",
			help: "The most connections that callers may have open.",
			read: func() float64 { return float64(p.callers.MaxOpen) },
		},
		{
			name: "slipwick_caller_connections_evicted",
			help: "Connections of callers closed, or refused, at that limit.",
			read: func() float64 { return float64(p.callers.Evicted()) },
		},
		{
			name: "slipwick_caller_heads_refused",
			help: "Requests refused before they were parsed, because of the size of their heads.",
			read: func() float64 { return float64(p.callers.RefusedHeads()) },
		},
		{
			name: "slipwick_caller_read_rate",
			help: "Reads a second that each connection may make at the moment; 0 is no limit.",
			read: func() float64 { return p.pacer.Rate() },
		},
	}
}

func (p *Process) gauges() []gauge {
	return []gauge{
		{
			name: "slipwick_log_lines_dropped",
			help: "Log lines dropped because they exceeded the log's budget or its buffer was full.",
			read: func() float64 {
				if p.DroppedLines == nil {
					return 0
				}
				return float64(p.DroppedLines.Load())
			},
		},
		{
			name: "slipwick_control_bytes",
			help: "Bytes of membership and of updates between routers sent and received, including IP and UDP headers.",
			read: func() float64 {
				return float64(p.membershipUDP.Sent.Load() + p.membershipUDP.Received.Load() +
					p.exchangeUDP.Sent.Load() + p.exchangeUDP.Received.Load() + p.permitEndpoint.bytes())
			},
		},
		{
			name: "slipwick_store_timeline",
			help: "How often the store was restored from a backup, as the store reports it; 0 if it does not report it.",
			read: func() float64 { return float64(p.timeline.Load()) },
		},
		{
			name: "slipwick_store_returns_from_copies",
			help: "Times that a feed started over because the store was restored from a backup.",
			read: func() float64 { return float64(p.storeRestores.Load()) },
		},
		{
			name: "slipwick_evacuated_data_centres",
			help: "Evacuated data centres, whose backend servers get no new requests.",
			read: func() float64 { return float64(len(p.evacuatedDataCentres())) },
		},
		{
			name: "slipwick_refused_entries",
			help: "Entries of the store that cannot be decoded and are not used.",
			read: func() float64 { return float64(p.invalidEntries.count()) },
		},
		{
			name: "slipwick_quarantined_requests",
			help: "Requests that are refused because each crashed several backend servers.",
			read: func() float64 { return float64(p.crashTracker.QuarantinedCount()) },
		},
		{
			name: "slipwick_members",
			help: "Routers that this router does not count as dead, including itself.",
			read: func() float64 { return float64(len(p.node.Routers())) },
		},
	}
}

// admissionGauges returns the gauges on admission control.
func (p *Process) admissionGauges() []gauge {
	return []gauge{
		{
			name: "slipwick_admission_active",
			help: "1 while admission control is active.",
			read: func() float64 {
				if p.admission.NeedsPermits() {
					return 1
				}
				return 0
			},
		},
	}
}

// backendGauges returns the gauges on backend servers.
func (p *Process) backendGauges() []gauge {
	return []gauge{
		{
			name: "slipwick_leaving_backend_servers",
			help: "Backend servers that leave, according to the list or to notices in their responses.",
			read: func() float64 { leaving, _ := p.balancer.NoticeCounts(); return float64(leaving) },
		},
		{
			name: "slipwick_resting_backend_servers",
			help: "Backend servers that asked this router for a pause.",
			read: func() float64 { _, resting := p.balancer.NoticeCounts(); return float64(resting) },
		},
		{
			name: "slipwick_brittle_pools",
			help: "Pools whose backend servers say that they fall over if they reject too many requests.",
			read: func() float64 { return float64(p.balancer.BrittlePools()) },
		},
		{
			name: "slipwick_running_rollouts",
			help: "Rollouts that are not decided yet.",
			read: func() float64 { return float64(p.rollouts.running()) },
		},
		{
			name: "slipwick_backend_connections_opened",
			help: "Connections opened to backend servers.",
			read: func() float64 { return float64(p.client.OpenedConnections.Load()) },
		},
		{
			name: "slipwick_stray_answers",
			help: "Responses of backend servers skipped because they belonged to another request.",
			read: func() float64 { return float64(p.client.StrayResponses.Load()) },
		},
	}
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
