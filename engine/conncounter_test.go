package engine

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// connCounter counts the connections that clients open.
type connCounter struct {
	opened atomic.Int64
}

func (c *connCounter) count(client *http.Client) {
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c.opened.Add(1)
		return dial(ctx, network, address)
	}
}
