package permit

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
)

// returningCallers sends requests with permits; each refused caller returns once as it was told.
type returningCallers struct {
	permits

	mu               sync.Mutex
	returned, inTime int
}

func (p *returningCallers) send(ctx context.Context, r *testRouter, request *slipwick.PermitRequest,
	result *testResult,
) (began time.Time, ok bool) {
	permit, err := r.client().Acquire(ctx, request)
	if err == nil {
		return r.use(ctx, permit, result)
	}
	refusal, typed := slipwick.AsError(err)
	if !typed || refusal.RetryAfter <= 0 {
		return began, false
	}
	time.Sleep(refusal.RetryAfter)
	again := *request
	again.Arrived = time.Now()
	again.Objective = again.Arrived.Add(request.Objective.Sub(request.Arrived))
	again.Deadline = again.Arrived.Add(request.Deadline.Sub(request.Arrived))
	again.Returning = true
	permit, err = r.client().Acquire(ctx, &again)
	granted := err == nil && !time.Now().After(again.Objective)
	p.mu.Lock()
	p.returned++
	if granted {
		p.inTime++
	}
	p.mu.Unlock()
	if err != nil {
		return began, false
	}
	return r.use(ctx, permit, result)
}

// todaysChoice sends each request at once to the server that balance.Balancer chooses, and after a
// rejection to another one, as a gateway without admission control does. Updates are exchanged every
// 200 ms.
type todaysChoice struct {
	balancers map[*testRouter]*balance.Balancer
}

func (p *todaysChoice) start(ctx context.Context, f *testFleet) {
	p.balancers = make(map[*testRouter]*balance.Balancer)
	for _, r := range f.routers {
		b := balance.New(r.DataCentre)
		var entries []balance.Entry
		for _, s := range f.servers {
			entries = append(entries, balance.Entry{
				Backend: slipwick.Backend{
					ID:         s.ID,
					Address:    "10.1.0.1:80",
					DataCentre: s.DataCentre,
					Slots:      s.Slots,
				},
				Pool: testPool,
			})
		}
		b.SetBackends(entries)
		var others []string
		for _, other := range f.routers {
			if other != r {
				others = append(others, other.ID)
			}
		}
		b.SetPeers(others, len(others))
		p.balancers[r] = b
	}
	go func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			time.Sleep(200 * time.Millisecond)
			p.exchange(f, sequence)
		}
	}()
}

func (p *todaysChoice) exchange(f *testFleet, sequence uint64) {
	for _, r := range f.routers {
		update := p.balancers[r].TakeUpdate()
		for _, other := range f.routers {
			if other != r {
				p.balancers[other].ReceiveCounts(r.ID, sequence, update.InFlight)
				p.balancers[other].ReceiveOutcomes(update.Outcomes)
				p.balancers[other].ReceiveSpeedCounts(update.Speeds)
			}
		}
	}
}

func (p *todaysChoice) send(ctx context.Context, r *testRouter, request *slipwick.PermitRequest, result *testResult,
) (began time.Time, ok bool) {
	b := p.balancers[r]
	var tried []string
	for range 2 {
		lease, err := b.Acquire(&balance.Request{
			Pool:    request.Pool,
			Exclude: tried,
		})
		if err != nil {
			return began, false
		}
		b.RecordSend(lease)
		if began, ok = r.serve(ctx, r.fleet.server(lease.Backend.ID), result); ok {
			b.RecordResponseStart(lease)
			b.RecordResponseTime(lease)
			b.Release(lease, slipwick.EvidenceGood)
			return began, true
		}
		b.Release(lease, slipwick.EvidenceShed)
		tried = append(tried, lease.Backend.ID)
	}
	return began, false
}

// rateShares is the alternative without a coordinator: each router sends within its part of the pool's
// rate, which it computes every 200 ms from the completions and the demand that all routers report. A
// request waits for its turn at its router, or is refused at once. The choice of the server is that of
// todaysChoice.
type rateShares struct {
	todaysChoice

	mu      sync.Mutex
	demand  map[*testRouter]float64
	buckets map[*testRouter]*rate.Limiter
	// work and completed are the seconds that responses took, and their number.
	work, completed float64
}

func (p *rateShares) start(ctx context.Context, f *testFleet) {
	p.todaysChoice.start(ctx, f)
	p.demand = make(map[*testRouter]float64)
	p.buckets = make(map[*testRouter]*rate.Limiter)
	for _, r := range f.routers {
		p.buckets[r] = rate.NewLimiter(rate.Inf, 1)
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(200 * time.Millisecond)
			p.divide(f)
		}
	}()
}

// divide divides the rate half by demand and half equally.
func (p *rateShares) divide(f *testFleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.completed == 0 {
		return
	}
	slots, demand := 0, 0.0
	for _, s := range f.servers {
		slots += s.Slots
	}
	for _, d := range p.demand {
		demand += d
	}
	// A tenth of the rate is left over, so that the servers' queues empty.
	perSecond := 0.9 * float64(slots) / (p.work / p.completed)
	for r, b := range p.buckets {
		part := (1/float64(len(f.routers)) + p.demand[r]/max(demand, 1)) / 2
		b.SetLimit(rate.Limit(perSecond * part))
		b.SetBurst(max(int(perSecond*part*0.05), 1))
		p.demand[r] *= 0.8
	}
	p.work, p.completed = p.work*0.8, p.completed*0.8
}

func (p *rateShares) send(ctx context.Context, r *testRouter, request *slipwick.PermitRequest, result *testResult,
) (began time.Time, ok bool) {
	p.mu.Lock()
	p.demand[r]++
	reservation := p.buckets[r].Reserve()
	wait := reservation.Delay()
	if time.Until(request.Objective)-travelMargin < wait {
		reservation.Cancel()
		p.mu.Unlock()
		return began, false
	}
	p.mu.Unlock()
	time.Sleep(wait)
	if began, ok = p.todaysChoice.send(ctx, r, request, result); ok {
		p.mu.Lock()
		// The bucket's rate follows from how long servers work on a request.
		p.work += ctx.Value(workKey{}).(time.Duration).Seconds()
		p.completed++
		p.mu.Unlock()
	}
	return began, ok
}

// centralQueue is the reference with complete information: each request gets the fastest free slot, or
// waits in one queue for the next one that is freed.
type centralQueue struct {
	mu    sync.Mutex
	free  map[*testServer]int
	queue []chan *testServer
}

func (p *centralQueue) start(_ context.Context, f *testFleet) {
	p.free = make(map[*testServer]int)
	for _, s := range f.servers {
		p.free[s] = s.Slots
	}
}

func (p *centralQueue) send(ctx context.Context, r *testRouter, _ *slipwick.PermitRequest, result *testResult,
) (began time.Time, ok bool) {
	s := p.take(r)
	time.Sleep(centreDelays[r.centre][s.centre])
	ended := make(chan struct{})
	s.serve(ctx.Value(workKey{}).(time.Duration), func(at time.Time, served bool) {
		began, ok = at, served
		p.giveBack(s)
		close(ended)
	})
	<-ended
	time.Sleep(centreDelays[r.centre][s.centre])
	if !ok {
		result.Lock()
		result.rejected++
		result.Unlock()
	}
	return began, ok
}

func (p *centralQueue) take(r *testRouter) *testServer {
	p.mu.Lock()
	var best *testServer
	for _, s := range r.fleet.servers {
		if p.free[s] > 0 && (best == nil || s.slowness() < best.slowness()) {
			best = s
		}
	}
	if best != nil {
		p.free[best]--
		p.mu.Unlock()
		return best
	}
	turn := make(chan *testServer, 1)
	p.queue = append(p.queue, turn)
	p.mu.Unlock()
	return <-turn
}

func (p *centralQueue) giveBack(s *testServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		p.free[s]++
		return
	}
	p.queue[0] <- s
	p.queue = p.queue[1:]
}
