package retry

import "time"

// Usage is how much of its share for a pool a router has used.
type Usage struct {
	Pool string
	// Requests and Retries are those within the window.
	Requests, Retries int
	// Routers is the number by which the router divides Extra.
	Routers int
	// FleetRequests and FleetRetries are those of all routers within the window, as far as they have been reported.
	FleetRequests, FleetRetries int
	// Age is the time since the budget's first use.
	Age time.Duration
}
