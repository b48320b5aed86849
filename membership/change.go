package membership

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership/memberpb"
)

// Change describes the fleet after a change.
type Change struct {
	// Routers may own backend servers. They are sorted by ID; the slice is shared and must not be
	// modified.
	Routers []slipwick.Router
	// Died holds the IDs of routers that died since the previous Change.
	Died []string
	// Backends holds the states of backend servers that are not live, by ID.
	Backends map[string]memberpb.State
}
