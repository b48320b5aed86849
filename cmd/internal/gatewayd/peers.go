package gatewayd

import (
	"net/http"

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
}

var _ directory.Peers = (*peers)(nil)

// Settled is closed once this router knows the others.
func (p *peers) Settled() <-chan struct{} {
	return p.node.Settled()
}

// Place gives whom this router follows.
func (p *peers) Place() fleet.Place {
	return fleet.PlaceOf(p.self, p.node.Routers())
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
	return &directory.Relay{
		Address: p.node.Address(id),
		Name:    feed,
		HTTP:    p.http,
	}
}
