package fleet

// BackendState says whether a backend server may get new requests.
type BackendState int

// The states of a backend server.
const (
	BackendLive BackendState = iota
	// BackendEjected servers are left out for their errors and return by themselves.
	BackendEjected
	// BackendLeaving servers are in a planned stop, or gone.
	BackendLeaving
)
