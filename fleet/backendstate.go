package fleet

// BackendState says whether a backend server may get new requests.
type BackendState int

// The states of a backend server.
const (
	BackendLive BackendState = iota
	// BackendEjected servers get no new requests for a limited time, after errors or at their own
	// request.
	BackendEjected
	// BackendLeaving servers are in a planned stop, or gone.
	BackendLeaving
)
