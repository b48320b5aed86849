package directory

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fleet"
)

// Peers provides the other routers that this one knows. Implementations must be safe for
// concurrent use.
type Peers interface {
	// FleetKnown returns a channel that is closed once this router, after its start, has
	// discovered the others or found none.
	FleetKnown() <-chan struct{}
	// RelayPosition returns this router's position in the relay tree: which routers it follows.
	RelayPosition() fleet.RelayPosition
	// Others returns the IDs of all other live routers.
	Others() []string
	// PeerFeed returns the copy of the named feed at the router with the ID.
	PeerFeed(id, feed string) slipwick.Feed
}
