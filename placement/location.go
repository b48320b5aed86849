package placement

import (
	"slices"

	"github.com/slipwick/slipwick"
)

// Location is the position of a backend server in a View.
type Location struct {
	Pool  *Pool
	Index int
}

// Backend returns the backend server, which the caller must not modify.
func (p Location) Backend() *slipwick.Backend {
	return &p.Pool.Backends[p.Index]
}

// IsUsable reports whether the backend server may get new requests according to the view.
func (p Location) IsUsable() bool {
	return slices.Contains(p.Pool.Usable, p.Index)
}
