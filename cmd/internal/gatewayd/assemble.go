package gatewayd

import (
	"math/rand/v2"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/exchange"
	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/membership"
	"github.com/slipwick/slipwick/retry"
	"github.com/slipwick/slipwick/upstream"
)

// assemble makes the parts and joins them.
func (p *Process) assemble(open *listeners) {
	s := p.Settings
	s.Bounds = s.Bounds.orDefaults()
	p.metrics = newMetrics()
	p.observer = newObserver(p.Log, p.metrics, s.Headers.RequestID)
	p.seeds.Store(&s.Seeds)
	p.grace.Store(int64(s.Grace))
	p.bounds.Store(&s.Bounds)
	p.balancer = p.newBalancer()
	p.client = &upstream.Client{}
	p.backends = directory.NewBackends(p.onBackends)
	p.backends.Heartbeat, p.backends.Leave = s.Bounds.Heartbeat, s.Bounds.Leave
	p.mirrors = map[string]*directory.Mirror{
		feedTables:   directory.NewMirror(),
		feedBackends: directory.NewMirror(),

		feedEvacuations: directory.NewMirror(),
		feedRollouts:    directory.NewMirror(),
	}
	p.rollouts = newRollouts(p)
	p.joinMembers(open)
	p.tellings = membership.NewUDP(open.tellings)
	p.teller = p.newTeller()
	p.ledger, p.marks = p.newLedger()
	p.gateway = p.newGateway()
	p.recovery = p.newRecovery()
	p.metrics.add(p)
}

func (p *Process) newBalancer() *balance.Balancer {
	b := balance.New(p.Settings.DataCentre)
	b.Switches = p.Switches
	b.OnEjected = p.onOut
	b.OnNotice = p.onNotice
	b.EntriesReused = p.Feeds.Private
	b.HoldVersions = p.followsRollouts()
	b.SetLoadBound(p.Settings.Bounds.LoadFactor, p.Settings.Bounds.LoadSlack)
	return b
}

// joinMembers makes the parts that know the other routers.
func (p *Process) joinMembers(open *listeners) {
	self := slipwick.Router{
		ID:         p.Settings.ID,
		Address:    p.Settings.Listen.Peers,
		DataCentre: p.Settings.DataCentre,
		Region:     p.Settings.Region,
	}
	p.udp = membership.NewUDP(open.packets)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.node = membership.NewNode(self, p.udp, membership.DefaultPolicy(), random)
	p.node.CatchUp = true
	p.udp.OnReceive = p.node.Receive
	p.node.OnChange = p.onMembers
	p.peers = &peers{
		self: self,
		node: p.node,
		http: httpclient.New(),
	}
}

// newTeller makes the part that tells the other routers what the balancer knows.
func (p *Process) newTeller() *exchange.Syncer {
	t := exchange.NewSyncer(p.Settings.ID)
	t.Balancer = p.balancer
	t.Transport = p.tellings
	t.Routers = p.node.Routers
	t.Address = tellingsAddress
	p.balancer.OnLongPrefill = t.TriggerUpdate
	p.tellings.OnReceive = t.Receive
	return t
}

func (p *Process) newGateway() *gateway.Gateway {
	s := p.Settings
	return &gateway.Gateway{
		Headers:     s.Headers,
		Balancer:    p.balancer,
		Client:      p.client,
		Observer:    p.observer,
		Ready:       p.ready,
		CachesKnown: p.learnt,
		Budget: &retry.Budget{
			Ratio:   s.Retries.Ratio,
			Extra:   s.Retries.Extra,
			Window:  s.Retries.Window,
			Routers: func() int { return len(p.node.Routers()) },

			Restarted: !s.FirstStart,
		},
		Quarantine: p.ledger,
	}
}
