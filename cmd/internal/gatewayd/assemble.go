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

// assemble creates the components and connects them.
func (p *Process) assemble(open *listeners) {
	s := p.Settings
	s.Bounds = s.Bounds.orDefaults()
	p.metrics = newMetrics()
	p.observer = newObserver(p.Log, p.metrics, s.Headers.RequestID)
	p.seeds.Store(&s.Seeds)
	p.gracePeriod.Store(int64(s.GracePeriod))
	p.bounds.Store(&s.Bounds)
	p.balancer = p.newBalancer()
	p.client = &upstream.Client{}
	p.memory = newAccount(s)
	p.client.SetMaxUnreadBytes(maxUnreadBytes(p.memory))
	p.backends = directory.NewBackends(p.onBackendsChanged)
	p.backends.Heartbeat, p.backends.LeaveTime = s.Bounds.Heartbeat, s.Bounds.LeaveTime
	p.mirrors = map[string]*directory.Mirror{
		feedTables:   directory.NewMirror(),
		feedBackends: directory.NewMirror(),

		feedEvacuations: directory.NewMirror(),
		feedRollouts:    directory.NewMirror(),
	}
	p.rollouts = newRollouts(p)
	p.assembleMembership(open)
	p.exchangeUDP = membership.NewUDP(open.exchangeUDP)
	p.syncer = p.newSyncer()
	p.crashTracker, p.crashGossiper = p.newCrashTracker()
	p.gateway = p.newGateway()
	p.recovery = p.newRecovery()
	p.metrics.registerGauges(p)
}

func (p *Process) newBalancer() *balance.Balancer {
	b := balance.New(p.Settings.DataCentre)
	b.Switches = p.Switches
	b.OnEjected = p.onEjected
	b.OnNotice = p.onNotice
	b.EntriesReused = p.Feeds.Private
	b.HoldVersions = p.followsRollouts()
	b.SetLoadBound(p.Settings.Bounds.LoadFactor, p.Settings.Bounds.LoadSlack)
	return b
}

// assembleMembership creates the components that track and query the other routers.
func (p *Process) assembleMembership(open *listeners) {
	self := slipwick.Router{
		ID:         p.Settings.ID,
		Address:    p.Settings.Listen.Peers,
		DataCentre: p.Settings.DataCentre,
		Region:     p.Settings.Region,
	}
	p.membershipUDP = membership.NewUDP(open.membershipUDP)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.node = membership.NewNode(self, p.membershipUDP, membership.DefaultPolicy(), random)
	p.node.CatchUp = true
	p.membershipUDP.OnReceive = p.node.Receive
	p.node.OnChange = p.onMembershipChange
	p.peers = &peers{
		self: self,
		node: p.node,
		http: httpclient.New(),
	}
}

// newSyncer creates the syncer that sends the balancer's updates to the other routers.
func (p *Process) newSyncer() *exchange.Syncer {
	s := exchange.NewSyncer(p.Settings.ID)
	s.Balancer = p.balancer
	s.Transport = p.exchangeUDP
	s.Routers = p.node.Routers
	s.Address = exchangeAddress
	p.balancer.OnLongPrefill = s.TriggerUpdate
	p.exchangeUDP.OnReceive = s.Receive
	return s
}

func (p *Process) newGateway() *gateway.Gateway {
	s := p.Settings
	return &gateway.Gateway{
		Headers:     s.Headers,
		Balancer:    p.balancer,
		Client:      p.client,
		Observer:    p.observer,
		Memory:      p.memory,
		Ready:       p.ready,
		CachesKnown: p.cachesKnown,
		Budget: &retry.Budget{
			Ratio:   s.Retries.Ratio,
			Extra:   s.Retries.Extra,
			Window:  s.Retries.Window,
			Routers: func() int { return len(p.node.Routers()) },

			Restarted: !s.FirstStart,
		},
		Quarantine: p.crashTracker,
	}
}
