package permit

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/permit/permitpb"
)

var _ Transport = (*Endpoint)(nil)

// trackingsPerMemory is how often the size of the fleet is noted within fleetMemory.
const trackingsPerMemory = 10

// Endpoint connects a router's Client and Coordinator to the network and to each other.
type Endpoint struct {
	Client      *Client
	Coordinator *Coordinator
	// Transport sends to other routers.
	Transport Transport

	address string
	fleet   *fleet
	done    chan struct{}
}

// NewEndpoint returns an endpoint for the router. Its Receive has to be called with the datagrams that
// arrive at the router's address.
func NewEndpoint(self slipwick.Router, routers func() []slipwick.Router, capacity slipwick.CapacitySource,
	transport Transport, address func(slipwick.Router) string,
) *Endpoint {
	e := &Endpoint{
		Client:      NewClient(),
		Coordinator: NewCoordinator(),
		Transport:   transport,
		address:     address(self),
		fleet:       newFleet(self, routers, address),
		done:        make(chan struct{}),
	}
	c, o := e.Client, e.Coordinator
	c.Self, c.Routers, c.Capacity, c.Address, c.Transport = self, routers, capacity, address, e
	o.Self, o.Routers, o.Capacity, o.Address, o.Transport = self, routers, capacity, address, e
	c.fleetView, o.fleetView = e.fleet, e.fleet
	return e
}

// Send sends a datagram. One for this router is handled at once.
func (e *Endpoint) Send(address string, packet []byte) {
	if address == e.address {
		e.Receive(address, packet)
		return
	}
	e.Transport.Send(address, packet)
}

// Receive handles a datagram. An invalid one is ignored.
func (e *Endpoint) Receive(address string, packet []byte) {
	message := &permitpb.Packet{}
	if err := proto.Unmarshal(packet, message); err != nil {
		return
	}
	if len(message.Asks) > 0 || len(message.Releases) > 0 || message.Ping {
		e.Coordinator.Receive(address, message)
	}
	if len(message.Answers) > 0 || len(message.Audits) > 0 || message.Pong {
		e.Client.Receive(address, message)
	}
}

// Run runs the client and the coordinator until ctx ends.
func (e *Endpoint) Run(ctx context.Context) {
	defer close(e.done)
	var tasks sync.WaitGroup
	tasks.Go(func() { e.Client.Run(ctx) })
	tasks.Go(func() { e.Coordinator.Run(ctx) })
	tasks.Go(func() { e.trackFleet(ctx) })
	tasks.Wait()
}

// trackFleet notes the size of the fleet also while no pool is under pressure, so that a router that is
// cut off knows how large the fleet was.
func (e *Endpoint) trackFleet(ctx context.Context) {
	ticker := time.NewTicker(fleetMemory / trackingsPerMemory)
	defer ticker.Stop()
	for {
		e.fleet.size(clock.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (e *Endpoint) Done() <-chan struct{} {
	return e.done
}

// PoolStatus returns what this router knows of a pool.
func (e *Endpoint) PoolStatus(pool string) PoolStatus {
	status := e.Client.PoolStatus(pool)
	e.Coordinator.fillStatus(&status)
	return status
}
