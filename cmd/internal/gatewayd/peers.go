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

// peers chooses whom this router follows.
type peers struct {
	self slipwick.Router
	node *membership.Node
	http *http.Client

	mu sync.Mutex
	// place is that among the routers of members, nil before the first.
	place   fleet.RelayPosition
	members []slipwick.Router
}

var _ directory.Peers = (*peers)(nil)

// Settled is closed once this router knows the others.
func (p *peers) Settled() <-chan struct{} {
	return p.node.FleetKnown()
}

// Place gives whom this router follows. It is worked out anew when the fleet has changed,
// not at each of its followers' calls.
func (p *peers) Place() fleet.RelayPosition {
	routers := p.node.Routers()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members == nil || !slices.Equal(routers, p.members) {
		p.place, p.members = fleet.FindRelayPosition(p.self, routers), routers
	}
	return p.place
}

// Others gives all other routers that live.
func (p *peers) Others() []string {
	var others []string
	for _, r := range p.node.Routers() {
		if r.ID != p.self.ID {
			others = append(others, r.ID)
		}
	}
	return others
}

// Relay gives another router's copy of a feed.
func (p *peers) Relay(id, feed string) slipwick.Feed {
	return &directory.RelayClient{
		Address:  p.node.Address(id),
		FeedName: feed,
		HTTP:     p.http,
	}
}
