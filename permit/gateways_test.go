package permit

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/retry"
)

const (
	// retryAfterRejection is what a gateway tells callers whose request all servers rejected.
	retryAfterRejection = 150 * time.Millisecond
	// minRetryTime is the time that must be left for another send.
	minRetryTime = 10 * time.Millisecond
	// repeatableShare is the part of the requests that may be repeated: 53 of 187.
	repeatableShare = 0.28
)

// gateways sends requests as a gateway does whose servers are chosen by their speed: with permits or without.
// Rejected requests are sent again within the retry budget, failed ones once if they may be repeated. A caller
// whose request was refused repeats it once, at any router.
type gateways struct {
	todaysChoice

	usesPermits bool
	// fail returns what a request meets at a server: EvidenceTimeout if it gets no response, EvidenceError if
	// its connection breaks, EvidenceNone if it is served. It may be nil.
	fail func(server string, at time.Duration) slipwick.Evidence
	// leaving has the servers that leave, with the times.
	leaving map[string]time.Duration

	startedAt time.Time

	budgets map[*testRouter]*retry.Budget

	mu     sync.Mutex
	random *rand.Rand
	// refused counts the requests whose repetition was refused too, failed those that may have run and got
	// no response, repeated the callers who returned.
	refused, failed, repeated int
	// servedAgain counts the callers who were served in time, by the second request's arrival, and decided
	// has the times until a request was refused.
	servedAgain int
	decided     []time.Duration
	// offered and worth are those of the requests that must not be repeated, and that may be.
	offered, worth [2]float64
}

func (p *gateways) start(ctx context.Context, f *testFleet) {
	p.todaysChoice.start(ctx, f)
	p.startedAt, p.random = time.Now(), rand.New(rand.NewPCG(5, uint64(len(f.routers))))
	for server, at := range p.leaving {
		time.AfterFunc(at, func() { p.remove(server) })
	}
	p.budgets = make(map[*testRouter]*retry.Budget)
	for r, b := range p.balancers {
		b.SetSpeedAware(true)
		b.OnEjected = func(slipwick.Backend, time.Duration) {}
		p.budgets[r] = &retry.Budget{
			Ratio:   0.2,
			Extra:   20,
			Window:  10 * time.Second,
			Routers: func() int { return len(f.routers) },
		}
		r.capacity = b
	}
	if p.usesPermits {
		f.start(ctx)
	}
}

// draw returns a random number below 1.
func (p *gateways) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64()
}

// remove removes a server that leaves from the lists of all routers.
func (p *gateways) remove(server string) {
	for _, b := range p.balancers {
		b.ChangeBackends(&balance.Changes{
			Removed: []string{server},
		})
	}
}

func (p *gateways) send(ctx context.Context, r *testRouter, request *slipwick.PermitRequest, result *testResult,
) (began time.Time, ok bool) {
	request.Repeatable = p.draw() < repeatableShare
	first, isRepeated := *request, false
	defer func() { p.count(request, ok) }()
	for {
		g := &exchange{
			gateways: p,
			router:   r,
			request:  request,
			result:   result,
		}
		retryAfter, err := time.Duration(0), g.serve(ctx)
		p.mu.Lock()
		if err == nil {
			if isRepeated && isInTime(request) {
				p.servedAgain++
			}
			p.mu.Unlock()
			return g.servedAt, true
		}
		if g.runs == 0 {
			p.decided = append(p.decided, time.Since(request.Arrived))
		}
		refusal, refused := slipwick.AsError(err)
		switch {
		case !refused || refusal.Outcome != slipwick.OutcomeNotRun:
			p.failed++
		case isRepeated:
			p.refused++
		default:
			p.repeated++
			retryAfter = refusal.RetryAfter
		}
		p.mu.Unlock()
		if retryAfter == 0 {
			return began, false
		}
		time.Sleep(retryAfter)
		now := time.Now()
		*request, isRepeated = first, true
		request.Arrived = now
		request.Objective = now.Add(first.Objective.Sub(first.Arrived))
		request.Deadline = now.Add(first.Deadline.Sub(first.Arrived))
		// A router recognises only the callers that it refused itself.
		before := r
		r = r.fleet.routers[int(p.draw()*float64(len(r.fleet.routers)))]
		request.Returning = r == before
	}
}

// lateWorth is the worth of a late response relative to one in time.
const lateWorth = 0.3

// isInTime reports whether a response that arrives now is in time.
func isInTime(request *slipwick.PermitRequest) bool {
	return !time.Now().After(request.Objective.Add(request.Work))
}

// count counts a request that has ended.
func (p *gateways) count(request *slipwick.PermitRequest, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind := 0
	if request.Repeatable {
		kind = 1
	}
	p.offered[kind]++
	switch {
	case ok && isInTime(request):
		p.worth[kind]++
	case ok:
		p.worth[kind] += lateWorth
	}
}

// leastWorth returns the share of the worth of the kind of request that is served least.
func (p *gateways) leastWorth() float64 {
	return min(p.worth[0]/p.offered[0], p.worth[1]/p.offered[1])
}

// exchange is one request at one router.
type exchange struct {
	*gateways
	router  *testRouter
	request *slipwick.PermitRequest
	result  *testResult

	// servedAt is when a server began with the request.
	servedAt    time.Time
	sends, runs int
	exclude     []string
}

var errFailed = &slipwick.Error{
	Kind: slipwick.KindUnavailable,
}

// maxSends returns how often the request may be sent.
func (e *exchange) maxSends() int {
	if e.request.Repeatable {
		return 4
	}
	return 3
}

func (e *exchange) serve(ctx context.Context) error {
	b, budget := e.balancers[e.router], e.budgets[e.router]
	budget.CountRequest(testPool)
	for {
		lease, permit, err := e.acquire(ctx, b)
		if err != nil {
			return err
		}
		e.sends++
		e.exclude = append(e.exclude, lease.Backend.ID)
		evidence := e.exchangeWith(ctx, b, lease, permit)
		if evidence == slipwick.EvidenceTimeout {
			// RecordOverdue has counted it.
			b.Release(lease, slipwick.EvidenceNone)
		} else {
			b.Release(lease, evidence)
		}
		if permit.ID != 0 || (e.usesPermits && evidence == slipwick.EvidenceShed) {
			permit.Pool = testPool
			e.router.client().Release(permit, evidence)
		}
		switch evidence {
		case slipwick.EvidenceGood:
			return nil
		case slipwick.EvidenceShed:
			if permit.ID != 0 {
				e.exclude = e.exclude[:len(e.exclude)-1]
			}
		default:
			e.runs++
		}
		if !e.mayRetry(budget) {
			return e.unserved()
		}
	}
}

// mayRetry reports whether the request may be sent again, and takes that from the budget.
func (e *exchange) mayRetry(budget *retry.Budget) bool {
	if e.runs > 1 || (e.runs == 1 && !e.request.Repeatable) {
		return false
	}
	return time.Until(e.request.Deadline) >= minRetryTime && e.sends < e.maxSends() && budget.Take(testPool)
}

// unserved returns the error of a request that isn't sent again.
func (e *exchange) unserved() error {
	if e.runs > 0 {
		return errFailed
	}
	return refusal(testPool, "", retryAfterRejection)
}

// acquire returns a lease, and with permits the permit for it.
func (e *exchange) acquire(ctx context.Context, b *balance.Balancer) (*balance.Lease, slipwick.Permit, error) {
	selection := &balance.Request{
		Pool:    testPool,
		Exclude: e.exclude,
	}
	if !e.usesPermits {
		lease, err := b.Acquire(selection)
		return lease, slipwick.Permit{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, e.request.Deadline)
	defer cancel()
	request := *e.request
	request.Exclude = slices.Clone(e.exclude)
	request.Repeatable = request.Repeatable && e.runs == 0
	request.Retry = e.runs > 0
	for asks := 1; ; asks++ {
		ask := request
		permit, err := e.router.client().Acquire(ctx, &ask)
		if err != nil {
			return nil, permit, err
		}
		selection.Backend, selection.IgnoreEjection = permit.Backend, permit.IgnoreEjection
		lease, err := b.Acquire(selection)
		if err == nil {
			return lease, permit, nil
		}
		if permit.ID != 0 {
			e.router.client().Release(permit, slipwick.EvidenceNone)
		}
		if permit.Backend == "" || asks == 3 {
			return nil, permit, err
		}
		request.Exclude = append(slices.Clip(request.Exclude), permit.Backend)
	}
}

// exchangeWith sends the request to a server. One that gets no response ends at its deadline, or, if it may be
// sent again, at the balancer's bound for the first byte; with a permit, only a probe does.
func (e *exchange) exchangeWith(ctx context.Context, b *balance.Balancer, lease *balance.Lease,
	permit slipwick.Permit,
) slipwick.Evidence {
	s := e.router.fleet.server(lease.Backend.ID)
	b.RecordSend(lease)
	switch evidence := e.fault(s.ID); evidence {
	case slipwick.EvidenceNone:
	case slipwick.EvidenceTimeout:
		wait := time.Until(e.request.Deadline)
		mayEnd := e.request.Repeatable && e.runs == 0 && (permit.ID == 0 || permit.Probe)
		if bound := b.FirstByteTimeout(lease); mayEnd && bound > 0 {
			wait = min(wait, bound)
		}
		time.Sleep(wait)
		b.RecordOverdue(lease)
		return slipwick.EvidenceTimeout
	default:
		time.Sleep(2 * centreDelays[e.router.centre][s.centre])
		return evidence
	}
	began, ok := e.router.serve(ctx, s, e.result)
	if !ok {
		return slipwick.EvidenceShed
	}
	e.servedAt = began
	b.RecordResponseStart(lease)
	b.RecordResponseTime(lease)
	b.RecordLoad(lease, balance.Load{
		Running: s.inFlight(),
		Pace:    100 * s.slowness(),
	})
	return slipwick.EvidenceGood
}

func (e *exchange) fault(server string) slipwick.Evidence {
	if e.fail == nil {
		return slipwick.EvidenceNone
	}
	return e.fail(server, time.Since(e.startedAt))
}
