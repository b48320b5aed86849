package routing

// Pool is a set of backend servers that serve alike.
type Pool struct {
	Name string
	// MaxConnections bounds the connections that one backend server takes
	// from all routers together; 0 sets no bound.
	MaxConnections int
	// Engine is set for pools of model engines.
	Engine *Engine
}

// Engine says what the model engines of a pool can do.
type Engine struct {
	// Fetches says that an engine can take cached prompts from another.
	Fetches bool
}
