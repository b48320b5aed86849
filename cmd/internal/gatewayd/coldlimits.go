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
// servers, and the position of this one among those of its data centre, which prefer different
// connections. Until this router knows the others it sends nothing to cold servers.
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
	p.balancer.SetPosition(positionIn(p.Settings.DataCentre, p.Settings.ID, routers))
}

// positionIn returns the index of a router by ID among those of its data centre, and their number. The
// router need not be in the list.
func positionIn(dataCentre, id string, routers []slipwick.Router) (index, count int) {
	count = 1
	for _, r := range routers {
		if r.DataCentre != dataCentre || r.ID == id {
			continue
		}
		count++
		if r.ID < id {
			index++
		}
	}
	return index, count
}

// setFirstRouters sets the live routers as soon as they are first known.
func (p *Process) setFirstRouters(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.node.FleetKnown():
		p.setRouters(p.node.Routers())
	}
}
