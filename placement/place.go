package placement

import (
	"slices"

	"github.com/slipwick/slipwick"
)

// Place is the position of a backend server in a View.
type Place struct {
	Pool  *Pool
	Index int
}

// Backend returns the backend server, which the caller must not modify.
func (p Place) Backend() *slipwick.Backend {
	return &p.Pool.Backends[p.Index]
}

// IsUsable reports whether the backend server may get new requests according to the view.
func (p Place) IsUsable() bool {
	return slices.Contains(p.Pool.Usable, p.Index)
}
