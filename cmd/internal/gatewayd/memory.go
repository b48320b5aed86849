package gatewayd

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/slipwick/slipwick/memory"
)

// unreadMemoryShare is the part of the account's limit for bodies in flight to one backend server that it has not read.
const unreadMemoryShare = 0.125

// maxUnreadBytes returns the limit on bodies in flight to one backend server; 0 sets none.
func maxUnreadBytes(account *memory.Account) int64 {
	return int64(unreadMemoryShare * float64(account.Limit))
}

// registerMemory registers the gauges of held memory, one for each use, and the counters of waits for it.
func (m *metrics) registerMemory(account *memory.Account) {
	for _, use := range memory.Uses() {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "slipwick_held_bytes",
			Help:        "Bytes held for callers and backend servers, by use.",
			ConstLabels: prometheus.Labels{"use": use.String()},
		}, func() float64 { return float64(account.HeldFor(use)) }))
	}
	m.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "slipwick_memory_waits_total",
			Help: "Times that a request waited for memory.",
		}, func() float64 { waited, _ := account.Waited(); return float64(waited) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "slipwick_memory_wait_failures_total",
			Help: "Times that a request waited for memory and got none.",
		}, func() float64 { _, refused := account.Waited(); return float64(refused) }),
	)
}

// memoryGauges returns the gauges on held memory.
func (p *Process) memoryGauges() []gauge {
	return []gauge{
		{
			name: "slipwick_held_bytes_limit",
			help: "Limit of the bytes held for callers and backend servers; 0 is none.",
			read: func() float64 { return float64(p.memory.Limit) },
		},
		{
			name: "slipwick_held_bytes_peak",
			help: "The most bytes held for callers and backend servers since the start.",
			read: func() float64 { return float64(p.memory.Peak()) },
		},
		{
			name: "slipwick_unread_bytes",
			help: "Bytes of request bodies in flight to backend servers that these have not read.",
			read: func() float64 { total, _ := p.client.UnreadBytes(); return float64(total) },
		},
		{
			name: "slipwick_unread_bytes_most",
			help: "Bytes of request bodies in flight to the backend server that has most of them unread.",
			read: func() float64 { _, most := p.client.UnreadBytes(); return float64(most) },
		},
	}
}
