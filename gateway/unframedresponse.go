package gateway

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// ConnContext is a hook for http.Server.ConnContext. It lets the gateway reset the connection of a caller
// that can't otherwise tell an incomplete response from a complete one, and use it as a slipwick.CallerConnection.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// lingerer is a connection whose close can be turned into a reset, as with net.TCPConn.SetLinger.
type lingerer interface {
	SetLinger(seconds int) error
}

const (
	// resetOnClose as the linger time makes each close of a connection a reset, also that by the end of the
	// process. orderlyClose is the default.
	resetOnClose = 0
	orderlyClose = -1
)

// beginUnframed has to be called before a response without a length is begun. To a caller with HTTP/1.0 it
// is sent without chunks, so that only a reset says that it is incomplete.
func (c *call) beginUnframed() {
	if c.request.ProtoAtLeast(1, 1) {
		return
	}
	if conn, ok := c.request.Context().Value(connKey{}).(lingerer); ok && conn.SetLinger(resetOnClose) == nil {
		c.unframed = conn
	}
}

// endUnframed has to be called once a response is complete.
func (c *call) endUnframed() {
	if c.unframed == nil {
		return
	}
	if http.NewResponseController(c.writer).Flush() != nil {
		return
	}
	// If this fails, the caller gets a reset after a complete response.
	_ = c.unframed.SetLinger(orderlyClose)
}
