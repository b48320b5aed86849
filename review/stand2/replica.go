package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options of the sockets of replicas, in bytes.
const (
	receiveBuffer = 4 << 10
	segmentSize   = 1448
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
	service     string
	server      *http.Server
	ledger      *ledger
	// born is when it started, in Unix milliseconds.
	born int64
	// readsSlowly says that it takes its time to read bodies, isLeaving that it has said that it leaves.
	readsSlowly, isLeaving atomic.Bool
}

// healthPath is the path at which a replica says whether it is well.
const healthPath = "/health"

// startReplica starts a replica of a service and writes its entry into the store.
func startReplica(id, service string, s *store, l *ledger) (*replica, error) {
	listen := net.ListenConfig{
		Control: boundBuffer,
	}
	listener, err := listen.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id:      id,
		address: listener.Addr().String(),
		service: service,
		ledger:  l,
		born:    time.Now().UnixMilli(),
	}
	r.server = &http.Server{
		Handler:           r,
		ReadHeaderTimeout: maxWait,
	}
	go func() { _ = r.server.Serve(listener) }()
	return r, r.writeEntry(s, "ready", 1)
}

// writeEntry writes the replica's entry into the store.
func (r *replica) writeEntry(s *store, state string, sequence int) error {
	return s.put("servers", r.id, map[string]any{
		"service":           r.service,
		"address":           r.address,
		"zone":              "zone-1",
		"version":           "v1",
		"slots":             48,
		"state":             state,
		"cold_remaining_ms": 0,
		"sequence":          sequence,
		"born":              r.born,
	})
}

// boundBuffer bounds what the kernel holds of bodies that a replica has not read: by a small receive buffer, and by
// segments of the size of an Ethernet's in place of the loopback's 64 KiB, by which the sender sizes its buffer.
func boundBuffer(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = errors.Join(
			syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
			syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize))
	})
	return errors.Join(err, failure)
}

// ServeHTTP runs a request unless it expects another replica.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.isLeaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if request.URL.Path == healthPath {
		w.Header().Set("Instance-Id", r.id)
		if r.isLeaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
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
	if r.readsSlowly.Load() && readSlowly(request.Body) != nil {
		// The gateway has left.
		return
	}
	if r.isLeaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Response-Stamp", "stamp-"+r.id+"-"+id)
	// An error means that the gateway has left.
	_, _ = fmt.Fprintf(w, "response to %s\n", id)
}
