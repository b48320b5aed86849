package gatewayd

import (
	"net/http"
	"slices"

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

// Watches tells whether this router follows the store itself.
func (p *peers) Watches() bool {
	watchers := p.watchers()
	return len(watchers) == 0 || slices.Contains(watchers, p.self.ID)
}

// Relays gives the watchers, those of the own data centre first if there are
// two of them.
func (p *peers) Relays() []string {
	watchers := p.watchers()
	return slices.DeleteFunc(watchers, func(id string) bool { return id == p.self.ID })
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

func (p *peers) watchers() []string {
	return fleet.StoreWatchers(p.self, p.node.Routers())
}

// Relay gives another router's copy of a feed.
func (p *peers) Relay(id, feed string) slipwick.Feed {
	return &directory.Relay{
		Address: p.node.Address(id),
		Name:    feed,
		HTTP:    p.http,
	}
}
