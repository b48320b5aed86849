package main

import (
	"net/http"
	"time"
)

const (
	serviceName = "booking-app"
	serviceHost = "desk.example"
	closedPath  = "/closed/"
	openPath    = "/open/"
	// keptKey stays valid, takenKey is taken away.
	keptKey, takenKey = "k3ptkeyk3ptkeyk3ptke", "t4kenkeyt4kenkeyt4ke"
	// configApply is the bound config_apply_ms of the settings.
	configApply = 2 * time.Second
	// takenAt is when the key is taken away, playTime for how long requests are sent, sendInterval the time
	// between two requests to a gateway.
	takenAt, playTime, sendInterval = 3 * time.Second, 15 * time.Second, 100 * time.Millisecond
	gatewayCount, replicaCount      = 2, 3
)

// keyCase is a case in which a key is taken away from a client, who goes on to send it.
type keyCase struct {
	// path is that of the client's requests.
	path string
	// before and after are the tenants of the two configurations.
	before, after []tenant
}

type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

var keyCases = map[string]keyCase{
	// The only tenant is removed together with its key.
	"last-tenant": {
		path:   closedPath,
		before: []tenant{{"desk", []string{takenKey}}},
		after:  []tenant{},
	},
	// A client of a route that also takes requests without a key loses its key; its tenant and others stay.
	"open-route": {
		path:   openPath,
		before: []tenant{{"desk", []string{keptKey}}, {"hall", []string{keptKey + "2", takenKey}}},
		after:  []tenant{{"desk", []string{keptKey}}, {"hall", []string{keptKey + "2"}}},
	},
}

// configuration returns a configuration with two routes of one service.
func configuration(version int, tenants []tenant) map[string]any {
	route := func(name, prefix string, isOpen bool) map[string]any {
		return map[string]any{
			"name": name, "host": serviceHost, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 300, "priority": 1, "service": serviceName, "max_attempts": 1,
			"allow_anonymous": isOpen, "session_affinity": false, "resume_streams": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("closed", closedPath, false), route("open", openPath, true)},
		"services": []any{map[string]any{"name": serviceName, "health_check_path": "/health", "max_connections": 110}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": tenants,
	}
}

// startBackend starts a store with a configuration that has the tenants, and the replicas.
func startBackend(tenants []tenant) (*store, *ledger, error) {
	s, err := startStore()
	if err != nil {
		return nil, nil, err
	}
	if err := s.put("config", "main", configuration(7, tenants)); err != nil {
		return nil, nil, err
	}
	runs := newLedger()
	for i := range replicaCount {
		if _, err := startReplica("i-replica-"+string(rune('a'+i)), serviceName, s, runs); err != nil {
			return nil, nil, err
		}
	}
	return s, runs, nil
}

// play plays a case; with trouble the key is taken away. It returns how many requests ran although every
// configuration that may be in force has dropped their key.
func (c *keyCase) play(program string, hasTrouble bool, rec *record) (broken int, err error) {
	s, runs, err := startBackend(c.before)
	if err != nil {
		return 0, err
	}
	f, err := startFleet(program, s.address, gatewayCount, listings)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	rec.add("%d gateways are ready; configuration 7 has the tenants %v", gatewayCount, c.before)
	var takenSince time.Time
	client := &http.Client{
		Timeout: requestDeadline + time.Second,
	}
	results := counts{}
	for started := time.Now(); time.Since(started) < playTime; time.Sleep(sendInterval) {
		if hasTrouble && takenSince.IsZero() && time.Since(started) >= takenAt {
			if err := s.put("config", "main", configuration(9, c.after)); err != nil {
				return 0, err
			}
			takenSince = time.Now()
			rec.add("configuration 9 is acknowledged; it has the tenants %v", c.after)
		}
		for _, g := range f.gateways {
			results.add(send(client, g, c.path, takenKey), runs, takenSince, rec)
		}
	}
	rec.add("sent %d, answered with success %d, refused %d, failed %d; ran more than %v after their key was dropped: %d",
		results.sent, results.succeeded, results.refused, results.failed, configApply, results.broken)
	if results.succeeded == 0 || results.failed > 0 {
		return 0, errNotPlayed
	}
	return results.broken, nil
}

// counts counts requests by how they were answered. broken are those that ran with a dropped key.
type counts struct {
	sent, succeeded, refused, failed, broken int
}

// add counts and records a request. takenSince is when the configuration without its key was acknowledged, or
// zero.
func (c *counts) add(s *sent, runs *ledger, takenSince time.Time, rec *record) {
	c.sent++
	ran := runs.of(s.id)
	switch {
	case s.err != nil:
		c.failed++
	case s.status == http.StatusOK && s.hasStamp:
		c.succeeded++
	case s.status == http.StatusUnauthorized:
		c.refused++
	default:
		c.failed++
	}
	isDropped := !takenSince.IsZero() && s.at.Sub(takenSince) > configApply
	verdict := "the key is valid, or was dropped too shortly before"
	if isDropped {
		verdict = "the key was dropped before"
	}
	if isDropped && len(ran) > 0 {
		c.broken++
		verdict = "BROKEN: the key was dropped before, and the request ran"
	}
	rec.add("request %s %s key %s: status %d, error %v, runs %d; %s", s.id, s.path, s.key, s.status, s.err, len(ran),
		verdict)
}
