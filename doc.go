// Package slipwick defines the interfaces and data types that the components
// of a router fleet share: the platform's store, the list of boxes, backend
// servers, placement, and the typed outcomes and errors that callers see.
// The subpackages contain the implementations.
package slipwick
