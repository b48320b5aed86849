package membership

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
)

var _ Transport = (*UDP)(nil)

const (
	// maxPacket is the largest packet accepted, in bytes.
	maxPacket = 64 << 10
	// headerBytes is the size of the IPv4 and UDP headers.
	headerBytes = 28
)

// UDP is a Transport over UDP. Set the exported fields before Run.
type UDP struct {
	Conn *net.UDPConn
	// Secret signs packets; packets signed with another secret are dropped. If it is empty, packets
	// are accepted from anyone.
	Secret []byte
	// OnReceive handles a packet; responses go to address.
	OnReceive func(address string, packet []byte)

	// Sent and Received count bytes, including headers.
	Sent, Received atomic.Int64

	done chan struct{}
}

// NewUDP returns a transport over the connection.
func NewUDP(connection *net.UDPConn) *UDP {
	return &UDP{
		Conn: connection,
		done: make(chan struct{}),
	}
}

// Send sends a packet; errors are ignored, the packet is then lost.
func (u *UDP) Send(address string, packet []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	packet = u.sign(packet)
	if _, err := u.Conn.WriteToUDPAddrPort(packet, to); err == nil {
		u.Sent.Add(int64(len(packet) + headerBytes))
	}
}

// Run receives packets, blocks until ctx ends, and closes the connection.
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
		if packet, ok := u.verify(buffer[:n]); ok {
			u.OnReceive(address.String(), packet)
		}
	}
}

// signatureBytes is the length to which signatures are truncated.
const signatureBytes = 16

func (u *UDP) signature(packet []byte) []byte {
	sum := hmac.New(sha256.New, u.Secret)
	_, _ = sum.Write(packet)
	return sum.Sum(nil)[:signatureBytes]
}

// sign appends the packet's signature.
func (u *UDP) sign(packet []byte) []byte {
	if len(u.Secret) == 0 {
		return packet
	}
	signed := make([]byte, 0, len(packet)+signatureBytes)
	signed = append(signed, packet...)
	return append(signed, u.signature(packet)...)
}

// verify checks and removes a packet's signature.
func (u *UDP) verify(signed []byte) (packet []byte, ok bool) {
	if len(u.Secret) == 0 {
		return signed, true
	}
	if len(signed) < signatureBytes {
		return nil, false
	}
	packet = signed[:len(signed)-signatureBytes]
	return packet, hmac.Equal(signed[len(packet):], u.signature(packet))
}

// Done returns a channel that is closed when Run has ended.
func (u *UDP) Done() <-chan struct{} {
	return u.done
}
