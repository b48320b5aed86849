package inbound

// phase is what a connection is used for at the moment.
type phase int

const (
	// phaseHead is that of a connection from which no complete head has arrived: it is new, idle between two requests, or
	// sends a head.
	phaseHead phase = iota
	// phaseBody is that of a connection whose handler reads the body of a request.
	phaseBody
	// phaseActive is that of a connection with a request in progress.
	phaseActive
	// phaseClosing is that of a connection that is closed after its last response.
	phaseClosing
	phaseCount
)
