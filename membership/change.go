package membership

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership/memberpb"
)

// Change is what a router knows after something changed.
type Change struct {
	// Routers are those that may own backend servers, by ID. The list must not be changed.
	Routers []slipwick.Router
	// Died lists routers that died since the change before.
	Died []string
	// Backends holds the states of backend servers that are not live, by ID.
	Backends map[string]memberpb.State
}
