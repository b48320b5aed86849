package slipwick

import "context"

// BoxLister lists the live and leaving boxes of the platform. The list may be out of date.
type BoxLister interface {
	// Boxes returns the platform's current list.
	Boxes(ctx context.Context) ([]Box, error)
}
