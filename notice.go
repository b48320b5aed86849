package slipwick

import "time"

// Notice is what a backend server says of itself in an answer, whatever became of the
// request.
type Notice struct {
	// Leaving says that it has begun a planned stop.
	Leaving bool
	// Rest is for how long it wants nothing from the router that it answers; 0 asks
	// for none.
	Rest time.Duration
}
