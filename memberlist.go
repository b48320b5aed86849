package slipwick

import "context"

// MemberList is the platform's list of live and leaving boxes, which may be out of date.
type MemberList interface {
	// Boxes returns the platform's current list.
	Boxes(ctx context.Context) ([]Box, error)
}
