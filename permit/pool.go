package permit

import (
	"math"
	"slices"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fairqueue"
	"github.com/slipwick/slipwick/permit/permitpb"
)

const (
	// capacityInterval is how long a copy of a pool's capacity is used.
	capacityInterval = 5 * time.Millisecond
	// maxQueuedRequests bounds the queue of a pool: some seconds of a pool's work.
	maxQueuedRequests = 4096
	// initialHeld is taken for how long routers hold permits until some were released, minHeld is the
	// least value.
	initialHeld = 50 * time.Millisecond
	minHeld     = time.Millisecond
	// maxExtraShare bounds the requests in flight above a server's slots, as a share of the slots.
	maxExtraShare = 0.5
	// serverRoundTrip is the time between a router and a server, both ways, while the server has nothing
	// to do for that request: 3 ms each way between data centres.
	serverRoundTrip = 6 * time.Millisecond
	// takeoverQuantile is the quantile of how long permits are held for which a new coordinator grants
	// takeoverShare of the slots: requests that the former one granted are still in flight.
	takeoverQuantile = 0.99
	takeoverShare    = 0.5
	// poolRetention is for how long a pool without requests is remembered.
	poolRetention = 10 * time.Second
	// heldWindow is how many of the latest holding times the quantile is taken from.
	heldWindow = 128
	// crowdedQueue is the number of waiting requests above which servers get more requests than they
	// have slots for, up to their limit. Below it, a request waits for the server that is free first.
	crowdedQueue = 4
	// minAuditWait is the least age of a lease at which the router is asked whether it still holds it,
	// and after which it is asked again at first.
	minAuditWait = 20 * time.Millisecond
)

// pool is the state of a pool that this router coordinates. The coordinator's lock guards it.
type pool struct {
	coordinator *Coordinator
	name        string
	queue       *fairqueue.Queue
	servers     map[string]*server
	// order has the usable servers.
	order     []*server
	refreshed time.Time
	usedAt    time.Time
	began     time.Time
	// held is for how many seconds permits are held, turnaround for how many seconds longer their
	// leases last, slowness how long requests take as a multiple of their expected work.
	held, turnaround, slowness average
	heldQuantile               heldQuantile
	workspaces                 map[string]*workspace
	backlog                    backlog
	overtaking                 overtaking
	// trusted says that a usable server is not suspected. Otherwise suspicions have no effect.
	trusted bool
	// crowded says that so many requests wait that servers get more than they have slots for.
	crowded bool
}

func newPool(c *Coordinator, name string, now time.Time) *pool {
	return &pool{
		coordinator: c,
		name:        name,
		queue: fairqueue.New(fairqueue.Limits{
			MaxRequests: maxQueuedRequests,
		}),
		servers:    make(map[string]*server),
		began:      now,
		workspaces: make(map[string]*workspace),
	}
}

// refresh fetches the pool's capacity if the copy is old.
func (p *pool) refresh(now time.Time) {
	if now.Sub(p.refreshed) < capacityInterval && !p.refreshed.IsZero() {
		return
	}
	p.refreshed = now
	for _, s := range p.servers {
		s.usable = false
	}
	capacity := p.coordinator.Capacity.PoolCapacity(p.name)
	p.order = p.order[:0]
	for _, sc := range capacity.Servers {
		p.add(sc, false, now)
	}
	for _, sc := range capacity.Unavailable {
		p.add(sc, true, now)
	}
	p.updateTrusted()
	for id, s := range p.servers {
		if !s.usable && len(s.leases) == 0 {
			delete(p.servers, id)
		}
	}
}

// add adds a server to the usable ones.
func (p *pool) add(capacity slipwick.ServerCapacity, ejected bool, now time.Time) {
	s := p.servers[capacity.ID]
	if s == nil {
		s = &server{}
		p.servers[capacity.ID] = s
	}
	s.ServerCapacity, s.usable, s.ejected = capacity, true, ejected
	s.health.refresh(ejected, now)
	p.order = append(p.order, s)
}

func (p *pool) updateTrusted() {
	p.trusted = slices.ContainsFunc(p.order, func(s *server) bool { return !s.health.suspected })
}

// isSuspected reports whether the server gets requests only as its health allows.
func (p *pool) isSuspected(s *server) bool {
	return p.trusted && s.health.suspected
}

// share returns the part of the slots that this router may grant. It is lower while others may have
// granted permits that this router doesn't know, and if this router may be cut off from the others.
func (p *pool) share(now time.Time) float64 {
	share := p.coordinator.fleet().part(now)
	if now.Sub(p.began) < p.heldQuantile.get() || !p.coordinator.fleet().coordinates(p.name, now) {
		share *= takeoverShare
	}
	return share
}

// limit returns how many leases the server may have.
func (p *pool) limit(s *server, share float64, now time.Time) int {
	turnaround := p.turnaround.or(0) + serverRoundTrip.Seconds()
	limit := s.limit(turnaround, p.held.or(initialHeld.Seconds()), share, now)
	if p.isSuspected(s) {
		limit = min(limit, s.health.allowed)
	}
	return limit
}

// hasSlot reports whether the server may get the request: it has a slot for it when the request arrives, not
// more leases than its limit, and its health allows it.
func (p *pool) hasSlot(s *server, request *slipwick.PermitRequest, share float64, now time.Time) bool {
	if p.isUsedUp(now) {
		return false
	}
	if p.isSuspected(s) && !s.health.allows(request, len(s.leases), now) {
		return false
	}
	if p.isProbe(s) {
		return true
	}
	if len(s.leases) >= p.limit(s, share, now) {
		return false
	}
	return p.crowded || s.busy(now) < max(int(math.Ceil(float64(s.Slots)*share)), 1)
}

// isProbe reports whether the next request to the server is a probe.
func (p *pool) isProbe(s *server) bool {
	return p.isSuspected(s) && s.health.allowed == 0
}

// isUsedUp reports whether a router that may be cut off from the others has granted its part of all slots.
func (p *pool) isUsedUp(now time.Time) bool {
	part := p.coordinator.fleet().part(now)
	if part >= 1 {
		return false
	}
	slots, leases := 0, 0
	for _, s := range p.order {
		slots += s.Slots
		leases += len(s.leases)
	}
	return leases >= max(int(part*float64(slots)), 1)
}

// choose returns the server for a request, or nil if none has room. Servers of the asking router's
// data centre come first among equals.
func (p *pool) choose(request *slipwick.PermitRequest, dataCentre string, share float64, now time.Time) *server {
	roundTrip := serverRoundTrip.Seconds() / max(p.held.or(initialHeld.Seconds()), minHeld.Seconds())
	var best *server
	least := math.Inf(1)
	for _, s := range p.order {
		if !p.hasSlot(s, request, share, now) || slices.Contains(request.Exclude, s.ID) {
			continue
		}
		if cost := s.cost(dataCentre, roundTrip, now); cost < least {
			best, least = s, cost
		}
	}
	return best
}

// grant creates a lease and tells the router.
func (p *pool) grant(w *waiter, request *slipwick.PermitRequest, s *server, now time.Time) {
	l := &lease{
		asker:     w.asker,
		id:        w.id,
		pool:      p,
		server:    s,
		workspace: request.Workspace,
		work:      request.Work,
		granted:   now,
		expires:   w.deadline.Add(deadlineMargin),
		auditWait: minAuditWait,
	}
	l.auditAt = now.Add(p.overdueTime(l))
	p.recordWait(w, now)
	if p.isProbe(s) {
		l.probe, s.health.probe = true, l
	}
	l.ignoreEjection = l.probe || s.health.isKnown(now)
	s.leases = append(s.leases, l)
	p.workspace(request).leases++
	w.asker.leases[w.id] = l
	p.answer(w, l.answer())
}

// recordWait notes for how long a request waited until now. Only the time to its objective counts of a
// request that became late in the queue, since others have come before it from then on.
func (p *pool) recordWait(w *waiter, now time.Time) {
	waited := now.Sub(w.queued)
	if !w.class.late && !w.objective.IsZero() {
		waited = min(waited, time.Duration(refusedFactor*float64(w.objective.Sub(w.queued))))
	}
	p.overtaking.record(w.class, w.expected, waited, now)
}

// overdueTime returns after which time a lease lasts longer than expected.
func (p *pool) overdueTime(l *lease) time.Duration {
	expected := l.work.Seconds() * l.server.slowness.or(1)
	overdue := overdueFactor*expected + p.turnaround.or(0)
	return max(time.Duration(overdue*float64(time.Second)), minAuditWait)
}

func (p *pool) answer(w *waiter, answer *permitpb.Answer) {
	packet := p.coordinator.out.packet(w.asker.address, w.asker.run)
	packet.Answers = append(packet.Answers, answer)
}

// end removes a lease.
func (p *pool) end(l *lease) {
	delete(l.asker.leases, l.id)
	if l.server.health.probe == l {
		l.server.health.probe = nil
	}
	l.server.leases = slices.DeleteFunc(l.server.leases, func(other *lease) bool { return other == l })
	if w := p.workspaces[l.workspace]; w != nil {
		w.leases--
		if w.leases == 0 && w.work == nil {
			delete(p.workspaces, l.workspace)
		}
	}
}

// record notes what a released permit says about its server and its times.
func (p *pool) record(l *lease, evidence slipwick.Evidence, held time.Duration, now time.Time) {
	if evidence == slipwick.EvidenceShed {
		l.server.recordShed(now)
	}
	if evidence == slipwick.EvidenceGood || evidence.IsFailure() {
		s := l.server
		s.health.record(evidence.IsFailure(), p.failureLimit(s), s.Slots, len(s.leases), now)
		p.updateTrusted()
	}
	if evidence != slipwick.EvidenceGood || held <= 0 {
		return
	}
	p.held.add(held.Seconds())
	p.turnaround.add(max(now.Sub(l.granted)-held, 0).Seconds())
	p.heldQuantile.add(held)
	l.server.held.add(held.Seconds())
	slowness := held.Seconds() / max(l.work, time.Millisecond).Seconds()
	l.server.slowness.add(slowness)
	p.slowness.add(slowness)
}

// failureLimit returns the part of failed requests from which on the server is suspected.
func (p *pool) failureLimit(s *server) float64 {
	sum := 0.0
	for _, other := range p.order {
		if other != s {
			sum += other.health.failures
		}
	}
	return max(suspectedAbove, suspectedFactor*sum/float64(max(len(p.order)-1, 1)))
}

// rate returns how many seconds of expected work the servers finish per second.
func (p *pool) rate(share float64, now time.Time) float64 {
	rate := 0.0
	for _, s := range p.order {
		rate += float64(p.limit(s, share, now)) / max(s.slowness.or(p.slowness.or(1)), math.SmallestNonzeroFloat32)
	}
	return rate
}

// isIdle reports whether the pool can be forgotten.
func (p *pool) isIdle(now time.Time) bool {
	if p.queue.Len() > 0 || now.Sub(p.usedAt) < poolRetention {
		return false
	}
	for _, s := range p.servers {
		if len(s.leases) > 0 {
			return false
		}
	}
	return true
}
