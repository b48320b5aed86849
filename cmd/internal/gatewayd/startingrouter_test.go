package gatewayd

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// peersPort is the port at which the routers of a startingFleet listen for others.
const peersPort = 7000

// startingRouter is a process of a startingFleet.
type startingRouter struct {
	*Process
	// peersHandler handles the requests of other routers; sending counts the responses on the link.
	peersHandler http.Handler
	sending      atomic.Int64
	// isRunning is true from startedAt until stopped is closed.
	isRunning atomic.Bool
	startedAt time.Time
	stopped   chan struct{}
	// kill stops the process without notice.
	kill context.CancelFunc
	// hasUpdate is set once an update of another router has arrived.
	hasUpdate atomic.Bool
	// times has the time from the start until each part was ready, by the name of the part.
	times map[string]time.Duration
}

// partFirstRequest is the part of the start without which no request is served.
const partFirstRequest = "first request"

// startParts are the parts of a start, with whether a router has them.
var startParts = []struct {
	name    string
	isReady func(*startingRouter) bool
}{
	{"members", func(r *startingRouter) bool { return isOver(r.node.FleetKnown()) }},
	{"configuration", func(r *startingRouter) bool { return r.gateway.Table() != nil }},
	{"servers", func(r *startingRouter) bool { return r.backendsListed.Load() }},
	{"evacuations", func(r *startingRouter) bool { return isOver(r.evacuationsKnown) }},
	{"rollouts", func(r *startingRouter) bool { return isOver(r.rolloutsKnown) }},
	{"updates", func(r *startingRouter) bool { return r.hasUpdate.Load() }},
	{partFirstRequest, func(r *startingRouter) bool { return isOver(r.ready) }},
	{"caches", func(r *startingRouter) bool { return isOver(r.cachesKnown) }},
}

func isOver(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// observe records which parts have become ready, and reports whether all are.
func (r *startingRouter) observe() bool {
	if !r.isRunning.Load() {
		return false
	}
	for _, part := range startParts {
		if _, ok := r.times[part.name]; !ok && part.isReady(r) {
			r.times[part.name] = time.Since(r.startedAt)
		}
	}
	return len(r.times) == len(startParts)
}

// knownRouters returns how many routers the router knows, 0 while it doesn't run.
func (r *startingRouter) knownRouters() int {
	// The load orders the read of node after its write in run.
	if !r.isRunning.Load() {
		return 0
	}
	return len(r.node.Routers())
}

// run runs the process over the network until ctx ends.
func (r *startingRouter) run(ctx context.Context, network *startNetwork) {
	r.assemble(&listeners{})
	address := r.Settings.Listen.Peers
	r.node.Transport = &startTransport{
		network: network,
		from:    address,
	}
	updates := &startTransport{
		network: network,
		from:    nextPort(address),
	}
	r.syncer.Transport, r.crashGossiper.Transport, r.syncer.Retries.Transport = updates, updates, updates
	r.peers.http = &http.Client{
		Transport: network,
	}
	r.peersHandler = r.peerHandler()
	r.startedAt = time.Now()
	r.isRunning.Store(true)
	var tasks sync.WaitGroup
	for _, task := range r.components() {
		tasks.Go(func() { task(ctx) })
	}
	<-ctx.Done()
	r.isRunning.Store(false)
	close(r.stopped)
	tasks.Wait()
}

// receive handles a datagram that arrived at the port.
func (r *startingRouter) receive(port uint16, from string, packet []byte) {
	if port == peersPort {
		r.membershipUDP.OnReceive(from, packet)
		return
	}
	r.hasUpdate.Store(true)
	r.exchangeUDP.OnReceive(from, packet)
}
