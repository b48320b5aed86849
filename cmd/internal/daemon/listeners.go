package daemon

import (
	"net"

	"github.com/pkg/errors"
)

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

// openPeers listens on one port over TCP and UDP.
func (l *listeners) openPeers(address string) error {
	// A port that the system chose for TCP may be taken for UDP.
	const tries = 10
	var err error
	for range tries {
		if l.peers, err = net.Listen("tcp", address); err != nil {
			return err
		}
		var packets *net.UDPAddr
		if packets, err = net.ResolveUDPAddr("udp", l.peers.Addr().String()); err != nil {
			return err
		}
		if l.packets, err = net.ListenUDP("udp", packets); err == nil {
			return nil
		}
		_ = l.peers.Close()
	}
	return err
}
