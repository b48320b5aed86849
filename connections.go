package slipwick

import "time"

// ConnectionSource knows the idle connections to backend servers.
type ConnectionSource interface {
	// HasIdleConnection reports whether an idle connection to the incarnation of a backend server can
	// probably be used for a request that uses none that was idle for longer than maxIdleTime; 0 sets
	// no bound. It must return quickly and must not call back.
	HasIdleConnection(incarnation string, maxIdleTime time.Duration) bool
}
