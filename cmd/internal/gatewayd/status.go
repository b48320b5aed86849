package gatewayd

import (
	"encoding/json"
	"net/http"

	"github.com/slipwick/slipwick/balance"
)

// StatusPath is where a gateway tells its state, at its metrics address.
const StatusPath = "/v1/status"

// Status is a gateway's state, for operators.
type Status struct {
	Router     string `json:"router"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Draining   bool   `json:"draining"`
	// Configuration is the version in force; 0 before the first.
	Configuration uint64 `json:"configuration"`
	// Members are the routers that it counts as alive, itself among them.
	Members []string `json:"members"`
	// WatchesStore says that it follows the store itself.
	WatchesStore bool `json:"watches_store"`
	// StoreTimeline is how often the store came back from a copy, as the latest answer
	// has it; 0 where it does not say.
	StoreTimeline uint64 `json:"store_timeline"`
	InFlight      int64  `json:"in_flight"`
	// Evacuated are the data centres whose backend servers get nothing new.
	Evacuated []string `json:"evacuated"`
	// KnownParts counts the parts of prompts whose engines it knows,
	// MissingCaches the engines whose caches it does not know.
	KnownParts    int `json:"known_parts"`
	MissingCaches int `json:"missing_caches"`
	// Quarantined counts the requests that get no backend server, as several ended
	// under each.
	Quarantined int             `json:"quarantined"`
	Backends    []balance.State `json:"backends"`
}

// status gives the state of this moment.
func (p *Process) status() *Status {
	s := &Status{
		Router:        p.Settings.ID,
		DataCentre:    p.Settings.DataCentre,
		Ready:         p.isReady(),
		Draining:      p.draining.Load(),
		WatchesStore:  p.Feeds.Private || p.peers.Place().IsWatcher,
		StoreTimeline: p.timeline.Load(),
		InFlight:      p.gateway.InFlight(),
		Evacuated:     p.evacuatedNow(),
		KnownParts:    p.balancer.CachedPartCount(),
		MissingCaches: p.recovery.MissingCount(),
		Quarantined:   p.ledger.QuarantinedCount(),
		Backends:      p.balancer.States(),
	}
	if table := p.gateway.Table(); table != nil {
		s.Configuration = table.Version
	}
	for _, r := range p.node.Routers() {
		s.Members = append(s.Members, r.ID)
	}
	return s
}

// forOperators serves metrics and the state.
func (p *Process) forOperators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", p.metrics.handler())
	mux.HandleFunc(StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An operator that has left needs no answer.
		_ = json.NewEncoder(w).Encode(p.status())
	})
	return mux
}
