package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/slipwick/slipwick/admission"
)

var (
	slotsInFlight = prometheus.NewDesc("slipwick_slots_in_flight",
		"Slots in use at an owned backend server.", []string{"pool", "backend"}, nil)
	slotsLimit = prometheus.NewDesc("slipwick_slots_limit",
		"Current limit of slots of an owned backend server.", []string{"pool", "backend"}, nil)
	requestsQueued = prometheus.NewDesc("slipwick_requests_held",
		"Requests queued for a slot of an owned backend server.", []string{"pool", "backend"}, nil)
)

// ownedCollector collects the metrics of the backend servers that a router owns.
type ownedCollector struct {
	coordinator *admission.Coordinator
}

// Describe sends the descriptions of the metrics.
func (o *ownedCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- slotsInFlight
	descriptions <- slotsLimit
	descriptions <- requestsQueued
}

// Collect sends the current values of the metrics.
func (o *ownedCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, s := range o.coordinator.Status() {
		for description, value := range map[*prometheus.Desc]int{
			slotsInFlight:  s.InFlight,
			slotsLimit:     s.Limit,
			requestsQueued: s.Queued,
		} {
			metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value),
				s.Pool, s.Backend)
		}
	}
}
