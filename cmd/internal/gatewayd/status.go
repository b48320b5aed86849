package gatewayd

import (
	"encoding/json"
	"net/http"

	"github.com/slipwick/slipwick/balance"
)

// StatusPath is the path of a gateway's Status, at its metrics address.
const StatusPath = "/v1/status"

// Status is a gateway's state, for operators.
type Status struct {
	Router     string `json:"router"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Draining   bool   `json:"draining"`
	// ConfigurationVersion is the version in force; 0 before there is one.
	ConfigurationVersion uint64 `json:"configuration"`
	// Members are the IDs of the routers that it does not count as dead, including itself.
	Members []string `json:"members"`
	// WatchesStore says that it follows the store itself rather than another router.
	WatchesStore bool `json:"watches_store"`
	// StoreTimeline is how often the store was restored from a backup, according to its
	// latest response; 0 if the store does not report it.
	StoreTimeline uint64 `json:"store_timeline"`
	InFlight      int64  `json:"in_flight"`
	// HeldBytes are held for callers and backend servers, HeldBytesLimit is their limit; 0 is none.
	HeldBytes      int64 `json:"held_bytes"`
	HeldBytesLimit int64 `json:"held_bytes_limit"`
	// Evacuated are the data centres whose backend servers get no new requests.
	Evacuated []string `json:"evacuated"`
	// KnownParts is the number of prompt parts that it knows to be cached on some engine,
	// MissingCaches the number of engines whose caches it does not know.
	KnownParts    int `json:"known_parts"`
	MissingCaches int `json:"missing_caches"`
	// Quarantined is the number of requests that are refused because each crashed several
	// backend servers.
	Quarantined int `json:"quarantined"`
	// Admission says whether admission control is active.
	Admission bool            `json:"admission"`
	Pools     []PoolStatus    `json:"pools"`
	Backends  []balance.State `json:"backends"`
}

// status returns the current state.
func (p *Process) status() *Status {
	s := &Status{
		Router:        p.Settings.ID,
		DataCentre:    p.Settings.DataCentre,
		Ready:         p.isReady(),
		Draining:      p.draining.Load(),
		WatchesStore:  p.Feeds.Private || p.peers.RelayPosition().IsWatcher,
		StoreTimeline: p.timeline.Load(),
		InFlight:      p.gateway.InFlight(),
		HeldBytes:     p.memory.Held(),

		HeldBytesLimit: p.memory.Limit,

		Evacuated:     p.evacuatedDataCentres(),
		KnownParts:    p.balancer.CachedPartCount(),
		MissingCaches: p.recovery.MissingCount(),
		Quarantined:   p.crashTracker.QuarantinedCount(),
		Admission:     p.admission.NeedsPermits(),
		Pools:         p.poolStatuses(),
		Backends:      p.balancer.States(),
	}
	if table := p.gateway.Table(); table != nil {
		s.ConfigurationVersion = table.Version
	}
	for _, r := range p.node.Routers() {
		s.Members = append(s.Members, r.ID)
	}
	return s
}

// operatorsHandler returns the handler of metrics and status.
func (p *Process) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", p.metrics.handler())
	mux.HandleFunc(StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// Writing fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(p.status())
	})
	return mux
}
