package gatewayd

import "github.com/prometheus/client_golang/prometheus"

// poolCollector serves the metrics of each pool.
type poolCollector struct {
	statuses func() []PoolStatus
}

var _ prometheus.Collector = (*poolCollector)(nil)

// poolMetric is a metric of each pool.
type poolMetric struct {
	description *prometheus.Desc
	kind        prometheus.ValueType
	read        func(*PoolStatus) float64
}

var poolMetrics = []poolMetric{
	newPoolMetric("slipwick_pool_slots", "Requests that the pool's usable servers work on at once.",
		prometheus.GaugeValue, func(s *PoolStatus) float64 { return float64(s.Slots) }),
	newPoolMetric("slipwick_pool_in_flight", "Requests of all gateways at the pool's usable servers.",
		prometheus.GaugeValue, func(s *PoolStatus) float64 { return s.InFlight }),
	newPoolMetric("slipwick_pool_under_pressure", "1 if requests for the pool have to wait or may have to soon.",
		prometheus.GaugeValue, func(s *PoolStatus) float64 {
			if s.UnderPressure {
				return 1
			}
			return 0
		}),
	newPoolMetric("slipwick_pool_waiting_requests", "Requests that wait for a permit at this gateway.",
		prometheus.GaugeValue, func(s *PoolStatus) float64 { return float64(s.Waiting) }),
	newPoolMetric("slipwick_pool_waiting_bytes", "Memory held by requests that wait for a permit at this gateway.",
		prometheus.GaugeValue, func(s *PoolStatus) float64 { return float64(s.WaitingBytes) }),
	newPoolMetric("slipwick_pool_refused_requests_total", "Requests refused for lack of capacity.",
		prometheus.CounterValue, func(s *PoolStatus) float64 { return float64(s.Refused) }),
}

func newPoolMetric(name, help string, kind prometheus.ValueType, read func(*PoolStatus) float64) poolMetric {
	return poolMetric{
		description: prometheus.NewDesc(name, help, []string{"pool"}, nil),
		kind:        kind,
		read:        read,
	}
}

// Describe implements prometheus.Collector.
func (c *poolCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for i := range poolMetrics {
		descriptions <- poolMetrics[i].description
	}
}

// Collect implements prometheus.Collector.
func (c *poolCollector) Collect(values chan<- prometheus.Metric) {
	statuses := c.statuses()
	for i := range statuses {
		for j := range poolMetrics {
			m := &poolMetrics[j]
			values <- prometheus.MustNewConstMetric(m.description, m.kind, m.read(&statuses[i]), statuses[i].Pool)
		}
	}
}
