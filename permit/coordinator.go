package permit

import (
	"context"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/permit/permitpb"
)

const (
	// waitingInterval is how often it is checked whether waiting requests can be granted, expiryInterval
	// how often waiting requests and leases are checked for their end, and leaseInterval the same while no
	// requests wait.
	waitingInterval = time.Millisecond
	expiryInterval  = 10 * time.Millisecond
	leaseInterval   = 50 * time.Millisecond
)

// Coordinator grants permits for the pools that rank this router first. Set the exported fields before
// Run.
type Coordinator struct {
	Self slipwick.Router
	// Routers returns the live routers, with or without this one.
	Routers  func() []slipwick.Router
	Capacity slipwick.CapacitySource
	// Transport sends answers; Address returns the address at which a router receives datagrams.
	Transport Transport
	Address   func(slipwick.Router) string

	fleetOnce sync.Once
	fleetView *fleet

	mu     sync.Mutex
	pools  map[string]*pool
	askers map[string]*asker
	out    outbox
	// expiredAt is when leases and waiting requests were last checked for their end.
	expiredAt time.Time

	wake chan struct{}
	done chan struct{}
}

// NewCoordinator returns a coordinator without pools.
func NewCoordinator() *Coordinator {
	return &Coordinator{
		pools:  make(map[string]*pool),
		askers: make(map[string]*asker),
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run has returned.
func (c *Coordinator) Done() <-chan struct{} {
	return c.done
}

func (c *Coordinator) fleet() *fleet {
	c.fleetOnce.Do(func() {
		if c.fleetView == nil {
			c.fleetView = newFleet(c.Self, c.Routers, c.Address)
		}
	})
	return c.fleetView
}

// Run ends leases and waits whose time is over, until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for interval := c.check(); interval > 0; interval = c.check() {
			timer := time.NewTimer(interval)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
		}
	}
}

// check ends what is over, and returns when to check again; 0 if nothing is left.
func (c *Coordinator) check() time.Duration {
	c.mu.Lock()
	now := clock.Now()
	expire := now.Sub(c.expiredAt) >= expiryInterval
	if expire {
		c.expiredAt = now
		c.expireAskersLocked(now)
	}
	interval := time.Duration(0)
	if len(c.askers) > 0 {
		interval = leaseInterval
	}
	for name, p := range c.pools {
		if expire {
			p.expire(now)
		}
		p.pump(now)
		if p.queue.Len() > 0 {
			interval = waitingInterval
		}
		if p.isIdle(now) {
			delete(c.pools, name)
		}
	}
	datagrams := c.out.take()
	c.mu.Unlock()
	sendAll(c.Transport, datagrams)
	return interval
}

// Receive handles a datagram of a router.
func (c *Coordinator) Receive(address string, packet *permitpb.Packet) {
	now := clock.Now()
	c.mu.Lock()
	if a := c.askerLocked(address, packet.Run, now); a != nil {
		for _, r := range packet.Releases {
			c.releaseLocked(a, r, now)
		}
		for _, ask := range packet.Asks {
			c.askLocked(a, ask, now)
		}
		if packet.Ping {
			c.out.packet(address, packet.Run).Pong = true
		}
	}
	datagrams := c.out.take()
	c.mu.Unlock()
	sendAll(c.Transport, datagrams)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// askerLocked returns the router with the address; nil if the datagram is from an earlier run. A new
// run ends the permits of the earlier one.
func (c *Coordinator) askerLocked(address string, run uint64, now time.Time) *asker {
	a := c.askers[address]
	if a != nil && a.run > run {
		return nil
	}
	if a == nil || a.run < run {
		if a != nil {
			c.dropLocked(a, now)
		}
		a = newAsker(address, run)
		c.askers[address] = a
	}
	a.seenAt = now
	if r, ok := c.fleet().find(address, now); ok {
		a.dataCentre, a.live = r.DataCentre, true
	}
	return a
}

// expireAskersLocked ends the permits of dead routers and those whose deadline is over.
func (c *Coordinator) expireAskersLocked(now time.Time) {
	for address, a := range c.askers {
		_, live := c.fleet().find(address, now)
		idle := len(a.leases) == 0 && len(a.waiting) == 0 && now.Sub(a.seenAt) > askerRetention
		if (a.live && !live) || idle {
			c.dropLocked(a, now)
			continue
		}
		a.live = a.live || live
		a.forgetDecided(now)
		for _, l := range a.leases {
			switch {
			case now.After(l.expires):
				c.endLocked(l, now)
			case now.After(l.auditAt):
				packet := c.out.packet(address, a.run)
				packet.Audits = append(packet.Audits, l.id)
				l.auditAt = now.Add(l.auditWait)
				l.auditWait *= 2
			}
		}
	}
}

// dropLocked ends all permits and waits of a router.
func (c *Coordinator) dropLocked(a *asker, now time.Time) {
	delete(c.askers, a.address)
	for id, item := range a.waiting {
		item.Value.(*waiter).pool.queue.Remove(item)
		delete(a.waiting, id)
	}
	pools := make(map[*pool]bool)
	for _, l := range a.leases {
		pools[l.pool] = true
		l.pool.end(l)
	}
	for p := range pools {
		p.pump(now)
	}
}

func (c *Coordinator) endLocked(l *lease, now time.Time) {
	l.asker.decided[l.id] = decision{
		at: now,
	}
	l.pool.end(l)
	l.pool.pump(now)
}

// releaseLocked ends a permit or the wait for one.
func (c *Coordinator) releaseLocked(a *asker, r *permitpb.Release, now time.Time) {
	a.decided[r.Id] = decision{
		at: now,
	}
	if item := a.waiting[r.Id]; item != nil {
		delete(a.waiting, r.Id)
		item.Value.(*waiter).pool.queue.Remove(item)
		return
	}
	l := a.leases[r.Id]
	if l == nil {
		return
	}
	l.pool.record(l, slipwick.Evidence(r.Evidence), time.Duration(r.HeldUs)*time.Microsecond, now)
	c.endLocked(l, now)
}
