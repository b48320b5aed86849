package permit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

const testPool = "plain"

// testRouter is one router of a testFleet.
type testRouter struct {
	slipwick.Router
	fleet    *testFleet
	centre   int
	endpoint *Endpoint
	stop     context.CancelFunc
	random   *rand.Rand
	// capacity replaces the counts of the fleet.
	capacity slipwick.CapacitySource
}

// PoolCapacity returns the servers with counts that are 200 to 400 ms old, or what the router's balancer
// knows.
func (r *testRouter) PoolCapacity(pool string) slipwick.PoolCapacity {
	if r.capacity != nil {
		return r.capacity.PoolCapacity(pool)
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	capacity := slipwick.PoolCapacity{
		Complete: true,
	}
	for i, s := range r.fleet.servers {
		c := s.ServerCapacity
		c.InFlight = float64(r.fleet.counts[i])
		switch {
		case r.fleet.gone[s.ID]:
		case r.fleet.ejected[s.ID]:
			capacity.Unavailable = append(capacity.Unavailable, c)
		default:
			capacity.Servers = append(capacity.Servers, c)
		}
	}
	return capacity
}

// testFleet is a fleet of routers before one pool.
type testFleet struct {
	network *testNetwork
	routers []*testRouter
	servers []*testServer

	mu sync.Mutex
	// live are the routers that all see; views replaces them for some routers.
	live  []slipwick.Router
	views map[string][]slipwick.Router
	gone  map[string]bool
	// ejected has the servers that all routers have ejected.
	ejected map[string]bool
	// counts are the requests in flight at the servers, 200 ms ago.
	counts []int
}

// newFleetOf returns a fleet whose routers and servers are spread over three data centres.
func newFleetOf(routers, servers, slots int) *testFleet {
	f := &testFleet{
		network: &testNetwork{
			random:  rand.New(rand.NewPCG(1, uint64(routers))),
			nodes:   make(map[string]*testRouter),
			cut:     make(map[string]bool),
			hung:    make(map[string]bool),
			stopped: make(map[string][]func()),
			bytes:   make(map[string]int),
		},
		views:   make(map[string][]slipwick.Router),
		gone:    make(map[string]bool),
		ejected: make(map[string]bool),
		counts:  make([]int, servers),
	}
	for i := range servers {
		f.servers = append(f.servers, &testServer{
			ServerCapacity: slipwick.ServerCapacity{
				ID:         fmt.Sprint("plain-", i),
				DataCentre: fmt.Sprint("dc", i%3),
				Slots:      slots,
			},
			centre:   i % 3,
			slowness: func() float64 { return 1 },
		})
	}
	for i := range routers {
		r := &testRouter{
			Router: slipwick.Router{
				ID:         fmt.Sprint("gateway-", i),
				Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7002).String(),
				DataCentre: fmt.Sprint("dc", i%3),
			},
			fleet:  f,
			centre: i % 3,
			random: rand.New(rand.NewPCG(2, uint64(i))),
		}
		f.routers = append(f.routers, r)
		f.live = append(f.live, r.Router)
		f.network.nodes[r.Address] = r
	}
	return f
}

// start starts all routers and the exchange of counts.
func (f *testFleet) start(ctx context.Context) {
	for _, r := range f.routers {
		r.start(ctx)
	}
	go func() {
		latest := make([]int, len(f.servers))
		for ctx.Err() == nil {
			time.Sleep(200 * time.Millisecond)
			f.mu.Lock()
			copy(f.counts, latest)
			f.mu.Unlock()
			for i, s := range f.servers {
				latest[i] = s.inFlight()
			}
		}
	}()
}

// start starts the router; one that ran before begins a new run.
func (r *testRouter) start(ctx context.Context) {
	ctx, r.stop = context.WithCancel(ctx)
	routers := func() []slipwick.Router {
		r.fleet.mu.Lock()
		defer r.fleet.mu.Unlock()
		if view := r.fleet.views[r.ID]; view != nil {
			return view
		}
		return r.fleet.live
	}
	link := &testLink{
		network: r.fleet.network,
		from:    r.Address,
	}
	address := func(r slipwick.Router) string { return r.Address }
	e := NewEndpoint(r.Router, routers, r, link, address)
	r.fleet.network.mu.Lock()
	r.endpoint = e
	r.fleet.network.mu.Unlock()
	go e.Run(ctx)
}

// setGone removes a server from the list of usable servers, or adds it again.
func (f *testFleet) setGone(server string, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone[server] = gone
}

// current returns the endpoint of the router's current run, client its client.
func (r *testRouter) current() *Endpoint {
	r.fleet.network.mu.Lock()
	defer r.fleet.network.mu.Unlock()
	return r.endpoint
}

func (r *testRouter) client() *Client {
	return r.current().Client
}

// setLive changes the list of live routers.
func (f *testFleet) setLive(keep func(*testRouter) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = nil
	for _, r := range f.routers {
		if keep(r) {
			f.live = append(f.live, r.Router)
		}
	}
}

// coordinator returns the router that all live routers see as the coordinator.
func (f *testFleet) coordinator() *testRouter {
	address := func(r slipwick.Router) string { return r.Address }
	f.mu.Lock()
	live := f.live
	f.mu.Unlock()
	want, _ := newFleet(live[0], func() []slipwick.Router { return live }, address).coordinator(testPool, time.Now())
	return f.routers[slices.IndexFunc(f.routers, func(r *testRouter) bool { return r.ID == want.ID })]
}

// press puts the pool under pressure at all routers.
func (f *testFleet) press() {
	for _, r := range f.routers {
		r.client().RecordShed(testPool)
	}
}

// leases returns the leases and waiting requests of all coordinators.
func (f *testFleet) leases() (leases, waiting int) {
	for _, r := range f.routers {
		status := r.current().PoolStatus(testPool)
		leases += status.Leases
		waiting += status.Waiting
	}
	return leases, waiting
}

func (f *testFleet) server(id string) *testServer {
	for _, s := range f.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// newRequest returns a request that arrives now, whose response has to be complete within the objective.
func newRequest(work, objective time.Duration) *slipwick.PermitRequest {
	now := clock.Now()
	return &slipwick.PermitRequest{
		Pool:      testPool,
		Workspace: "workspace-1",
		Work:      work,
		Arrived:   now,
		Objective: now.Add(objective - work),
		Deadline:  now.Add(objective),
	}
}

// checkNoLeases fails if any lease or waiting request is left.
func checkNoLeases(t *testing.T, f *testFleet, after string) {
	t.Helper()
	if leases, waiting := f.leases(); leases != 0 || waiting != 0 {
		t.Errorf("%s: got %d leases and %d waiting requests, want none", after, leases, waiting)
	}
	for _, r := range f.routers {
		if status := r.client().PoolStatus(testPool); status.Held != 0 || status.Queued != 0 {
			t.Errorf("%s: router %s holds %d permits and has %d requests queued, want none", after, r.ID,
				status.Held, status.Queued)
		}
	}
}

// TestFleetThatShrinksSlowlyCountsWithItsFormerSize guards against a router that is cut off, takes the others
// for dead one after the other, and then uses all slots of a pool: none of the steps loses half of the fleet.
func TestFleetThatShrinksSlowlyCountsWithItsFormerSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers = 100
		all := newFleetOf(routers, 1, 1).live
		live := all
		f := newFleet(all[0], func() []slipwick.Router { return live }, func(r slipwick.Router) string { return r.Address })
		check := func(when string, wantSize int, wantPart float64) {
			t.Helper()
			if size, part := f.size(clock.Now()), f.part(clock.Now()); size != wantSize || part != wantPart {
				t.Errorf("%s: got a fleet of %d and a part of %.2f, want %d and %.2f", when, size, part, wantSize, wantPart)
			}
		}
		check("all live", routers, 1)
		for len(live) > 1 {
			time.Sleep(2 * fleetInterval)
			live = live[:len(live)-1]
			f.size(clock.Now())
		}
		time.Sleep(fleetInterval)
		check("all others lost", routers, 1.0/routers)
		time.Sleep(fleetMemory * 8 / 10)
		check("a little earlier than forgotten", routers, 1.0/routers)
		time.Sleep(fleetMemory / 4)
		check("forgotten", 1, 1)
		live = all[:60]
		time.Sleep(fleetInterval)
		check("grown", 60, 1)
		live = all[:31]
		time.Sleep(fleetInterval)
		check("less than half lost", 31, 1)
		live = all[:30]
		time.Sleep(fleetInterval)
		check("half lost", 60, 0.5)
	})
}

// TestCutOffRouterWithoutLoadKnowsTheFleet guards against a router that learns the size of the fleet only from
// requests, and takes itself for the whole fleet if it is cut off before the first one.
func TestCutOffRouterWithoutLoadKnowsTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(10, 1, 4)
		r := f.routers[0]
		r.start(t.Context())
		time.Sleep(fleetMemory / 2)
		f.mu.Lock()
		f.views[r.ID] = []slipwick.Router{r.Router}
		f.mu.Unlock()
		time.Sleep(fleetMemory / 2)
		if got := r.endpoint.fleet.size(clock.Now()); got != 10 {
			t.Errorf("got a fleet of %d, want the 10 routers of %v ago", got, fleetMemory/2)
		}
		r.stop()
		<-r.endpoint.Done()
	})
}
