package slipwick

import "context"

// MemberList is the platform's lagging list of live and leaving boxes.
type MemberList interface {
	// Boxes gives the list as the platform knows it now.
	Boxes(ctx context.Context) ([]Box, error)
}
