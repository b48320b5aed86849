package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a replica began to work on.
type run struct {
	id, replica, path, tenant string
	at                        time.Time
}

// ledger has the runs of all replicas.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
}

func newLedger() *ledger {
	return &ledger{
		runs: make(map[string][]run),
	}
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id] = append(l.runs[r.id], r)
}

// of returns the runs of a request.
func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// replica is a stand-in of a sound replica, which answers at once.
type replica struct {
	id, address string
	server      *http.Server
	ledger      *ledger
}

// startReplica starts a replica of a service and writes its entry into the store.
func startReplica(id, service string, s *store, l *ledger) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id:      id,
		address: listener.Addr().String(),
		ledger:  l,
	}
	r.server = &http.Server{
		Handler:           r,
		ReadHeaderTimeout: maxWait,
	}
	go func() { _ = r.server.Serve(listener) }()
	return r, s.put("servers", id, map[string]any{
		"service":           service,
		"address":           r.address,
		"zone":              "zone-1",
		"version":           "v1",
		"slots":             64,
		"state":             "ready",
		"cold_remaining_ms": 0,
		"sequence":          1,
		"born":              time.Now().UnixMilli(),
	})
}

// ServeHTTP runs a request unless it expects another replica.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if request.Header.Get("Expect-Instance") != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.ledger.add(run{
		id:      id,
		replica: r.id,
		path:    request.URL.Path,
		tenant:  request.Header.Get("Tenant"),
		at:      time.Now(),
	})
	w.Header().Set("Response-Stamp", "stamp-"+r.id+"-"+id)
	// An error means that the gateway has left.
	_, _ = fmt.Fprintf(w, "response to %s\n", id)
}
