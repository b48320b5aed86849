package gatewayd

import (
	"context"

	"github.com/slipwick/slipwick"
)

// setColdLimits sets the balancer's limits on cold backend servers, from the table in force
// and the settings read last.
func (p *Process) setColdLimits() {
	if table, bounds := p.gateway.Table(), p.bounds.Load(); table != nil {
		p.balancer.SetColdLimits(bounds.coldLimits(table, !p.Feeds.Private))
	}
}

// setRouters sets the live routers, among which the balancer splits the limits on cold
// servers. Until this router knows the others it sends nothing to cold servers.
func (p *Process) setRouters(routers []slipwick.Router) {
	select {
	case <-p.node.FleetKnown():
	default:
		return
	}
	ids := make([]string, 0, len(routers))
	for _, r := range routers {
		ids = append(ids, r.ID)
	}
	p.balancer.SetRouters(p.Settings.ID, ids)
}

// setFirstRouters sets the live routers as soon as they are first known.
func (p *Process) setFirstRouters(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.node.FleetKnown():
		p.setRouters(p.node.Routers())
	}
}
