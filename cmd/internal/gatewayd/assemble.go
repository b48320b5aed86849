package gatewayd

import (
	"math/rand/v2"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/exchange"
	"github.com/slipwick/slipwick/fairqueue"
	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/membership"
	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/quota"
	"github.com/slipwick/slipwick/upstream"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// assemble creates the components and connects them.
func (p *Process) assemble(open *listeners) {
	s := p.Settings
	s.Bounds = s.Bounds.orDefaults()
	p.metrics = newMetrics()
	p.observer = newObserver(p.Log, p.metrics, s.Headers.RequestID)
	p.observer.overloads = &p.overloads
	p.seeds.Store(&s.Seeds)
	p.gracePeriod.Store(int64(s.GracePeriod))
	p.bounds.Store(&s.Bounds)
	p.client = &upstream.Client{
		OnStray: p.observer.responseSkipped,
	}
	p.balancer = p.newBalancer()
	p.memory = memory.NewAccount(s.MemoryBytes)
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
	p.admission.OnChange, p.admission.AutoPermits = p.onAdmissionChange, autoPermits
	p.admission.SetMode(s.Admission)
	p.assembleMembership(open)
	p.assembleTunnels()
	p.exchangeUDP = membership.NewUDP(open.exchangeUDP)
	if open.permitUDP != nil {
		p.permitEndpoint = newPermits(p.peers.self, p.node.Routers, p.balancer, open.permitUDP)
		p.limiter = p.newLimiter()
	}
	p.syncer = p.newSyncer()
	p.crashTracker, p.crashGossiper = p.newCrashTracker()
	p.connectionLimit.OnChange = p.onConnectionsLimited
	p.permits = p.newPermitSources()
	p.gateway = p.newGateway()
	p.balancer.OnRemotePace = p.gateway.RecordPace
	p.recovery = p.newRecovery()
	p.assembleListeners(open)
	p.metrics.registerGauges(p)
}

func (p *Process) newBalancer() *balance.Balancer {
	b := balance.New(p.Settings.DataCentre)
	b.Switches = p.Switches
	b.OnEjected = p.onEjected
	b.OnNotice = p.onNotice
	b.OnBrittle = p.onBrittle
	b.OnInvalidPace = p.onInvalidPace
	b.EntriesReused = p.Feeds.Private
	b.HoldVersions = p.followsRollouts()
	b.Connections = p.client
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
	p.node.IsOnlyRouter = p.hasNoOtherSeed()
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
	s.Streams = exchange.NewStreams(p.Settings.ID)
	s.Streams.Transport, s.Streams.Routers, s.Streams.Address = p.exchangeUDP, p.node.Routers, exchangeAddress
	s.Streams.FleetSize = p.node.FleetSize
	p.budget = p.newRetryBudget()
	s.Retries = exchange.NewRetries(p.Settings.ID)
	s.Retries.Transport, s.Retries.Address, s.Retries.Budget = p.exchangeUDP, exchangeAddress, p.budget
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
		StartedAt:   clock.Now(),

		EarliestArrival: p.pauses.EarliestArrival,

		IsOverloaded: p.connectionLimit.IsOverloaded,

		Budget:     p.budget,
		Quarantine: p.crashTracker,
		Streams:    p.syncer.Streams,
		Permits:    p.permits,
		OnPace:     p.admission.RecordPace,

		PermitsActive: p.admission.NeedsPermits,

		BackendsAge:    p.backendsAge,
		MaxBackendsAge: p.maxBackendsAge,
	}
}

// newPermitSources creates the source of permits. Without a source for a class of pools, their
// requests need none.
func (p *Process) newPermitSources() *permitSources {
	s := &permitSources{
		Active:      p.admission.NeedsPermits,
		LargeActive: p.admission.NeedsShares,
		Capacity:    p.balancer,
		Routers:     func() int { return len(p.node.Routers()) },
		SmallCounts: p.metrics.permitCounts(sourceCoordinator),
		LargeCounts: p.metrics.permitCounts(sourceShares),
	}
	if p.permitEndpoint != nil {
		s.Small, s.Large = p.permitEndpoint.endpoint.Client, p.limiter
		p.syncer.Usage = p.limiter
		p.syncer.Returns = p.newReturns()
		p.limiter.Returns = p.syncer.Returns
	}
	return s
}

// queueMemoryShare is the part of the memory limit that waiting requests for one pool may hold.
const queueMemoryShare = 1.0 / 16

// newLimiter creates the source of permits of pools with many slots.
func (p *Process) newLimiter() *quota.Limiter {
	l := quota.New(p.Settings.ID)
	l.Capacity = p.balancer
	l.Routers = func() int { return len(p.node.Routers()) }
	l.QueueLimits = fairqueue.Limits{
		MaxBytes: int64(queueMemoryShare * float64(p.Settings.MemoryBytes)),
	}
	return l
}

// newReturns creates what recognises callers whom other routers refused.
func (p *Process) newReturns() *exchange.Returns {
	r := exchange.NewReturns(p.Settings.ID)
	r.Transport = p.exchangeUDP
	r.Routers = p.node.Routers
	r.Address = exchangeAddress
	return r
}

func (p *Process) onAdmissionChange(active bool) {
	events.AdmissionChanged.On(&p.Log).Bool("active", active).
		Bool("permits", p.admission.NeedsPermits()).Send()
	p.balancer.SetSpeedAware(active)
	p.balancer.SetPreferConnected(active)
}
