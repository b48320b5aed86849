package gateway

import (
	"net/http"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/quarantine"
	"github.com/slipwick/slipwick/routing"
)

// Observer is told of what happens to requests. Its methods do not block.
type Observer interface {
	// Refused is called for a request that was turned away at once.
	Refused(request *http.Request, refusal *Refusal)
	// Attempted is called for each send that did not bring the answer.
	Attempted(attempt *Attempt)
	// Ended is called for each request that was admitted.
	Ended(ending *Ending)
}

// Attempt is one send that did not bring the answer.
type Attempt struct {
	Request string
	// Key is the same for requests that ask for the same.
	Key     quarantine.Key
	Route   string
	Backend string
	Address string
	// Result is why: not-run, failed, broken, stray or cancelled.
	Result string
	Status int
	// Notice is what the backend server said of itself.
	Notice slipwick.Notice
	// Events are those of a stream that this send brought.
	Events int
	Took   time.Duration
	Err    error
}

// Ending is how an admitted request ended.
type Ending struct {
	Request string
	Key     quarantine.Key
	Route   *routing.Route
	Pool    string
	// Version is that of the table it was routed by.
	Version uint64
	// Result is delivered, failed, refused, cut or left.
	Result string
	// Reason is that of the refusal or cut; empty otherwise.
	Reason string
	Status int
	Sends  int
	Events int
	Took   time.Duration
}
