package gatewayd

import (
	"context"

	"github.com/slipwick/slipwick"
)

// limitCold has the balancer hold what cold backend servers bear, by the table in
// force and the settings read last.
func (p *Process) limitCold() {
	if table, bounds := p.gateway.Table(), p.bounds.Load(); table != nil {
		p.balancer.SetColdLimits(bounds.coldLimits(table, !p.Feeds.Private))
	}
}

// tellRouters tells the balancer which routers live. Until this one knows the others
// it sends nothing to cold servers.
func (p *Process) tellRouters(routers []slipwick.Router) {
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

// tellFirstRouters does so as soon as they are known.
func (p *Process) tellFirstRouters(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.node.FleetKnown():
		p.tellRouters(p.node.Routers())
	}
}
