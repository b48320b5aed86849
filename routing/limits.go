package routing

import "time"

// Limits bound what callers may send. Zero fields set no bound.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	// Idle is how long a connection may rest between requests.
	Idle time.Duration
}
