package gatewayd

import (
	"net"
	"net/netip"
	"strconv"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
)

// listeners are the open sockets of a process.
type listeners struct {
	callers, ready, peers, metrics net.Listener

	// membershipUDP is the socket of membership, exchangeUDP that of the updates between routers,
	// permitUDP that of permits; it is nil without admission control.
	membershipUDP, exchangeUDP, permitUDP *net.UDPConn
}

// listen opens all addresses or none: a socket that stays open after a failed start would
// accept connections that nothing serves.
func listen(addresses *Listen) (*listeners, error) {
	l := &listeners{}
	if err := l.open(addresses); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func (l *listeners) open(addresses *Listen) error {
	for _, open := range []struct {
		address  string
		listener *net.Listener
	}{
		{addresses.Callers, &l.callers},
		{addresses.Ready, &l.ready},
		{addresses.Peers, &l.peers},
		{addresses.Metrics, &l.metrics},
	} {
		if open.address == "" {
			continue
		}
		listener, err := net.Listen("tcp4", open.address)
		if err != nil {
			return errors.Wrap(err, "listen; the address must be a free one of this box")
		}
		*open.listener = listener
	}
	var err error
	if l.membershipUDP, err = listenPackets(addresses.Peers); err != nil {
		return err
	}
	l.exchangeUDP, err = listenPackets(nextPort(addresses.Peers))
	return err
}

// openPermits opens the socket of permits. If that fails, it closes all sockets.
func (l *listeners) openPermits(peers string) error {
	var err error
	if l.permitUDP, err = listenPackets(nextPort(nextPort(peers))); err != nil {
		l.close()
	}
	return err
}

// close closes all open sockets.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.ready, l.peers, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	for _, connection := range []*net.UDPConn{l.membershipUDP, l.exchangeUDP, l.permitUDP} {
		if connection != nil {
			_ = connection.Close()
		}
	}
}

func listenPackets(text string) (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp4", text)
	if err != nil {
		return nil, errors.Wrap(err, "the peers address is no IPv4 host:port with two ports after it; choose a smaller port")
	}
	connection, err := net.ListenUDP("udp4", address)
	return connection, errors.Wrap(err, "listen for peers; the address and the next two ports must be free on this box")
}

// exchangeAddress returns the address at which a router receives updates of other routers:
// the port after that of membership.
func exchangeAddress(router slipwick.Router) string {
	return nextPort(router.Address)
}

// permitAddress returns the address at which a router receives datagrams about permits: the second port
// after that of membership. A router without admission control doesn't listen there.
func permitAddress(router slipwick.Router) string {
	return nextPort(nextPort(router.Address))
}

// nextPort returns the address with the next port. That of the largest port is invalid, so that nobody listens
// at a port chosen at random, which port 0 would stand for.
func nextPort(address string) string {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(at.Addr().String(), strconv.Itoa(int(at.Port())+1))
}
