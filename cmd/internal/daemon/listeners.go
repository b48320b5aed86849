package daemon

import (
	"net"

	"github.com/pkg/errors"
)

// listeners holds the open sockets of a router.
type listeners struct {
	callers, operators, peers net.Listener

	membershipUDP *net.UDPConn
}

// open listens on the addresses of the settings. On an error some listeners may be open; close them.
func (l *listeners) open(listen *Listen) error {
	var err error
	if l.callers, err = net.Listen("tcp", listen.Callers); err != nil {
		return errors.Wrap(err, "listen for callers; choose a free address in listen.callers")
	}
	if l.operators, err = net.Listen("tcp", listen.Operators); err != nil {
		return errors.Wrap(err, "listen for operators; choose a free address in listen.operators")
	}
	return errors.Wrap(l.openPeers(listen.Peers), "listen for routers; choose a free address in listen.peers")
}

// close closes the sockets that are open.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if l.membershipUDP != nil {
		_ = l.membershipUDP.Close()
	}
}

// openPeers listens on the same port over TCP and UDP.
func (l *listeners) openPeers(address string) error {
	// With port 0 the system chooses a port that is free for TCP but may be in use for UDP.
	const maxAttempts = 10
	var err error
	for range maxAttempts {
		if l.peers, err = net.Listen("tcp", address); err != nil {
			return err
		}
		var udpAddress *net.UDPAddr
		if udpAddress, err = net.ResolveUDPAddr("udp", l.peers.Addr().String()); err != nil {
			return err
		}
		if l.membershipUDP, err = net.ListenUDP("udp", udpAddress); err == nil {
			return nil
		}
		_ = l.peers.Close()
	}
	return err
}
