package fleet

// BackendState says whether a backend server may get new work.
type BackendState int

// The states of a backend server.
const (
	BackendLive BackendState = iota
	// BackendEjected is out for its errors and comes back by itself.
	BackendEjected
	// BackendLeaving is in a planned stop.
	BackendLeaving
)
