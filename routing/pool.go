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
	// Cold is set for pools whose backend servers can serve only few requests for some time after a
	// start, or later.
	Cold *Cold
}

// Cold says how much load a backend server can take while it is cold.
type Cold struct {
	// RequestsPerSecond bounds the requests that a cold backend server gets from all routers
	// together.
	RequestsPerSecond float64
	// Duration is how long a backend server is cold after a start.
	Duration time.Duration
}

// Engine says what the model engines of a pool support.
type Engine struct {
	// CanFetchPrompts says that an engine can fetch cached prompts from another.
	CanFetchPrompts bool
}
