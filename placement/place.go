package placement

import (
	"slices"

	"github.com/slipwick/slipwick"
)

// Place is where a view has a backend server.
type Place struct {
	Pool  *Pool
	Index int
}

// Backend is the backend server itself.
func (p Place) Backend() *slipwick.Backend {
	return &p.Pool.Backends[p.Index]
}

// MayGetWork tells whether the backend server is usable.
func (p Place) MayGetWork() bool {
	return slices.Contains(p.Pool.Usable, p.Index)
}
