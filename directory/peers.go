package directory

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fleet"
)

// Peers are the other routers, as far as this one knows them.
type Peers interface {
	// Settled is closed once this router that has started knows the others, or
	// has found none.
	Settled() <-chan struct{}
	// Place gives whom this router follows.
	Place() fleet.Place
	// Others gives the IDs of all other routers that live.
	Others() []string
	// Relay gives another router's copy of the feed.
	Relay(id, feed string) slipwick.Feed
}
