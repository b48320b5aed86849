package membership

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
)

var _ Wire = (*UDP)(nil)

const (
	// maxPacket is the largest packet taken.
	maxPacket = 64 << 10
	// headerBytes are those of IPv4 and UDP.
	headerBytes = 28
)

// UDP carries packets over UDP. Set the exported fields before Run.
type UDP struct {
	Conn *net.UDPConn
	// OnReceive takes packets, with the address that answers go to.
	OnReceive func(address string, packet []byte)

	// Sent and Received count bytes with their headers.
	Sent, Received atomic.Int64

	done chan struct{}
}

// NewUDP makes a wire over the connection.
func NewUDP(connection *net.UDPConn) *UDP {
	return &UDP{
		Conn: connection,
		done: make(chan struct{}),
	}
}

// Send sends a packet; what fails is lost.
func (u *UDP) Send(address string, packet []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	if _, err := u.Conn.WriteToUDPAddrPort(packet, to); err == nil {
		u.Sent.Add(int64(len(packet) + headerBytes))
	}
}

// Run receives packets until ctx ends, and closes the connection.
func (u *UDP) Run(ctx context.Context) error {
	defer close(u.done)
	stop := context.AfterFunc(ctx, func() { _ = u.Conn.Close() })
	defer stop()
	buffer := make([]byte, maxPacket)
	for {
		n, from, err := u.Conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive packet")
		}
		u.Received.Add(int64(n + headerBytes))
		address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		u.OnReceive(address.String(), buffer[:n])
	}
}

// Done is closed when Run has ended.
func (u *UDP) Done() <-chan struct{} {
	return u.done
}
