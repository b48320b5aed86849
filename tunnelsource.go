package slipwick

import (
	"context"
	"net"
)

// TunnelSource opens connections to backend servers through other routers.
type TunnelSource interface {
	// OpenTunnel returns a connection to an incarnation of a backend server, and the ID of the router that it
	// goes through. The error has KindNoPath if no router could help; other errors are what the router that
	// was asked found at the backend server: syscall.ECONNREFUSED if that refuses connections.
	OpenTunnel(ctx context.Context, incarnation string) (conn net.Conn, router string, err error)
	// HasRouters reports whether there are other routers that may be asked.
	HasRouters() bool
	// IsUsable reports whether tunnels through the router may be used for further requests.
	IsUsable(router string) bool
	// ExcludeRouter keeps a router that doesn't respond from use for a moment.
	ExcludeRouter(router string)
}
