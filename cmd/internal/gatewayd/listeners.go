package gatewayd

import (
	"net"

	"github.com/pkg/errors"
)

// listeners are a process' open addresses.
type listeners struct {
	callers, ready, metrics net.Listener

	packets *net.UDPConn
}

func listen(addresses *Listen) (*listeners, error) {
	l := &listeners{}
	for _, open := range []struct {
		address  string
		listener *net.Listener
	}{
		{addresses.Callers, &l.callers},
		{addresses.Ready, &l.ready},
		{addresses.Metrics, &l.metrics},
	} {
		if open.address == "" {
			continue
		}
		listener, err := net.Listen("tcp4", open.address)
		if err != nil {
			return nil, errors.Wrap(err, "listen; choose a free address")
		}
		*open.listener = listener
	}
	address, err := net.ResolveUDPAddr("udp4", addresses.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "the peers' address is no host:port of IPv4")
	}
	if l.packets, err = net.ListenUDP("udp4", address); err != nil {
		return nil, errors.Wrap(err, "listen for peers; choose a free address")
	}
	return l, nil
}
