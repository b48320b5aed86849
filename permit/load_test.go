package permit

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// testLoad is the demand on a testFleet.
type testLoad struct {
	routers, servers, slots int
	// demand is a multiple of what the slots can do.
	demand    float64
	work      time.Duration
	objective time.Duration
	// deadline is that of each request; 0 stands for 4 times the objective.
	deadline time.Duration
	duration time.Duration
	// slowness returns how long requests take at a server, as a multiple of their work, at a time.
	slowness func(server int, at time.Duration) float64
	// burst returns a multiple of the demand at a time; nil stands for 1.
	burst func(at time.Duration) float64
	// capacity is the work per second that the slots can do; 0 stands for the number of slots.
	capacity float64
	// weights are the parts of the demand of the workspaces; nil stands for one workspace. The first
	// one's requests go to a quarter of the routers.
	weights []float64
	// priorities are those of the workspaces; nil stands for 0.
	priorities []int
	// press keeps the pool under pressure.
	press bool
	// faults happens beside the requests; it may be nil.
	faults func(ctx context.Context, f *testFleet)
}

// testResult is what became of the requests.
type testResult struct {
	sync.Mutex
	offered, refused, rejected, late, inTime int
	// goodput is the work done in time as a part of what the slots could do.
	goodput    float64
	waits      []time.Duration
	refusals   []time.Duration
	workInTime []time.Duration
	workspaces map[string]*[40]float64
	// offeredWork is the work that each workspace asked for.
	offeredWork map[string]float64
	// idle is the longest time for which less than 0.85 of the slots were in use while requests waited.
	idle time.Duration
	// bytesPerSecond is what the busiest router, the coordinator, sends and receives.
	bytesPerSecond float64
}

func (r *testResult) String() string {
	return fmt.Sprintf("offered %d, in time %d, late %d, refused %d, rejected by servers %d; goodput %.3f, "+
		"p99 of the wait %v, of refusals %v (at most %v); %.1f KB/s at the busiest router",
		r.offered, r.inTime, r.late, r.refused, r.rejected, r.goodput, quantile(r.waits, 0.99),
		quantile(r.refusals, 0.99), quantile(r.refusals, 1), r.bytesPerSecond/1000)
}

func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(share*float64(len(values))), len(values)-1)].Round(10 * time.Microsecond)
}

// policy sends one request and returns whether it was run, with the time at which a server began.
type policy interface {
	start(ctx context.Context, f *testFleet)
	send(ctx context.Context, r *testRouter, request *slipwick.PermitRequest, result *testResult,
	) (began time.Time, ok bool)
}

// warmUp is the time at the start of a load that isn't counted.
const warmUp = time.Second

// run runs the load in virtual time.
func (l testLoad) run(t *testing.T, p policy) *testResult {
	t.Helper()
	result := &testResult{
		workspaces:  make(map[string]*[40]float64),
		offeredWork: make(map[string]float64),
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleetOf(l.routers, l.servers, l.slots)
		begin := time.Now()
		if l.slowness != nil {
			for i, s := range f.servers {
				s.slowness = func() float64 { return l.slowness(i, time.Since(begin)) }
			}
		}
		p.start(ctx, f)
		if l.faults != nil {
			go l.faults(ctx, f)
		}
		go l.watch(ctx, f, result)
		if l.capacity == 0 {
			l.capacity = float64(l.servers * l.slots)
		}
		perSecond := l.demand * l.capacity / l.work.Seconds()
		random := rand.New(rand.NewPCG(3, uint64(l.routers)))
		var requests sync.WaitGroup
		pressedAt := time.Time{}
		for time.Since(begin) < l.duration+warmUp {
			if l.press && time.Since(pressedAt) > pressureMemory/2 {
				f.press()
				pressedAt = time.Now()
			}
			factor := 1.0
			if l.burst != nil {
				factor = l.burst(time.Since(begin))
			}
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / (perSecond * factor)))
			w, r := 0, f.routers[random.IntN(len(f.routers))]
			if l.weights != nil {
				if w = l.draw(random.Float64()); w == 0 {
					r = f.routers[random.IntN(max(len(f.routers)/4, 1))]
				}
			}
			// The work of requests is 0.5 to 1.5 times the mean.
			work := time.Duration((0.5 + random.Float64()) * float64(l.work))
			requests.Go(func() { l.send(ctx, begin, p, r, w, work, result) })
		}
		requests.Wait()
		result.bytesPerSecond = float64(f.network.mostBytes()) / (l.duration + warmUp).Seconds()
		// Datagrams that were sent before now arrive within maxLateness: an ask among them may get a permit,
		// which its router gives back.
		time.Sleep(maxLateness + time.Second)
		if _, ok := p.(*permits); ok {
			checkNoLeases(t, f, "after the load")
		}
		cancel()
		time.Sleep(time.Second)
	})
	total := 0.0
	for _, work := range result.workInTime {
		total += work.Seconds()
	}
	result.goodput = total / (l.capacity * l.duration.Seconds())
	return result
}

// watch notes for how long slots are idle while requests wait.
func (l testLoad) watch(ctx context.Context, f *testFleet, result *testResult) {
	time.Sleep(warmUp)
	busySince := time.Now()
	coordinator := f.coordinator()
	for end := time.Now().Add(l.duration); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		running, slots, waiting := 0, 0, 0
		for _, s := range f.servers {
			s.mu.Lock()
			running, slots = running+s.running, slots+s.Slots
			s.mu.Unlock()
		}
		if e := coordinator.current(); e != nil {
			waiting = e.PoolStatus(testPool).Waiting
		}
		if waiting == 0 || float64(running) >= 0.85*float64(slots) {
			busySince = time.Now()
		}
		result.Lock()
		result.idle = max(result.idle, time.Since(busySince))
		result.Unlock()
	}
}

// inTimeShare returns the part of a workspace's work that was done in time.
func (r *testResult) inTimeShare(workspace string) float64 {
	sum := 0.0
	if periods := r.workspaces[workspace]; periods != nil {
		for _, work := range periods {
			sum += work
		}
	}
	return sum / r.offeredWork[workspace]
}

// draw returns a workspace at random by weight.
func (l testLoad) draw(x float64) int {
	sum := 0.0
	for _, w := range l.weights {
		sum += w
	}
	for i, w := range l.weights {
		if x -= w / sum; x < 0 {
			return i
		}
	}
	return len(l.weights) - 1
}

func (l testLoad) send(ctx context.Context, begin time.Time, p policy, r *testRouter, workspace int,
	work time.Duration, result *testResult,
) {
	request := newRequest(work, l.objective)
	name := fmt.Sprint("workspace-", workspace)
	request.Workspace = name
	if l.priorities != nil {
		request.Priority = l.priorities[workspace]
	}
	// The estimate of the work is off by up to a quarter.
	request.Work = time.Duration((0.75 + 0.5*rand.New(rand.NewPCG(4, uint64(work))).Float64()) * float64(work))
	request.Objective = request.Arrived.Add(l.objective - request.Work)
	request.Deadline = request.Arrived.Add(cmp.Or(l.deadline, 4*l.objective))
	began, ok := p.send(context.WithValue(ctx, workKey{}, work), r, request, result)
	ended := time.Now()
	result.Lock()
	defer result.Unlock()
	at := request.Arrived.Sub(begin) - warmUp
	if at < 0 {
		return
	}
	result.offered++
	if at < l.duration {
		result.offeredWork[name] += work.Seconds()
	}
	switch {
	case !ok:
		result.refused++
		result.refusals = append(result.refusals, ended.Sub(request.Arrived))
	case ended.After(request.Arrived.Add(l.objective)):
		result.late++
	default:
		result.inTime++
		result.waits = append(result.waits, began.Sub(request.Arrived))
		if at < l.duration {
			result.workInTime = append(result.workInTime, work)
			if result.workspaces[name] == nil {
				result.workspaces[name] = &[40]float64{}
			}
			result.workspaces[name][int(at/(2*time.Second))] += work.Seconds()
		}
	}
}

// workKey is the key of the request's true work in its context.
type workKey struct{}

// serve sends a request to a server and returns the result after both ways.
func (r *testRouter) serve(ctx context.Context, s *testServer, result *testResult) (began time.Time, ok bool) {
	travel := centreDelays[r.centre][s.centre]
	time.Sleep(travel)
	ended := make(chan struct{})
	s.serve(ctx.Value(workKey{}).(time.Duration), func(at time.Time, served bool) {
		began, ok = at, served
		close(ended)
	})
	<-ended
	time.Sleep(travel)
	if !ok {
		result.Lock()
		result.rejected++
		result.Unlock()
	}
	return began, ok
}

// permits sends requests with the permits of this package.
type permits struct{}

func (*permits) start(ctx context.Context, f *testFleet) {
	f.start(ctx)
}

func (*permits) send(ctx context.Context, r *testRouter, request *slipwick.PermitRequest, result *testResult,
) (began time.Time, ok bool) {
	for {
		permit, err := r.client().Acquire(ctx, request)
		if err != nil {
			return began, false
		}
		if began, ok = r.use(ctx, permit, result); ok {
			return began, true
		}
	}
}

// use sends a request with a permit and releases it.
func (r *testRouter) use(ctx context.Context, permit slipwick.Permit, result *testResult) (began time.Time, ok bool) {
	s := r.fleet.server(permit.Backend)
	if s == nil {
		s = r.leastLoaded()
	}
	began, ok = r.serve(ctx, s, result)
	evidence := slipwick.EvidenceGood
	if !ok {
		evidence = slipwick.EvidenceShed
		r.client().RecordShed(testPool)
	}
	r.client().Release(permit, evidence)
	return began, ok
}

// leastLoaded returns a server at random, in proportion to its free slots by the exchanged counts.
func (r *testRouter) leastLoaded() *testServer {
	capacity := r.PoolCapacity(testPool)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	var best *testServer
	least := math.Inf(1)
	for _, c := range capacity.Servers {
		cost := c.InFlight + 3*r.random.Float64()
		if c.DataCentre != r.DataCentre {
			cost += 1.5
		}
		if cost < least {
			best, least = r.fleet.server(c.ID), cost
		}
	}
	return best
}
