package membership

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership/memberpb"
)

// Change describes the fleet after a change.
type Change struct {
	// EligibleRouters holds the routers that are neither leaving, dead nor flapping, and so may own
	// backend servers. They are sorted by ID; the slice is shared and must not be modified.
	EligibleRouters []slipwick.Router
	// Died holds the IDs of routers that died since the previous Change.
	Died []string
	// Backends holds the states of backend servers that are not live, by ID.
	Backends map[string]memberpb.State
}
