package gatewayd

import (
	"net/http"
	"slices"
	"sync"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/fleet"
	"github.com/slipwick/slipwick/membership"
)

// peers gives the feeds access to the other routers and to this router's position in the relay
// tree, through which the store's changes reach the fleet: a few routers, the watchers, follow the
// store itself, and the others follow these or each other.
type peers struct {
	self slipwick.Router
	node *membership.Node
	http *http.Client

	mu sync.Mutex
	// position was computed for members, which is nil before the first computation.
	position fleet.RelayPosition
	members  []slipwick.Router
}

var _ directory.Peers = (*peers)(nil)

// FleetKnown returns a channel that is closed once this router knows the others or found none.
func (p *peers) FleetKnown() <-chan struct{} {
	return p.node.FleetKnown()
}

// RelayPosition returns this router's position in the relay tree. It is computed again only when the
// fleet has changed, not at each call of the feeds.
func (p *peers) RelayPosition() fleet.RelayPosition {
	routers := p.node.Routers()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members == nil || !slices.Equal(routers, p.members) {
		p.position, p.members = fleet.FindRelayPosition(p.self, routers), routers
	}
	return p.position
}

// Others returns the IDs of all other live routers.
func (p *peers) Others() []string {
	var others []string
	for _, r := range p.node.Routers() {
		if r.ID != p.self.ID {
			others = append(others, r.ID)
		}
	}
	return others
}

// PeerFeed returns a client of another router's copy of a feed.
func (p *peers) PeerFeed(id, feed string) slipwick.Feed {
	return &directory.RelayClient{
		Address:  p.node.Address(id),
		FeedName: feed,
		HTTP:     p.http,
	}
}
