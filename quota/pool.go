package quota

import (
	"math"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fairqueue"
)

const (
	// fleetTTL is how long the fleet's sums are used.
	fleetTTL = time.Second
	// recordTTL is how long the record of a workspace without requests is kept.
	recordTTL = 10 * time.Second
	// reportDelay is the age of this router's requests that the counts of the other routers are compared
	// with, if there are no sums of usage.
	reportDelay = 200 * time.Millisecond
	// pressureShare is the part of the slots in use above which a pool is under pressure.
	pressureShare = 0.5
	// unattributedTolerance is the part of the slots by which the balancer's counts may exceed the sums
	// of usage before the difference counts as requests without permits. The two differ in age.
	unattributedTolerance = 1.0 / 16
)

// pool decides for one pool which requests this router may have in flight. It isn't safe for concurrent
// use, and reads no clock.
type pool struct {
	name string
	hash uint32
	self uint32

	records    map[recordKey]*record
	allowances map[string]*allowance
	permits    permits
	queue      *fairqueue.Queue
	// waitingWork is the work of the requests in the queue.
	waitingWork time.Duration
	// waitingBy counts them by priority.
	waitingBy map[int]int
	arrivals  arrivals
	fairRates fairRates
	// last is memory for timelyWait.
	last   slipwick.PermitRequest
	random func() float64
	// decisions are those about waiting requests that have not been taken yet.
	decisions []decision

	inFlight int
	// lessUrgent counts the requests in flight below urgentPriority, guarded is how many of them the
	// starvation guard lets this router have.
	lessUrgent, guarded int
	// releases are the permits that ended recently.
	releases recent
	// limit is this router's part of the slots, allowed the rounded limit.
	limit   float64
	allowed int
	// reserve is how many of the allowed requests must be of urgentPriority or above.
	reserve        int
	urgentPriority int
	round          uint64
	// routers is the number of live routers.
	routers int
	slots   float64
	// attainable is the limit that this router gets soon if it asks for more: its equal part of the
	// slots, as far as there are free ones for the waiting requests of all routers.
	attainable float64
	// refreshedAt is when the limits were last computed.
	refreshedAt time.Time

	reports reports
	// fleet are the latest sums of the fleet, which contain this router's report as of ownAsOf.
	fleet       []Entry
	fleetAt     time.Time
	trend       trend
	ownAsOf     time.Time
	hasPressure bool
	// hasShares says that the limits were computed from the fleet's sums.
	hasShares bool
}

// decision is the end of a waiting request's wait: a permit or a refusal.
type decision struct {
	item   *fairqueue.Item
	permit uint64
	err    error
}

func newPool(name, self string, limits fairqueue.Limits, random func() float64) *pool {
	return &pool{
		name:       name,
		hash:       Hash(name),
		self:       Hash(self),
		records:    make(map[recordKey]*record),
		waitingBy:  make(map[int]int),
		allowances: make(map[string]*allowance),
		queue:      fairqueue.New(limits),
		random:     random,
	}
}

// recordOf returns the record of a request's workspace, with the request's settings.
func (p *pool) recordOf(request *slipwick.PermitRequest, now time.Time) *record {
	key := recordKey{
		workspace: request.Workspace,
		priority:  request.Priority,
	}
	r := p.records[key]
	if r == nil {
		r = &record{
			workspace: request.Workspace,
			hash:      Hash(request.Workspace),
			priority:  request.Priority,

			localWeight: max(request.Weight, 1) * weightUnits * defaultPart,
		}
		p.records[key] = r
	}
	r.weight, r.usedAt = max(request.Weight, 1), now
	p.setLimits(r, request, now)
	return r
}

// admit gives a request that arrives a permit if nothing speaks against it.
func (p *pool) admit(request *slipwick.PermitRequest, now time.Time) (permit uint64, ok bool) {
	if !p.hasSlotFor(request.Priority) {
		return 0, false
	}
	if p.queue.Len() > 0 {
		if len(p.allowances) == 0 {
			return 0, false
		}
		// Requests that still wait afterwards wait for the limits of operators.
		if p.serve(now); !p.hasSlotFor(request.Priority) {
			return 0, false
		}
	}
	r := p.recordOf(request, now)
	if r.allowance != nil {
		r.allowance.refill(now)
		if !r.allowance.permits() {
			return 0, false
		}
	}
	p.noteArrival(r, request, now)
	return p.grant(r, request, now), true
}

// noteArrival counts the work that a request asks for.
func (p *pool) noteArrival(r *record, request *slipwick.PermitRequest, now time.Time) {
	p.arrivals.add(request, now)
	r.offered.add(request.Work, now)
	if request.Returning {
		r.bookings.noteReturn(request.Work, now)
	}
}

func (p *pool) grant(r *record, request *slipwick.PermitRequest, now time.Time) uint64 {
	p.inFlight++
	if r.priority > p.urgentPriority {
		p.lessUrgent++
	}
	r.count(1)
	r.drain(p.fairRates.of(r), now)
	r.lead += request.Work.Seconds()
	if r.allowance != nil {
		r.allowance.charge(request.Work)
	}
	return p.permits.add(r)
}

// release ends a permit and gives its slot to waiting requests.
func (p *pool) release(permit uint64, now time.Time) {
	r := p.permits.remove(permit)
	if r == nil {
		return
	}
	p.inFlight--
	if r.priority > p.urgentPriority {
		p.lessUrgent--
	}
	r.count(-1)
	p.releases.add(0, now)
	p.serve(now)
}

// serve gives permits to waiting requests as far as the limits allow.
func (p *pool) serve(now time.Time) {
	for p.hasSlotFor(p.firstPriority()) && p.queue.Len() > 0 {
		p.refillAllowances(now)
		item := p.next(now)
		if item == nil {
			return
		}
		r := p.removeWaiting(item)
		p.decisions = append(p.decisions, decision{
			item:   item,
			permit: p.grant(r, item.Request, now),
		})
	}
}

// firstPriority returns the most urgent priority of the waiting requests.
func (p *pool) firstPriority() int {
	first := math.MaxInt
	for priority := range p.waitingBy {
		first = min(first, priority)
	}
	return first
}

// next removes and returns the request that is served next: the first of its priority whose workspace is
// below its part of the slots and that can meet its objective, or else the first. A slot that no
// workspace below its part waits for goes to the others.
func (p *pool) next(now time.Time) *fairqueue.Item {
	s := &selection{
		pool: p,
		now:  now,
	}
	if item := p.queue.Pop(now, s.accept); item != nil {
		return item
	}
	return p.queue.Pop(now, p.isPermitted)
}

// isPermitted reports whether the reserve for urgent requests and the limits of operators let a waiting
// request start.
func (p *pool) isPermitted(item *fairqueue.Item) bool {
	a := recordOfItem(item).allowance
	return p.hasSlotFor(item.Request.Priority) && (a == nil || a.permits())
}

func recordOfItem(item *fairqueue.Item) *record {
	return item.Value.(*waiting).record
}

func (p *pool) refillAllowances(now time.Time) {
	for _, a := range p.allowances {
		a.refill(now)
	}
}

// expire refuses the waiting requests that can't be done by their deadline any more.
func (p *pool) expire(now time.Time) {
	for _, item := range p.queue.Expire(now) {
		p.refuseWaiting(item, "the request's deadline passes before it can be served", now)
	}
}

// cancel removes a waiting request whose caller disconnected. It returns false if it doesn't wait any
// more.
func (p *pool) cancel(item *fairqueue.Item) bool {
	if !p.queue.Remove(item) {
		return false
	}
	p.removeWaiting(item)
	return true
}

// removeWaiting counts a request that has left the queue, and returns its record.
func (p *pool) removeWaiting(item *fairqueue.Item) *record {
	r := recordOfItem(item)
	r.removeWaiting(item)
	p.waitingWork -= item.Request.Work
	p.waitingBy[r.priority]--
	if p.waitingBy[r.priority] == 0 {
		delete(p.waitingBy, r.priority)
	}
	return r
}

// takeDecisions returns the decisions since the last call.
func (p *pool) takeDecisions() []decision {
	taken := p.decisions
	p.decisions = nil
	return taken
}

// isUnderPressure reports whether requests wait anywhere or much of the pool is in use.
func (p *pool) isUnderPressure() bool {
	return p.hasPressure || p.queue.Len() > 0
}

// report notes what this router uses and wants, and returns it if it has to be sent: if the pool is under
// pressure, or operators limit a workspace.
func (p *pool) report(now time.Time) []Entry {
	latest := report{
		at:      now,
		entries: p.currentEntries(now),
		isSent:  p.isUnderPressure() || len(p.allowances) > 0,
	}
	p.reports.add(latest)
	if !latest.isSent {
		return nil
	}
	return latest.entries
}

// receive takes the sums of the fleet for this pool.
func (p *pool) receive(fleet []Entry, ownAsOf, now time.Time) {
	p.trend.observe(ownInFlight(fleet), ownAsOf, now)
	p.fleet, p.ownAsOf, p.fleetAt = fleet, ownAsOf, now
}

// dropIdle drops the records of workspaces that have no requests.
func (p *pool) dropIdle(now time.Time) {
	for key, r := range p.records {
		if r.isIdle(now) {
			delete(p.records, key)
		}
	}
	for workspace, a := range p.allowances {
		if a.inFlight == 0 && now.Sub(a.creditAt) > recordTTL {
			delete(p.allowances, workspace)
		}
	}
}

// isIdle reports whether the pool has no state left that matters.
func (p *pool) isIdle() bool {
	return len(p.records) == 0 && p.queue.Len() == 0 && p.inFlight == 0
}

// unlimited is the rounded limit of a pool without usable servers: the balancer says why there are none.
const unlimited = math.MaxInt
