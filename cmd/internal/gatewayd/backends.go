package gatewayd

import (
	"math"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// onBackendsChanged applies changes of the list of backend servers. It closes connections to
// servers that were removed and leaves those to listed servers as they are.
func (p *Process) onBackendsChanged(changes *balance.Changes) {
	p.balancer.ChangeBackends(changes)
	leaving, cold, now := 0, 0, clock.Now()
	for i := range changes.Entries {
		if changes.Entries[i].Leaving {
			leaving++
		}
		if changes.Entries[i].ColdUntil.After(now) {
			cold++
		}
	}
	events.BackendsChanged.On(&p.Log).Int("listed", p.balancer.ServerCount()).Int("changed", len(changes.Entries)).
		Int("leaving", leaving).Int("cold", cold).Int("gone", len(changes.Removed)).Send()
	p.client.Retain(p.balancer.IsListed)
	p.backendsListed.Store(true)
}

// backendsAge returns how long ago the store was in the state of the list of backend servers.
func (p *Process) backendsAge() time.Duration {
	if p.Feeds.Private {
		return 0
	}
	return p.backends.Age()
}

// maxBackendsAge returns within which time changes of the list are to be known.
func (p *Process) maxBackendsAge() time.Duration {
	bounds := p.bounds.Load()
	return min(bounds.ApplyTime, bounds.LeaveTime)
}

// limitConnections limits the connections to each backend server: every router gets an equal share of
// the connections that a server accepts, but at least one, and half of its share may be idle.
func (p *Process) limitConnections(routers int) {
	table := p.gateway.Table()
	if table == nil {
		return
	}
	smallest := math.MaxInt
	for _, pool := range table.Pools {
		if pool.MaxConnections > 0 {
			smallest = min(smallest, pool.MaxConnections)
		}
	}
	p.client.SetMaxIdleConns(smallest / (2 * max(routers, 1)))
	if smallest == math.MaxInt {
		p.client.SetMaxOpenConns(0)
		return
	}
	p.client.SetMaxOpenConns(max(smallest/max(routers, 1), 1))
}

// onEjected logs that a backend server was ejected for the given time.
func (p *Process) onEjected(backend slipwick.Backend, wait time.Duration) {
	events.BackendEjected.On(&p.Log).Str("backend", backend.ID).Str("address", backend.Address).
		Dur("wait_ms", wait).Send()
}

// onNotice logs that a backend server announced that it is leaving, or asked for a pause.
func (p *Process) onNotice(backend slipwick.Backend, notice slipwick.Notice) {
	events.BackendNotice.On(&p.Log).Str("backend", backend.ID).Str("address", backend.Address).
		Bool("leaving", notice.Leaving).Dur("rest_ms", notice.Pause).Send()
}

// onBrittle logs that the servers of a pool say that they are brittle.
func (p *Process) onBrittle(pool string, rejections int) {
	events.PoolBrittle.On(&p.Log).Str("pool", pool).Int("rejections", rejections).Send()
}

// maxLoggedPace is how many bytes of an invalid pace are logged.
const maxLoggedPace = 32

// onInvalidPace logs that a backend server reported an invalid pace.
func (p *Process) onInvalidPace(backend slipwick.Backend, text string) {
	events.PaceInvalid.On(&p.Log).Str("backend", backend.ID).Str("address", backend.Address).
		Str("pace", text[:min(len(text), maxLoggedPace)]).Send()
}
