package routing

import "time"

// Limits bound the size of request headers and bodies and the idle time of connections. A zero
// field sets no bound.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	// IdleTimeout is how long a connection may stay idle between requests.
	IdleTimeout time.Duration
}
