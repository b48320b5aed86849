package peer

import (
	"net"

	"github.com/slipwick/slipwick/httpclient"
)

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener

	mesh *Mesh
}

// Accept returns the next connection, wrapped to count its bytes.
func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.mesh.countingConn(connection), nil
}

// countingConn wraps a connection to count its bytes in Sent and Received.
func (m *Mesh) countingConn(connection net.Conn) net.Conn {
	return httpclient.NewCountingConn(connection, &m.Sent, &m.Received)
}
