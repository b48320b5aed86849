package gatewayd

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
)

// listeners are a process' open addresses.
type listeners struct {
	callers, ready, peers, metrics net.Listener

	// packets are those of membership, tellings those of the exchange.
	packets, tellings *net.UDPConn
}

// listen opens all addresses or none: one that stayed open after a failed start would
// take connections that nobody serves.
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
			return errors.Wrap(err, "listen; choose a free address")
		}
		*open.listener = listener
	}
	var err error
	if l.packets, err = listenPackets(addresses.Peers); err != nil {
		return err
	}
	l.tellings, err = listenPackets(nextPort(addresses.Peers))
	return err
}

// close closes what is open.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.ready, l.peers, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	for _, connection := range []*net.UDPConn{l.packets, l.tellings} {
		if connection != nil {
			_ = connection.Close()
		}
	}
}

func listenPackets(text string) (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp4", text)
	if err != nil {
		return nil, errors.Wrap(err, "the peers' address is no host:port of IPv4")
	}
	connection, err := net.ListenUDP("udp4", address)
	return connection, errors.Wrap(err, "listen for peers; choose a free address")
}

// tellingsAddress is where a router hears the exchange: the port after that of
// membership.
func tellingsAddress(router slipwick.Router) string {
	return nextPort(router.Address)
}

func nextPort(address string) string {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(at.Addr(), at.Port()+1).String()
}
