package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fairqueue"
)

const (
	testObjective = time.Second
	testDeadline  = 5 * time.Second
	// sampleInterval is how often the use of the slots is sampled.
	sampleInterval = 20 * time.Millisecond
	tick           = 200 * time.Millisecond
	// networkDelay is how long a datagram takes.
	networkDelay = 5 * time.Millisecond
)

// demand is a stream of requests of a workspace.
type demand struct {
	workspace string
	weight    uint32
	priority  int
	// load is the work that arrives per second, in slots, at all routers of the list.
	load    float64
	routers []int
	// from and until limit the time in which requests arrive; until is 0 without an end.
	from, until time.Duration
	// deadline is that of the requests, testDeadline if 0.
	deadline time.Duration
}

// request is one request of a caller.
type request struct {
	slipwick.PermitRequest
	demand  *demand
	router  int
	service time.Duration
	permit  uint64
	// window is the number of the window of the statistics in which it arrived; 0 if in none.
	window int
	// generation is that of the router when the request was sent.
	generation int
	// returns counts how often the caller returned before.
	returns int
	// attempt is nil if the fleet doesn't follow the workspace.
	attempt *attempt
}

// event is a function that runs at a time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// testRouter has the decisions of one router.
type testRouter struct {
	pool       *pool
	size       fleetSize
	generation int
	isDead     bool
	hub        *testHub
	// latest is the report that others have, taken at latestAt.
	latest   testReport
	complete bool
	others   int
	viewAt   time.Duration
}

type testReport struct {
	entries  []Entry
	inFlight int
	at       time.Duration
	isKnown  bool
}

// testHub adds up a group as package exchange does.
type testHub struct {
	members []int
	sum     testReport
	// fleet are the sums that it sent last.
	fleet  []Entry
	isDead bool
}

// fleet runs the decisions of routers, and callers, in virtual time.
type fleet struct {
	now     time.Duration
	seq     int
	queue   events
	random  *rand.Rand
	routers []*testRouter
	hubs    []*testHub
	// maxRows and fleetRows bound the entries of updates and of the sums of the fleet.
	maxRows, fleetRows int
	// isCut reports whether datagrams between two routers are lost.
	isCut func(a, b int) bool
	// loss is the share of lost updates; twice that many arrive twice or late.
	loss float64
	// returns says that refused callers follow Retry-After, maxReturns times.
	returns    bool
	maxReturns int
	// attempts has the attempts of the callers of one workspace, if follow has its name.
	follow   string
	attempts []*attempt
	slots    int

	areOffersStopped bool

	running int
	backlog []*request
	// runningBy counts the running requests of each workspace.
	runningBy map[string]int
	stats     stats
	// window is the number of the window that the statistics count.
	window int
}

// stats are what the callers saw.
type stats struct {
	from time.Duration
	// until ends the window of the arrivals that offered and answered count; 0 for no end.
	until time.Duration
	// The maps have work in slot-seconds: inTime and done that of requests that ended, offered and
	// answered that of requests that arrived, and of these of the ones served in time.
	offered, answered, inTime, done map[string]float64
	refused, arrived                int
	refusalTimes                    []time.Duration
	returned, returnedOK            int
	served                          int
	// refusedLeast are the refusals of the least urgent priority while a tenth of the slots was free.
	refusedLeast int
	// maxInFlight is the most in flight at once, inFlightAt a sample every 20 ms.
	maxInFlight int
	// held is the work that the slots have done for each workspace so far, also for requests that
	// have not ended.
	held    map[string]float64
	samples []sample
}

type sample struct {
	at       time.Duration
	inFlight int
	running  int
	waiting  int
	held     map[string]float64
}

// testSlots are the slots of the pool.
var testSlots = 2880.0

// fleetSizes are the numbers of routers that the tests run.
var fleetSizes = []int{8, 84, 330}

var epoch = time.Unix(1_700_000_000, 0)

func newFleet(routers int) *fleet { return newSeededFleet(routers, 1) }

// newSeededFleet returns a fleet whose random choices follow from a seed.
func newSeededFleet(routers int, seed uint64) *fleet {
	f := &fleet{
		random:  rand.New(rand.NewPCG(seed, 2)),
		isCut:   func(int, int) bool { return false },
		maxRows: EntryLimit(routers - 1),

		fleetRows: FleetEntryLimit(routers - 1),
		slots:     int(testSlots),
		window:    1,

		maxReturns: 1,

		runningBy: make(map[string]int),
	}
	f.stats = newStats(0)
	for i := range routers {
		f.routers = append(f.routers, &testRouter{})
		f.start(i)
	}
	if routers > 16 {
		groups := int(math.Ceil(math.Sqrt(float64(routers))))
		f.maxRows = EntryLimit(groups + routers/groups - 2)
		f.fleetRows = FleetEntryLimit(groups + routers/groups - 2)
		for g := range groups {
			h := &testHub{}
			for i := g; i < routers; i += groups {
				h.members = append(h.members, i)
				f.routers[i].hub = h
			}
			f.hubs = append(f.hubs, h)
			f.every(tick, f.phase(), func() { f.runHub(h) })
		}
	}
	for i := range routers {
		f.every(tick, f.phase(), func() { f.update(i) })
	}
	f.every(sampleInterval, 0, f.sample)
	return f
}

func (f *fleet) phase() time.Duration {
	return time.Duration(f.random.Int64N(int64(tick)))
}

func (f *fleet) at(at time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{at, f.seq, run})
}

func (f *fleet) every(interval, phase time.Duration, run func()) {
	f.at(f.now+phase, func() {
		run()
		f.every(interval, interval, run)
	})
}

func (f *fleet) clock() time.Time { return epoch.Add(f.now) }

// resetStats forgets what was counted.
func (f *fleet) resetStats() {
	f.window++
	f.stats = newStats(f.now)
}

func newStats(from time.Duration) stats {
	return stats{
		from:     from,
		offered:  make(map[string]float64),
		inTime:   make(map[string]float64),
		done:     make(map[string]float64),
		held:     make(map[string]float64),
		answered: make(map[string]float64),
	}
}

func (f *fleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = until
}

// start starts or restarts a router, with an empty state.
func (f *fleet) start(i int) {
	r := f.routers[i]
	limits := fairqueue.Limits{
		MaxRequests: 4096,
	}
	r.pool = newPool("pool", fmt.Sprint("router-", i), limits, f.random.Float64)
	r.generation++
	r.isDead, r.complete, r.size = false, false, fleetSize{}
	f.refresh(i)
}

func (f *fleet) live(i int) int {
	n := 0
	for j, r := range f.routers {
		if !r.isDead && (i == j || !f.isCut(i, j)) {
			n++
		}
	}
	return n
}

func (f *fleet) refresh(i int) {
	r := f.routers[i]
	r.size.observe(f.live(i), f.clock())
	capacity := slipwick.PoolCapacity{
		Complete: r.complete && f.now-r.viewAt <= time.Second,
		Servers: []slipwick.ServerCapacity{
			{
				Slots:    f.slots,
				InFlight: float64(r.others + r.pool.inFlight),
				Own:      r.pool.inFlight,
			},
		},
	}
	r.pool.refresh(&capacity, &r.size, f.clock())
	f.take(r)
}

// update is the regular update of a router: it reports, and in a small fleet adds up what the others
// reported.
func (f *fleet) update(i int) {
	r := f.routers[i]
	if r.isDead {
		return
	}
	if r.hub == nil {
		f.receiveMesh(i)
	}
	entries := r.pool.report(f.clock())
	latest := testReport{
		entries:  Truncate(entries, f.fleetRows, r.pool.fleet),
		inFlight: r.pool.inFlight,
		at:       f.now,
		isKnown:  true,
	}
	if r.hub == nil || !r.hub.isDead {
		f.deliver(func() {
			if latest.at >= r.latest.at {
				r.latest = latest
			}
		})
	}
	if f.now-r.viewAt > tick {
		f.refresh(i)
	}
}

// deliver runs the effect of a datagram, unless it is lost; some arrive late and twice.
func (f *fleet) deliver(run func()) {
	switch draw := f.random.Float64(); {
	case draw < f.loss:
		return
	case draw < 2*f.loss:
		f.at(f.now+networkDelay, run)
	case draw < 3*f.loss:
		f.at(f.now+tick+tick/2, run)
		return
	}
	f.at(f.now+networkDelay, run)
}

func (f *fleet) receiveMesh(i int) {
	r := f.routers[i]
	var lists [][]Entry
	if own := r.pool.reports.asOf(f.clock()); own.isSent {
		lists = append(lists, own.entries)
	}
	others, complete := 0, true
	for j, other := range f.routers {
		if i == j || other.isDead && f.now-other.latest.at > time.Second {
			continue
		}
		if f.isCut(i, j) || !other.latest.isKnown || f.now-other.latest.at > time.Second {
			complete = complete && f.isCut(i, j) && f.live(i) < len(f.routers)
			continue
		}
		lists = append(lists, other.latest.entries)
		others += other.latest.inFlight
	}
	r.complete, r.others, r.viewAt = complete, others, f.now
	r.pool.receive(Truncate(Sum(lists...), f.fleetRows, nil), f.clock(), f.clock())
	f.refresh(i)
}

// runHub adds up the group and the fleet, and sends the sum to the group.
func (f *fleet) runHub(h *testHub) {
	if h.isDead {
		return
	}
	var lists [][]Entry
	sum := testReport{
		at:      f.now,
		isKnown: true,
	}
	for _, i := range h.members {
		if latest := f.routers[i].latest; latest.isKnown && f.now-latest.at <= time.Second {
			lists = append(lists, latest.entries)
			sum.inFlight += latest.inFlight
		}
	}
	sum.entries = Truncate(Sum(lists...), f.maxRows, h.fleet)
	previous := h.sum
	lists, inFlight := [][]Entry{previous.entries}, previous.inFlight
	complete := previous.isKnown
	for _, other := range f.hubs {
		if other == h || f.isCut(h.members[0], other.members[0]) {
			continue
		}
		if !other.sum.isKnown || f.now-other.sum.at > time.Second {
			complete = false
			continue
		}
		lists = append(lists, other.sum.entries)
		inFlight += other.sum.inFlight
	}
	f.deliver(func() {
		if sum.at > h.sum.at {
			h.sum = sum
		}
	})
	all, asOf := Truncate(Sum(lists...), f.fleetRows, nil), f.clock().Add(-tick)
	h.fleet = all
	for _, i := range h.members {
		f.deliver(func() {
			r := f.routers[i]
			if r.isDead || f.now-r.viewAt < 0 {
				return
			}
			own := 0
			for _, e := range r.pool.reports.asOf(asOf).entries {
				own += e.InFlight
			}
			r.complete, r.others, r.viewAt = complete, max(inFlight-own, 0), f.now
			r.pool.receive(all, asOf, f.clock())
			f.refresh(i)
		})
	}
}

// offer lets callers send requests by a Poisson process.
func (f *fleet) offer(d demand) {
	mean := meanWork().Seconds()
	next := func() time.Duration {
		return time.Duration(f.random.ExpFloat64() * mean / d.load * float64(time.Second))
	}
	var arrive func()
	arrive = func() {
		if f.areOffersStopped || d.until > 0 && f.now > d.until {
			return
		}
		f.arrive(f.newRequest(&d))
		f.at(f.now+next(), arrive)
	}
	f.at(d.from+next(), arrive)
}

const minService, maxService = 0.1, 3.0

// meanWork is the mean of the service times, which are log-uniform.
func meanWork() time.Duration {
	return time.Duration((maxService - minService) / math.Log(maxService/minService) * float64(time.Second))
}

func (f *fleet) newRequest(d *demand) *request {
	seconds := minService * math.Exp(f.random.Float64()*math.Log(maxService/minService))
	service := time.Duration(seconds * float64(time.Second))
	deadline := testDeadline
	if d.deadline > 0 {
		deadline = d.deadline
	}
	return &request{
		PermitRequest: slipwick.PermitRequest{
			Pool:      "pool",
			Workspace: d.workspace,
			Weight:    d.weight,
			Priority:  d.priority,
			// The estimate differs from the time that the request takes.
			Work:      time.Duration(float64(service) * (0.7 + 0.6*f.random.Float64())),
			Arrived:   f.clock(),
			Objective: f.clock().Add(testObjective),
			Deadline:  f.clock().Add(deadline),
		},
		demand:  d,
		router:  d.routers[f.random.IntN(len(d.routers))],
		service: service,
	}
}

func (f *fleet) counts() bool { return f.now >= f.stats.from }

func (f *fleet) arrive(r *request) {
	router := f.routers[r.router]
	f.noteAttempt(r)
	if f.counts() && (f.stats.until == 0 || f.now <= f.stats.until) {
		r.window = f.window
		f.stats.arrived++
		f.stats.offered[r.Workspace] += r.service.Seconds()
	}
	if router.isDead {
		return
	}
	r.generation = router.generation
	if permit, ok := router.pool.admit(&r.PermitRequest, f.clock()); ok {
		r.permit = permit
		f.send(r)
		f.take(router)
		return
	}
	if _, err := router.pool.enqueue(&r.PermitRequest, r, f.clock()); err != nil {
		f.refuse(r, err)
	}
	router.pool.serve(f.clock())
	f.take(router)
}

// take handles the decisions about waiting requests.
func (f *fleet) take(router *testRouter) {
	router.pool.expire(f.clock())
	for _, d := range router.pool.takeDecisions() {
		r := d.item.Value.(*waiting).value.(*request)
		if d.err != nil {
			f.refuse(r, d.err)
			continue
		}
		r.permit = d.permit
		f.send(r)
	}
}

func (f *fleet) refuse(r *request, err error) {
	if f.counts() {
		f.stats.refused++
		f.stats.refusalTimes = append(f.stats.refusalTimes, f.clock().Sub(r.Arrived))
	}
	typed, _ := slipwick.AsError(err)
	f.noteRefusal(r, typed.RetryAfter)
	if r.Priority == leastPriority && f.counts() && float64(f.running) < 0.9*float64(f.slots) {
		f.stats.refusedLeast++
	}
	if !f.returns || r.returns >= f.maxReturns {
		if r.Returning && f.counts() {
			f.stats.returned++
		}
		return
	}
	f.at(f.now+typed.RetryAfter, func() {
		again := f.newRequest(r.demand)
		again.service, again.Work, again.Returning = r.service, r.Work, true
		again.returns = r.returns + 1
		f.arrive(again)
	})
}

// send sends a request to the engines, which work on as many as they have slots and queue the others.
func (f *fleet) send(r *request) {
	f.notePermit(r)
	f.backlog = append(f.backlog, r)
	f.stats.maxInFlight = max(f.stats.maxInFlight, f.running+len(f.backlog))
	f.startWork()
}

func (f *fleet) startWork() {
	for f.running < f.slots && len(f.backlog) > 0 {
		r := f.backlog[0]
		f.backlog = f.backlog[1:]
		f.running++
		f.runningBy[r.Workspace]++
		started := f.clock()
		f.at(f.now+r.service, func() { f.finish(r, started) })
	}
}

func (f *fleet) finish(r *request, started time.Time) {
	f.running--
	f.runningBy[r.Workspace]--
	f.startWork()
	router := f.routers[r.router]
	if router.generation == r.generation && !router.isDead {
		router.pool.release(r.permit, f.clock())
		f.take(router)
	}
	if !f.counts() {
		return
	}
	f.stats.served++
	f.stats.done[r.Workspace] += r.service.Seconds()
	isInTime := !started.After(r.Objective)
	if isInTime {
		f.stats.inTime[r.Workspace] += r.service.Seconds()
	}
	if isInTime && r.window == f.window {
		f.stats.answered[r.Workspace] += r.service.Seconds()
	}
	if r.Returning {
		f.stats.returned++
		if isInTime {
			f.stats.returnedOK++
		}
	}
}

func (f *fleet) sample() {
	if !f.counts() {
		return
	}
	s := sample{
		at:      f.now,
		running: f.running,
		held:    make(map[string]float64, len(f.stats.held)),
	}
	for name, n := range f.runningBy {
		f.stats.held[name] += float64(n) * sampleInterval.Seconds()
		s.held[name] = f.stats.held[name]
	}
	s.inFlight = f.running + len(f.backlog)
	for _, r := range f.routers {
		if !r.isDead {
			s.waiting += r.pool.queue.Len()
		}
	}
	f.stats.samples = append(f.stats.samples, s)
}

// kill ends a router. Its requests at the engines go on.
func (f *fleet) kill(i int) {
	f.routers[i].isDead = true
}

// detectionTime is how long it takes until the routers know that another one is dead.
const detectionTime = 1200 * time.Millisecond

// killHub ends a hub with its router. Its group goes to the other hubs once these know.
func (f *fleet) killHub(h *testHub) {
	h.isDead = true
	f.kill(h.members[0])
	f.at(f.now+detectionTime, func() {
		f.hubs = slices.DeleteFunc(f.hubs, func(x *testHub) bool { return x == h })
		for _, i := range h.members {
			to := f.hubs[i%len(f.hubs)]
			to.members = append(to.members, i)
			f.routers[i].hub = to
		}
	})
}

// stopOffers ends the arrivals.
func (f *fleet) stopOffers() { f.areOffersStopped = true }

// limitSum returns the sum of the live routers' limits.
func (f *fleet) limitSum() float64 {
	sum := 0.0
	for _, r := range f.routers {
		if !r.isDead {
			sum += r.pool.limit
		}
	}
	return sum
}
