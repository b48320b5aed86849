// Package slipwick holds the interfaces and plain data that the parts of a
// router fleet share: the platform's store, the list of boxes, backend
// servers, placement, and the typed outcomes and errors that callers see.
// Implementations live in the packages below this one.
package slipwick
