package routing

import "time"

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name string
	// MaxConnections bounds the connections of all routers together to one backend server; 0 sets
	// no bound.
	MaxConnections int
	// Engine is set for pools of model engines.
	Engine *Engine
	// Cold is set for pools whose backend servers can be cold.
	Cold *ColdCapacity
	// MaxQueued bounds the requests for the pool that wait at one router; 0 stands for a bound from
	// the router's memory limit.
	MaxQueued int
}

// ColdCapacity says how much load the backend servers of a pool can take while they are cold, that
// is, can serve only few requests for some time, after a start or later.
type ColdCapacity struct {
	// RequestsPerSecond is how many requests in a second a cold backend server can serve. The limit
	// on what all routers together send to it is derived from this.
	RequestsPerSecond float64
	// Duration is how long a backend server is cold after a start.
	Duration time.Duration
}

// Engine says what the model engines of a pool support.
type Engine struct {
	// CanFetchPrompts says that an engine can fetch cached prompts from another.
	CanFetchPrompts bool
}
