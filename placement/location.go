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
func (l Location) Backend() *slipwick.Backend {
	return &l.Pool.Backends[l.Index]
}

// IsUsable reports whether the backend server may get new requests according to the view.
func (l Location) IsUsable() bool {
	return slices.Contains(l.Pool.Usable, l.Index)
}
