package slipwick

import "time"

// Notice is what a backend server announces about itself in a response, independently of the
// result of the request.
type Notice struct {
	// Leaving is true if the server has begun a planned stop.
	Leaving bool
	// Pause is how long the server wants no requests from the router that receives the
	// response; 0 means no pause.
	Pause time.Duration
}
