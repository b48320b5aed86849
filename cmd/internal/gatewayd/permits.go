package gatewayd

import (
	"context"
	"net"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership"
	"github.com/slipwick/slipwick/permit"
)

// usesPermits reports whether requests may need permits.
func (s *Settings) usesPermits() bool {
	return s.Admission != "" && s.Admission != AdmissionOff
}

// permits connects a router to the coordinators of its pools.
type permits struct {
	udp      *membership.UDP
	endpoint *permit.Endpoint
}

// newPermits returns the permits of the router self over the socket. The
// endpoint's Client is the source of permits.
func newPermits(self slipwick.Router, routers func() []slipwick.Router, capacity slipwick.CapacitySource,
	connection *net.UDPConn,
) *permits {
	udp := membership.NewUDP(connection)
	p := &permits{
		udp:      udp,
		endpoint: permit.NewEndpoint(self, routers, capacity, udp, permitAddress),
	}
	udp.OnReceive = p.endpoint.Receive
	return p
}

// run receives and sends datagrams until ctx ends. It returns an error if the socket fails.
func (p *permits) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.endpoint.Run(ctx)
	err := p.udp.Run(ctx)
	cancel()
	<-p.endpoint.Done()
	return err
}

// runPermits runs the sources of permits until ctx ends. It returns an error if the socket fails.
func (p *Process) runPermits(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.limiter.Run(ctx)
	err := p.permitEndpoint.run(ctx)
	cancel()
	<-p.limiter.Done()
	return err
}

// bytes returns the bytes of permits sent and received; 0 without admission control.
func (p *permits) bytes() int64 {
	if p == nil {
		return 0
	}
	return p.udp.Sent.Load() + p.udp.Received.Load()
}
