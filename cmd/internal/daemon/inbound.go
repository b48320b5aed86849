package daemon

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/inbound"
)

const (
	// maxOperatorConnections bounds the connections at the address for operators, and operatorHeadBytes their heads.
	maxOperatorConnections = 64
	operatorHeadBytes      = 16 << 10
	// minCallerWait and minOperatorWait are how long a connection has at least to send a head while others need room.
	minCallerWait   = 250 * time.Millisecond
	minOperatorWait = 20 * time.Millisecond
	// maxDiscardedBytes bounds the body of a failed request that is read and discarded so that its connection can be used
	// again.
	maxDiscardedBytes = 64 << 10
)

// assembleListeners bounds what callers and operators can make the router hold.
func (r *Router) assembleListeners() {
	limits := &r.Settings.Limits
	capacity := inbound.Capacity{
		MemoryBytes:     limits.MemoryMB << 20,
		FileDescriptors: limits.FileDescriptors,
	}
	r.callers = &inbound.Listener{
		Listener:  r.listeners.callers,
		MaxOpen:   capacity.MaxCallers(),
		MinWait:   minCallerWait,
		HeadBytes: limits.headerBytes,
		Memory:    r.memory,
		Pacer:     &r.pacer,
	}
	r.operators = &inbound.Listener{
		Listener:     r.listeners.operators,
		MaxOpen:      maxOperatorConnections,
		MinWait:      minOperatorWait,
		ClosesActive: true,
		HeadBytes:    func() int64 { return operatorHeadBytes },
		Memory:       r.memory,
		Pacer:        &r.pacer,
	}
}

// serverOf returns the HTTP server of a listener's connections.
func serverOf(handler http.Handler, limits *Limits) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       limits.Idle.Or(defaultIdle),
		ConnState:         inbound.TrackState,
		ConnContext:       gateway.ConnContext,
	}
}

// callersListener returns the listener of callers. Encrypted connections are counted by the server itself, which has to
// see them to negotiate their protocol.
func (r *Router) callersListener() net.Listener {
	if r.Settings.TLS.Callers != nil {
		return r.listeners.callers
	}
	return r.callers
}

// withBodiesOfCalls returns a handler that leaves the bodies of requests unread that are neither chats nor calls of
// services.
func withBodiesOfCalls(next http.Handler) http.Handler {
	withoutBody := gateway.WithoutBody(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == chatPath || strings.HasPrefix(r.URL.Path, servicesPath) {
			next.ServeHTTP(w, r)
			return
		}
		withoutBody.ServeHTTP(w, r)
	})
}

// stopReading ends the connection of a request that failed before its body was read, unless the body is small.
func stopReading(c echo.Context) {
	if r := c.Request(); r.ContentLength < 0 || r.ContentLength > maxDiscardedBytes {
		c.Response().Header().Set("Connection", "close")
		gateway.CallerConnection(r).StopReading()
	}
}
