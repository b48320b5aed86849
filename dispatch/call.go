package dispatch

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/quarantine"
)

// Call is one request with where it may go.
type Call struct {
	// Pools are tried in order: the rule's pool and its fallback.
	Pools []string
	// Ask is completed with the pool for each attempt.
	Ask        slipwick.Ask
	Repeatable bool
	// Key names what the request asks for, whatever its ID.
	Key quarantine.Key
}
