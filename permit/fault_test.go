package permit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/permit/permitpb"
)

// usualWork is that of a short request, longWork that of one whose end isn't expected during a test.
const (
	usualWork = 35 * time.Millisecond
	longWork  = 10 * time.Second
)

// newStartedFleet returns a fleet that is under pressure, its coordinator and another router.
func newStartedFleet(t *testing.T, routers, servers int) (f *testFleet, coordinator, other *testRouter) {
	f = newFleetOf(routers, servers, 6)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Second)
	})
	f.start(ctx)
	f.press()
	coordinator = f.coordinator()
	other = f.routers[0]
	if other == coordinator {
		other = f.routers[1]
	}
	return f, coordinator, other
}

// acquire gets n permits for a router, for requests with the work that have a minute.
func (r *testRouter) acquire(t *testing.T, n int, work time.Duration) []slipwick.Permit {
	t.Helper()
	var permits []slipwick.Permit
	for range n {
		r.client().RecordShed(testPool)
		permit, err := r.client().Acquire(t.Context(), newRequest(work, time.Minute))
		if err != nil || permit.ID == 0 {
			t.Fatalf("got %+v, %v, want a permit", permit, err)
		}
		permits = append(permits, permit)
	}
	return permits
}

func (f *testFleet) checkLeases(t *testing.T, when string, want int) {
	t.Helper()
	if got, _ := f.leases(); got != want {
		t.Errorf("%s: got %d leases, want %d", when, got, want)
	}
}

// TestDatagramFaults guards against leaked slots and double grants when one datagram in ten is lost, one
// in ten doubled and one in fifty up to a second late, at twice the slots' demand.
func TestDatagramFaults(t *testing.T) {
	for _, routers := range []int{8, 84, 330} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			t.Parallel()
			l := testLoad{
				routers:   routers,
				servers:   4,
				slots:     6,
				demand:    2,
				work:      35 * time.Millisecond,
				objective: 135 * time.Millisecond,
				duration:  4 * time.Second,
				faults: func(_ context.Context, f *testFleet) {
					f.network.mu.Lock()
					defer f.network.mu.Unlock()
					f.network.lost, f.network.doubled, f.network.delayed = 0.1, 0.1, 0.02
				},
			}
			r := l.run(t, &permits{})
			t.Log("permits:", r)
			if r.goodput < 0.8 {
				t.Errorf("got a goodput of %.3f, want at least 0.8", r.goodput)
			}
		})
	}
}

// TestDeadRouterLosesItsPermits guards against slots that a dead router keeps until the deadline of its
// requests, a minute here.
func TestDeadRouterLosesItsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, other := newStartedFleet(t, 31, 4)
		other.acquire(t, 10, usualWork)
		f.checkLeases(t, "while it holds permits", 10)
		f.network.setCut(other, true)
		f.setLive(func(r *testRouter) bool { return r != other })
		time.Sleep(100 * time.Millisecond)
		f.checkLeases(t, "100 ms after the router was declared dead", 0)
	})
}

// TestLostReleasesAreFound guards against slots that stay occupied since the release was lost.
func TestLostReleasesAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, other := newStartedFleet(t, 31, 4)
		kept := other.acquire(t, 3, usualWork)
		lost := other.acquire(t, 5, usualWork)
		f.network.setCut(other, true)
		for _, permit := range lost {
			other.client().Release(permit, slipwick.EvidenceGood)
		}
		time.Sleep(10 * time.Millisecond)
		f.network.setCut(other, false)
		time.Sleep(500 * time.Millisecond)
		f.checkLeases(t, "500 ms after the releases were lost", 3)
		for _, permit := range kept {
			other.client().Release(permit, slipwick.EvidenceGood)
		}
		time.Sleep(20 * time.Millisecond)
		checkNoLeases(t, f, "after all releases")
	})
}

// TestRestartedRouterLosesItsPermits guards against permits of an earlier run that a restarted router at
// the same address keeps, or takes for its own, since the IDs begin anew.
func TestRestartedRouterLosesItsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, other := newStartedFleet(t, 31, 4)
		old := other.acquire(t, 8, usualWork)
		other.stop()
		time.Sleep(20 * time.Millisecond)
		other.start(t.Context())
		defer func() { other.stop() }()
		fresh := other.acquire(t, 2, usualWork)
		if fresh[0].ID != old[0].ID {
			t.Errorf("got ID %d, want %d as in the earlier run", fresh[0].ID, old[0].ID)
		}
		f.checkLeases(t, "after the restart", 2)
		for _, permit := range fresh {
			other.client().Release(permit, slipwick.EvidenceGood)
		}
		time.Sleep(20 * time.Millisecond)
		checkNoLeases(t, f, "after the releases of the new run")

		other.acquire(t, 4, usualWork)
		other.stop()
		other.start(t.Context())
		time.Sleep(500 * time.Millisecond)
		f.checkLeases(t, "500 ms after a restart without requests", 0)
	})
}

// TestRestartedCoordinatorStartsEmpty guards against leases that nobody knows any more and permits that
// can't be released: the coordinator restarts while requests wait and run.
func TestRestartedCoordinatorStartsEmpty(t *testing.T) {
	l := testLoad{
		routers:   31,
		servers:   4,
		slots:     6,
		demand:    2,
		work:      35 * time.Millisecond,
		objective: 135 * time.Millisecond,
		duration:  4 * time.Second,
		faults: func(ctx context.Context, f *testFleet) {
			time.Sleep(3 * time.Second)
			c := f.coordinator()
			c.stop()
			c.start(ctx)
		},
	}
	r := l.run(t, &permits{})
	t.Log("permits:", r)
	if r.goodput < 0.9 {
		t.Errorf("got a goodput of %.3f, want at least 0.9", r.goodput)
	}
}

// burst sends requests from each router at once and returns the longest time of a decision and how many
// of them took longer than 1 ms. Requests hold their permits for 35 ms.
func (f *testFleet) burst(ctx context.Context, each int, from func(*testRouter) bool,
) (longest time.Duration, slow int) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	for _, r := range f.routers {
		if !from(r) {
			continue
		}
		r.client().RecordShed(testPool)
		for range each {
			requests.Go(func() {
				began := time.Now()
				permit, err := r.client().Acquire(ctx, newRequest(35*time.Millisecond, 135*time.Millisecond))
				took := time.Since(began)
				mu.Lock()
				longest = max(longest, took)
				if took > time.Millisecond {
					slow++
				}
				mu.Unlock()
				if err == nil {
					time.Sleep(35 * time.Millisecond)
					r.client().Release(permit, slipwick.EvidenceGood)
				}
			})
		}
	}
	requests.Wait()
	return longest, slow
}

// TestSilentCoordinatorCostsOneWait guards against requests that are held for a coordinator that is an
// earlier version, dead or hangs: each router waits for it once, for 20 ms, and then decides alone, until
// the coordinator answers again.
func TestSilentCoordinatorCostsOneWait(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(f *testFleet, c *testRouter)
		mend  func(f *testFleet, c *testRouter)
	}{
		{
			name:  "cut off",
			fault: func(f *testFleet, c *testRouter) { f.network.setCut(c, true) },
			mend:  func(f *testFleet, c *testRouter) { f.network.setCut(c, false) },
		},
		{
			name:  "hangs",
			fault: func(f *testFleet, c *testRouter) { f.network.setHung(c) },
			mend:  func(f *testFleet, c *testRouter) { f.network.resume(c.Address) },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, c, _ := newStartedFleet(t, 31, 4)
				others := func(r *testRouter) bool { return r != c }
				tc.fault(f, c)
				longest, _ := f.burst(t.Context(), 2, others)
				if longest > minBound {
					t.Errorf("got a decision after %v, want at most %v", longest, minBound)
				}
				for range 20 {
					if longest, slow := f.burst(t.Context(), 2, others); slow > 0 {
						t.Fatalf("got %d decisions that took up to %v, want all at once", slow, longest)
					}
				}
				granted := int64(0)
				for _, r := range f.routers {
					granted += r.client().Decisions.LocalGranted.Load()
				}
				// 21 bursts take 0.8 s; each router has a burst of one besides its part of the rate.
				if most := int64(31 + 24*800/35); granted > most {
					t.Errorf("got %d requests sent without the coordinator, want at most %d", granted, most)
				}
				tc.mend(f, c)
				time.Sleep(maxPingInterval)
				f.burst(t.Context(), 1, others)
				time.Sleep(20 * time.Millisecond)
				local := func() (n int64) {
					for _, r := range f.routers {
						n += r.client().Decisions.LocalGranted.Load() + r.client().Decisions.LocalRefused.Load()
					}
					return n
				}
				before := local()
				f.burst(t.Context(), 1, others)
				if got := local() - before; got > 0 {
					t.Errorf("got %d requests decided without the coordinator after it was back, want none", got)
				}
				time.Sleep(500 * time.Millisecond)
				checkNoLeases(t, f, "500 ms after the last request")
			})
		})
	}
}

// TestHangWhileRequestsWait guards against queued requests that are held until their deadline when the
// coordinator hangs after it confirmed that they are queued.
func TestHangWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c, other := newStartedFleet(t, 31, 1)
		other.acquire(t, 3, longWork)
		time.Sleep(initialHeld)
		held := other.acquire(t, 3, longWork)
		began := time.Now()
		done := make(chan time.Duration, 1)
		go func() {
			_, _ = other.client().Acquire(t.Context(), newRequest(35*time.Millisecond, 800*time.Millisecond))
			done <- time.Since(began)
		}()
		time.Sleep(10 * time.Millisecond)
		if _, waiting := f.leases(); waiting != 1 {
			t.Fatalf("got %d requests queued with %d permits held, want one", waiting, len(held))
		}
		f.network.setHung(c)
		if got, want := <-done, 2*maxBound+10*time.Millisecond; got > want {
			t.Errorf("got a decision after %v, want one within %v", got, want)
		}
		f.network.resume(c.Address)
		time.Sleep(time.Second)
		f.checkLeases(t, "after the coordinator went on", 6)
	})
}

// TestNextCoordinatorTakesOver guards against a pool without coordinator after the first one died, and
// against a new one that grants all slots while permits of the former are in use.
func TestNextCoordinatorTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c, other := newStartedFleet(t, 31, 4)
		held := other.acquire(t, 10, usualWork)
		f.network.setCut(c, true)
		f.setLive(func(r *testRouter) bool { return r != c })
		time.Sleep(2 * fleetInterval)
		var next []slipwick.Permit
		for range 24 {
			request := newRequest(35*time.Millisecond, 60*time.Millisecond)
			permit, err := other.client().Acquire(t.Context(), request)
			if err != nil {
				break
			}
			next = append(next, permit)
		}
		if len(next) < 8 || len(next) > 16 {
			t.Errorf("got %d permits of the new coordinator at once, want about half of 24", len(next))
		}
		for _, permit := range append(held, next...) {
			other.client().Release(permit, slipwick.EvidenceGood)
		}
		time.Sleep(50 * time.Millisecond)
		if got := f.coordinator().current().PoolStatus(testPool).Leases; got != 0 {
			t.Errorf("got %d leases at the new coordinator, want none", got)
		}
		f.network.setCut(c, false)
		f.setLive(func(*testRouter) bool { return true })
		time.Sleep(time.Second)
		checkNoLeases(t, f, "after the former coordinator came back")
	})
}

// TestTwoCoordinators guards against overfull servers and leaked slots while half of the routers see
// another coordinator than the others.
func TestTwoCoordinators(t *testing.T) {
	var fleet *testFleet
	l := testLoad{
		routers:   31,
		servers:   4,
		slots:     6,
		demand:    2,
		work:      35 * time.Millisecond,
		objective: 135 * time.Millisecond,
		duration:  6 * time.Second,
		faults: func(_ context.Context, f *testFleet) {
			fleet = f
			time.Sleep(2 * time.Second)
			for _, s := range f.servers {
				s.mu.Lock()
				s.most, s.rejected = 0, 0
				s.mu.Unlock()
			}
			c := f.coordinator()
			f.mu.Lock()
			for _, r := range f.routers[:15] {
				for _, other := range f.live {
					if other.ID != c.ID {
						f.views[r.ID] = append(f.views[r.ID], other)
					}
				}
			}
			f.mu.Unlock()
			time.Sleep(2 * time.Second)
			f.mu.Lock()
			clear(f.views)
			f.mu.Unlock()
		},
	}
	t.Log("permits:", l.run(t, &permits{}))
	for _, s := range fleet.servers {
		if s.rejected > 0 || s.most > 18 {
			t.Errorf("got up to %d requests at %s and %d rejected, want at most 18, twice its limit, and none", s.most, s.ID,
				s.rejected)
		}
	}
}

// TestCutOffRouterKeepsToItsPart guards against a router that takes all others for dead, coordinates the
// pool alone, and uses all slots.
func TestCutOffRouterKeepsToItsPart(t *testing.T) {
	for _, routers := range []int{8, 84} {
		synctest.Test(t, func(t *testing.T) {
			f, _, other := newStartedFleet(t, routers, 4)
			other.acquire(t, 1, usualWork)
			f.mu.Lock()
			f.views[other.ID] = []slipwick.Router{other.Router}
			f.mu.Unlock()
			f.network.setCut(other, true)
			time.Sleep(100 * time.Millisecond)
			granted := 0
			for range 24 {
				request := newRequest(longWork, time.Minute)
				request.Objective = request.Arrived.Add(60 * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
				if _, err := other.client().Acquire(ctx, request); err == nil {
					granted++
				}
				cancel()
			}
			if want := max(24/routers, 1); granted > want {
				t.Errorf("%d routers: got %d permits at a router that is cut off, want at most %d", routers, granted, want)
			}
		})
	}
}

// TestServersThatLeave guards against permits for a server that left, for an excluded one, and for more
// than its slots after it restarted under its ID.
func TestServersThatLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, other := newStartedFleet(t, 31, 3)
		other.acquire(t, 1, usualWork)
		time.Sleep(initialHeld)
		f.setGone("plain-0", true)
		time.Sleep(2 * capacityInterval)
		for range 8 {
			request := newRequest(35*time.Millisecond, time.Minute)
			request.Exclude = []string{"plain-1"}
			request.Objective = time.Now().Add(25 * time.Millisecond)
			permit, err := other.client().Acquire(t.Context(), request)
			if err == nil && permit.Backend != "plain-2" {
				t.Errorf("got a permit for %q, want plain-2: plain-0 left and plain-1 is excluded", permit.Backend)
			}
		}
		request := newRequest(35*time.Millisecond, 135*time.Millisecond)
		request.Exclude = []string{"plain-1", "plain-2"}
		if permit, err := other.client().Acquire(t.Context(), request); err != nil || permit != (slipwick.Permit{}) {
			t.Errorf("got %+v, %v for a request that excludes all usable servers, want the zero permit", permit, err)
		}
		f.setGone("plain-1", true)
		f.setGone("plain-2", true)
		time.Sleep(2 * capacityInterval)
		permit, err := other.client().Acquire(t.Context(), newRequest(35*time.Millisecond, time.Second))
		if err != nil || permit != (slipwick.Permit{}) {
			t.Errorf("got %+v, %v without usable servers, want the zero permit", permit, err)
		}
	})
}

// TestRestartedServerKeepsItsLeases guards against requests above a server's limit after it left the list
// and came back under its ID, as after a restart or an ejection, while routers still hold its permits; and
// against leases that remain once these are released.
func TestRestartedServerKeepsItsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, other := newStartedFleet(t, 31, 2)
		other.acquire(t, 1, longWork)
		time.Sleep(initialHeld)
		held := other.acquire(t, 9, longWork)
		f.setGone("plain-0", true)
		time.Sleep(100 * time.Millisecond)
		f.checkLeases(t, "while the server is away", 10)
		f.setGone("plain-0", false)
		time.Sleep(2 * capacityInterval)
		granted := make(map[string]int)
		for _, permit := range append(held, other.acquire(t, 2, longWork)...) {
			granted[permit.Backend]++
			other.client().Release(permit, slipwick.EvidenceUnreachable)
		}
		if granted["plain-0"] > 6 || granted["plain-1"] > 6 {
			t.Errorf("got permits %v, want at most the 6 slots of each server", granted)
		}
		time.Sleep(20 * time.Millisecond)
		f.checkLeases(t, "after the releases", 1)
	})
}

// TestRejectionPausesServer guards against requests in flight above the leases of a server that has just
// rejected one.
func TestRejectionPausesServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, other := newStartedFleet(t, 31, 1)
		other.acquire(t, 1, longWork)
		time.Sleep(initialHeld)
		held := other.acquire(t, 3, longWork)
		other.client().Release(held[0], slipwick.EvidenceShed)
		time.Sleep(10 * time.Millisecond)
		began := time.Now()
		other.acquire(t, 1, longWork)
		if got := time.Since(began); got < 50*time.Millisecond {
			t.Errorf("got a permit above the server's leases %v after a rejection, want none for %v", got, shedPause)
		}
		f.checkLeases(t, "after the pause", 4)
	})
}

// TestLateRequestIsServed guards against a request that is refused at its arrival or held beyond its
// objective and then refused, though it can be served by its deadline: it comes after those that can meet
// their objective, and before later ones of these once its deadline is near.
func TestLateRequestIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, other := newStartedFleet(t, 31, 1)
		other.acquire(t, 1, longWork)
		time.Sleep(initialHeld)
		held := other.acquire(t, 5, longWork)
		order := make(chan string, 5)
		queue := func(name string, work, objective, deadline time.Duration) {
			request := newRequest(work, work+objective)
			request.Deadline = request.Arrived.Add(work + deadline)
			go func() {
				if _, err := other.client().Acquire(t.Context(), request); err != nil {
					t.Errorf("%s: got %v, want a permit", name, err)
				}
				order <- name
			}()
			time.Sleep(20 * time.Millisecond)
		}
		expect := func(names ...string) {
			for _, want := range names {
				other.client().Release(held[0], slipwick.EvidenceNone)
				held = held[1:]
				if got := <-order; got != want {
					t.Errorf("got a permit for the request %q, want %q first", got, want)
				}
			}
		}
		queue("becomes late", usualWork, 200*time.Millisecond, 4*time.Second)
		time.Sleep(300 * time.Millisecond)
		queue("late on arrival", usualWork, 0, 20*time.Second)
		// Its permit lasts until the end.
		queue("in time", longWork, 5*time.Second, 20*time.Second)
		tooLate := newRequest(usualWork, 50*time.Millisecond)
		if _, err := other.client().Acquire(t.Context(), tooLate); !slipwick.IsKind(err, slipwick.KindOverloaded) {
			t.Errorf("got %v for a request that can't be served by its deadline, want a refusal", err)
		}
		expect("in time")
		time.Sleep(3 * time.Second)
		queue("in time, later", usualWork, 2*time.Second, 8*time.Second)
		expect("becomes late", "in time, later", "late on arrival")
		time.Sleep(5 * time.Millisecond)
		f.checkLeases(t, "after all", 6)
	})
}

// TestCallersThatGiveUp guards against queued requests and permits of callers that disconnected: before
// the answer arrived, and while queued.
func TestCallersThatGiveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, other := newStartedFleet(t, 31, 1)
		for _, patience := range []time.Duration{
			100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond,
			40 * time.Millisecond,
		} {
			var requests sync.WaitGroup
			for range 20 {
				requests.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), patience)
					defer cancel()
					permit, err := other.client().Acquire(ctx, newRequest(35*time.Millisecond, 5*time.Second))
					if err == nil {
						other.client().Release(permit, slipwick.EvidenceNone)
						return
					}
					typed, ok := slipwick.AsError(err)
					if !ok || typed.Outcome != slipwick.OutcomeNotRun {
						t.Errorf("got %v, want an error that says that the request was not run", err)
					}
				})
			}
			requests.Wait()
			time.Sleep(50 * time.Millisecond)
			checkNoLeases(t, f, fmt.Sprintf("50 ms after callers gave up after %v", patience))
		}
	})
}

// TestSuspensionEndsLeases guards against leases that last longer by the time for which the box of the
// coordinator was suspended.
func TestSuspensionEndsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		offset := time.Hour
		defer clock.SetSuspensionOffset(func() time.Duration { return offset })()
		f, c, other := newStartedFleet(t, 31, 4)
		other.acquire(t, 10, usualWork)
		f.network.setHung(c)
		offset += 2 * time.Minute
		clock.DetectSuspension()
		time.Sleep(2 * leaseInterval)
		f.checkLeases(t, "after a suspension of 2 min", 0)
		f.network.resume(c.Address)
		other.acquire(t, 1, usualWork)
		f.checkLeases(t, "after the next request", 1)
	})
}

// TestLimitsOfWorkspaces guards against requests above the operators' limits of a workspace and queue.
func TestLimitsOfWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, other := newStartedFleet(t, 31, 4)
		other.acquire(t, 1, usualWork)
		time.Sleep(initialHeld)
		c := other.client()
		var waiting sync.WaitGroup
		refused := 0
		var mu sync.Mutex
		for range 6 {
			request := newRequest(35*time.Millisecond, 135*time.Millisecond)
			request.Workspace, request.MaxInFlight, request.MaxQueued = "limited", 2, 1
			waiting.Go(func() {
				permit, err := c.Acquire(t.Context(), request)
				if err != nil {
					mu.Lock()
					refused++
					mu.Unlock()
					return
				}
				if got := f.coordinator().current().PoolStatus(testPool).Workspaces["limited"].Leases; got > 2 {
					t.Errorf("got %d requests of the workspace in flight, want at most 2", got)
				}
				time.Sleep(35 * time.Millisecond)
				c.Release(permit, slipwick.EvidenceGood)
			})
		}
		waiting.Wait()
		if refused != 3 {
			t.Errorf("got %d of 6 requests refused, want 3: two in flight, one queued", refused)
		}
		granted := 0
		for range 100 {
			request := newRequest(100*time.Millisecond, time.Second)
			request.Workspace, request.MaxWork = "metered", 0.5
			if permit, err := c.Acquire(t.Context(), request); err == nil {
				granted++
				c.Release(permit, slipwick.EvidenceGood)
			}
		}
		if granted < 4 || granted > 12 {
			t.Errorf("got %d requests of 100 ms within a second, want about 5 of the burst and 5 of the rate", granted)
		}
	})
}

// TestLongRequestKeepsItsLease guards against the lease of a request with minutes left that ends after one,
// while the request still runs: its server then gets more requests than it has slots for.
func TestLongRequestKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, other := newStartedFleet(t, 31, 4)
		request := newRequest(usualWork, 5*time.Minute)
		permit, err := other.client().Acquire(t.Context(), request)
		if err != nil || permit.ID == 0 {
			t.Fatalf("got %+v, %v, want a permit", permit, err)
		}
		time.Sleep(4 * time.Minute)
		f.checkLeases(t, "a minute before the deadline", 1)
		time.Sleep(time.Minute + 2*leaseInterval)
		f.checkLeases(t, "after the deadline", 0)
	})
}

// TestConfirmationsLeaveRoomForTheAnswer guards against a grant that is lost because the request has not yet
// read the confirmations before it, as of an ask that was repeated: the request would then go on without
// its coordinator, and the permit be given back unused.
func TestConfirmationsLeaveRoomForTheAnswer(t *testing.T) {
	const address, id = "10.0.0.1:7003", 7
	c := NewClient()
	w := &waitingRequest{
		id:          id,
		pool:        newPoolState(testPool),
		coordinator: address,
		answers:     make(chan *permitpb.Answer, answerCapacity),
	}
	c.waiting[id] = w
	packet := &permitpb.Packet{
		Run: c.run,
	}
	for range answerCapacity + 1 {
		packet.Answers = append(packet.Answers, &permitpb.Answer{
			Id:      id,
			Verdict: permitpb.Verdict_VERDICT_QUEUED,
		})
	}
	packet.Answers = append(packet.Answers, &permitpb.Answer{
		Id:      id,
		Backend: "plain-0",
	})
	c.Receive(address, packet)
	var last *permitpb.Answer
	for len(w.answers) > 0 {
		last = <-w.answers
	}
	if last == nil || last.Verdict != permitpb.Verdict_VERDICT_GRANTED {
		t.Errorf("got %v as the last answer, want the grant", last)
	}
}
