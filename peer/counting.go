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
	return l.mesh.count(connection), nil
}

func (m *Mesh) count(connection net.Conn) net.Conn {
	return httpclient.NewCountingConn(connection, &m.Sent, &m.Received)
}
