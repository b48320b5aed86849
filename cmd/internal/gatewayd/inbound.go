package gatewayd

import (
	"net"
	"net/http"
	"time"

	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/inbound"
)

const (
	// minCallerWait is how long a caller's connection has at least to send a head while others need room: a caller whose
	// head is on its way must not lose its connection to others that send nothing.
	minCallerWait = 250 * time.Millisecond
	// maxProbeConnections and maxOperatorConnections bound the connections at the addresses for readiness probes and
	// operators.
	maxProbeConnections    = 256
	maxOperatorConnections = 64
	// minInternalWait is as minCallerWait for these.
	minInternalWait = 20 * time.Millisecond
	// internalHeadBytes bounds the heads of requests that don't come from callers.
	internalHeadBytes = 16 << 10
	// internalIdleTime bounds the time between two requests of probes, operators and other routers, internalWriteTime that
	// of a response to the former two.
	internalIdleTime  = 2 * time.Minute
	internalWriteTime = 5 * time.Second
)

// assembleListeners creates the listeners of the HTTP servers.
func (p *Process) assembleListeners(open *listeners) {
	capacity := inbound.Capacity{
		MemoryBytes:     p.Settings.MemoryBytes,
		FileDescriptors: p.Settings.FileDescriptors,
	}
	p.callers = &inbound.Listener{
		Listener:  open.callers,
		MaxOpen:   capacity.MaxCallers(),
		MinWait:   minCallerWait,
		HeadBytes: p.headLimit,
		IdleLimit: p.idleLimit,
		Allow:     p.connectionLimit.Allow,
		Memory:    p.memory,
		Pacer:     &p.pacer,
	}
	p.probes = p.internalListener(open.ready, maxProbeConnections)
	p.probes.ClosesActive = true
	if open.metrics != nil {
		p.operators = p.internalListener(open.metrics, maxOperatorConnections)
		p.operators.ClosesActive = true
	}
	p.fromPeers = p.internalListener(open.peers, capacity.MaxPeers())
	// What other routers send is never delayed: bounds of the fleet depend on it.
	p.fromPeers.Pacer = nil
}

func (p *Process) internalListener(listener net.Listener, maxOpen int) *inbound.Listener {
	return &inbound.Listener{
		Listener:  listener,
		MaxOpen:   maxOpen,
		MinWait:   minInternalWait,
		HeadBytes: func() int64 { return internalHeadBytes },
		Memory:    p.memory,
		Pacer:     &p.pacer,
	}
}

// headLimit returns the limit on heads of callers' requests in bytes; 0 sets no limit.
func (p *Process) headLimit() int64 {
	if table := p.gateway.Table(); table != nil {
		return table.Limits.HeaderBytes
	}
	return 0
}

// idleLimit returns how long callers' connections may be idle; 0 sets no limit.
func (p *Process) idleLimit() time.Duration {
	if table := p.gateway.Table(); table != nil {
		return table.Limits.IdleTimeout
	}
	return 0
}

// serverOn is an HTTP server with its listener.
type serverOn struct {
	*http.Server
	listener net.Listener
}

// servers returns the HTTP servers of the process.
func (p *Process) servers() []serverOn {
	servers := []serverOn{
		{newServer(p.gateway), p.callers},
		{newInternalServer(gateway.WithoutBody(p.readinessHandler())), p.probes},
		{newPeerServer(gateway.WithoutBody(p.peerHandler())), p.fromPeers},
	}
	if p.operators != nil {
		servers = append(servers, serverOn{newInternalServer(gateway.WithoutBody(p.operatorsHandler())), p.operators})
	}
	return servers
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ConnState:         inbound.TrackState,
		ConnContext:       gateway.ConnContext,
	}
}

// newPeerServer returns a server of requests that other routers send.
func newPeerServer(handler http.Handler) *http.Server {
	server := newServer(handler)
	server.IdleTimeout = internalIdleTime
	return server
}

// newInternalServer returns a server of requests whose responses are written at once.
func newInternalServer(handler http.Handler) *http.Server {
	server := newPeerServer(handler)
	server.WriteTimeout = internalWriteTime
	return server
}
