package permit

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/permit/permitpb"
)

var measure = flag.Bool("measure", false, "run the loads also without permits, and print the results")

// compare logs the results of the same load with shares by rate, and without admission control.
func (l testLoad) compare(t *testing.T) {
	t.Helper()
	if *measure {
		t.Log("shares by rate:", l.run(t, &rateShares{}))
		t.Log("today's choice:", l.run(t, &todaysChoice{}))
	}
}

// TestGoodputUnderOverload guards against slots that stay idle, or work for responses that are too
// late, while the demand is 2, 4 and 6 times what 4 servers of 6 slots can do. Requests take 35 ms of
// work at a mean, callers want a response within 135 ms.
func TestGoodputUnderOverload(t *testing.T) {
	for _, routers := range []int{8, 31, 84, 330} {
		for _, demand := range []float64{2, 4, 6} {
			t.Run(fmt.Sprintf("%d routers, %.0f times the slots", routers, demand), func(t *testing.T) {
				t.Parallel()
				l := testLoad{
					routers:   routers,
					servers:   4,
					slots:     6,
					demand:    demand,
					work:      35 * time.Millisecond,
					objective: 135 * time.Millisecond,
					duration:  3 * time.Second,
				}
				r := l.run(t, &permits{})
				t.Log("permits:", r)
				if r.goodput < 0.9 {
					t.Errorf("got a goodput of %.3f, want at least 0.9", r.goodput)
				}
				r.checkRefusals(t, l.objective)
				if r.idle > 500*time.Millisecond {
					t.Errorf("got less than 0.85 of the slots in use for %v while requests waited, want at most 0.5 s", r.idle)
				}
				l.compare(t)
			})
		}
	}
}

// checkRefusals fails if the time to a refusal is above an eighth of the objective at p99.
func (r *testResult) checkRefusals(t *testing.T, objective time.Duration) {
	t.Helper()
	if got, want := quantile(r.refusals, 0.99), objective/8; got > want {
		t.Errorf("got %v to a refusal at p99, want at most %v", got, want)
	}
}

// TestUrgentRequestsComeFirst guards against urgent requests that are refused or late because others
// fill the pool: they ask for half of the slots, all together for 4 times the slots.
func TestUrgentRequestsComeFirst(t *testing.T) {
	for _, routers := range []int{8, 84, 330} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			t.Parallel()
			l := testLoad{
				routers:    routers,
				servers:    4,
				slots:      6,
				demand:     4,
				work:       35 * time.Millisecond,
				objective:  135 * time.Millisecond,
				duration:   4 * time.Second,
				weights:    []float64{1, 3, 2, 2},
				priorities: []int{0, 1, 1, 2},
			}
			r := l.run(t, &permits{})
			t.Log("permits:", r)
			r.checkRefusals(t, l.objective)
			if got := r.inTimeShare("workspace-0"); got < 0.97 {
				t.Errorf("got %.3f of the urgent work done in time, want at least 0.97", got)
			}
		})
	}
}

// TestGreedyWorkspaceHarmsNoOther guards against a workspace whose demand is 15 times its share, through a
// quarter of the routers: five others of the same weight ask for 0.6 of the slots in all.
func TestGreedyWorkspaceHarmsNoOther(t *testing.T) {
	for _, routers := range []int{8, 84, 330} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			t.Parallel()
			l := testLoad{
				routers:   routers,
				servers:   4,
				slots:     6,
				demand:    0.6 + 15.0/6,
				work:      35 * time.Millisecond,
				objective: 135 * time.Millisecond,
				duration:  4 * time.Second,
				weights:   []float64{15.0 / 6, 0.12, 0.12, 0.12, 0.12, 0.12},
			}
			r := l.run(t, &permits{})
			t.Log("permits:", r)
			r.checkRefusals(t, l.objective)
			// Without the greedy workspace all of their work is done in time.
			for w := 1; w < len(l.weights); w++ {
				if got := r.inTimeShare(fmt.Sprint("workspace-", w)); got < 0.97 {
					t.Errorf("got %.3f of the work of workspace %d done in time, want at least 0.97", got, w)
				}
			}
		})
	}
}

// TestWaitBesideCentralQueue guards against requests that wait while suitable slots are free: four
// servers of 6 slots and different speeds, at 0.78 of what they can do together. The reference is a
// central queue that knows all without messages. Neither includes the way of the response.
func TestWaitBesideCentralQueue(t *testing.T) {
	speeds := []float64{0.7, 0.9, 1.2, 1.6}
	for _, routers := range []int{8, 31, 84, 330} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			t.Parallel()
			l := testLoad{
				routers:   routers,
				servers:   4,
				slots:     6,
				demand:    0.78,
				work:      35 * time.Millisecond,
				objective: time.Second,
				duration:  60 * time.Second,
				slowness:  func(server int, _ time.Duration) float64 { return speeds[server] },
			}
			for _, s := range speeds {
				l.capacity += float64(l.slots) / s
			}
			central := l.run(t, &centralQueue{})
			r := l.run(t, &permits{})
			t.Log("central queue:", central)
			t.Log("permits:", r)
			l.compare(t)
			if r.refused > 0 || r.rejected > 0 {
				t.Errorf("got %d refused and %d rejected requests, want none", r.refused, r.rejected)
			}
			got, want := quantile(r.waits, 0.99), quantile(central.waits, 0.99)*3/2
			if got > want {
				t.Errorf("got a wait of %v at p99, want at most %v, 1.5 times that of the central queue", got, want)
			}
		})
	}
}

// slowTimes returns a slowness of 2.5 at one server for 600 ms every 4 s.
func slowTimes(server int, at time.Duration) float64 {
	if server == 0 && at%(4*time.Second) > 3400*time.Millisecond {
		return 2.5
	}
	return 1
}

// TestSlowedServers guards against requests that are sent to a server that other processes on its box
// slow down 2.5 times for 600 ms every 4 s: one of three at 0.72 of the slots, and the only one left of
// three. Callers want a response within 135 ms.
func TestSlowedServers(t *testing.T) {
	for _, routers := range []int{31, 84} {
		for _, servers := range []int{1, 3} {
			t.Run(fmt.Sprintf("%d routers, %d servers", routers, servers), func(t *testing.T) {
				t.Parallel()
				l := testLoad{
					routers:   routers,
					servers:   servers,
					slots:     6,
					demand:    0.72,
					work:      35 * time.Millisecond,
					objective: 135 * time.Millisecond,
					duration:  20 * time.Second,
					slowness:  slowTimes,
				}
				r, today := l.run(t, &permits{}), l.run(t, &todaysChoice{})
				t.Log("permits:", r)
				if *measure {
					t.Log("shares by rate:", l.run(t, &rateShares{}))
				}
				t.Log("today's choice:", today)
				if r.rejected > today.rejected/10 {
					t.Errorf("got %d requests rejected by servers, want at most a tenth of %d", r.rejected, today.rejected)
				}
				got, want := r.late+r.refused, (today.late+today.refused)/4
				if servers == 1 {
					// While it is slow, the only server can do little more than half of the requests in time.
					want = (today.late + today.refused) * 3 / 4
				}
				if got > want {
					t.Errorf("got %d late or refused requests, want at most %d of the %d today", got, want,
						today.late+today.refused)
				}
				if latest := quantile(r.refusals, 1); latest > l.objective {
					t.Errorf("got a refusal after %v, want none after the objective of %v", latest, l.objective)
				}
			})
		}
	}
}

// TestOneServerLeft guards against requests that are refused or rejected though they could be served late:
// two of three servers are gone for 6 s, and other processes slow down the one that is left 2.5 times for
// 600 ms every 4 s. Callers want a response within 120 ms and wait for 1 s.
func TestOneServerLeft(t *testing.T) {
	for _, routers := range []int{31, 84} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			t.Parallel()
			l := testLoad{
				routers: routers,
				servers: 3,
				slots:   6,
				// 324 requests a second.
				demand:    0.27,
				work:      15 * time.Millisecond,
				objective: 120 * time.Millisecond,
				deadline:  time.Second,
				duration:  30 * time.Second,
				slowness:  slowTimes,
				faults: func(_ context.Context, f *testFleet) {
					time.Sleep(12 * time.Second)
					f.setGone("plain-1", true)
					f.setGone("plain-2", true)
					time.Sleep(6 * time.Second)
					f.setGone("plain-1", false)
					f.setGone("plain-2", false)
				},
			}
			r := l.run(t, &permits{})
			t.Log("permits:", r)
			if got, want := r.refused+r.rejected, r.offered*2/100; got > want {
				t.Errorf("got %d refused and %d rejected requests, want at most %d of %d", r.refused, r.rejected, want,
					r.offered)
			}
		})
	}
}

// TestFairShares guards against a workspace that gets more than its share because it asks for more, or
// because its requests use few routers: six workspaces of equal weight ask for 4 times the slots in
// all, one of them for half of that through a quarter of the routers.
func TestFairShares(t *testing.T) {
	for _, routers := range []int{8, 31, 84, 330} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			t.Parallel()
			l := testLoad{
				routers:   routers,
				servers:   4,
				slots:     6,
				demand:    4,
				work:      35 * time.Millisecond,
				objective: 135 * time.Millisecond,
				duration:  6 * time.Second,
				weights:   []float64{10, 2, 2, 2, 2, 2},
			}
			r := l.run(t, &permits{})
			t.Log("permits:", r)
			r.checkRefusals(t, l.objective)
			for period := range int(l.duration / (2 * time.Second)) {
				if got := r.jain(period); got < 0.98 {
					t.Errorf("from %d s on: got Jain's index %.3f, want at least 0.98", 2*period, got)
				}
			}
		})
	}
}

// jain returns Jain's index of the workspaces' work in a period of 2 s.
func (r *testResult) jain(period int) float64 {
	sum, squares := 0.0, 0.0
	for _, w := range r.workspaces {
		sum += w[period]
		squares += w[period] * w[period]
	}
	return sum * sum / (float64(len(r.workspaces)) * squares)
}

// TestCoordinatorBytes counts what a coordinator sends and receives at 100, 200 and 400 requests a
// second, with IP and UDP headers, and checks that the bytes of a request don't grow with the rate.
func TestCoordinatorBytes(t *testing.T) {
	for _, routers := range []int{8, 84, 330} {
		var first float64
		for _, perSecond := range []float64{100, 200, 400} {
			l := testLoad{
				routers:   routers,
				servers:   4,
				slots:     6,
				work:      35 * time.Millisecond,
				objective: 135 * time.Millisecond,
				duration:  5 * time.Second,
				press:     true,
			}
			l.demand = perSecond * l.work.Seconds() / float64(l.servers*l.slots)
			r := l.run(t, &permits{})
			each := r.bytesPerSecond / perSecond
			t.Logf("%d routers, %.0f requests/s: %.1f KB/s, %.0f bytes a request; from %.0f requests/s on above 24 KB/s",
				routers, perSecond, r.bytesPerSecond/1000, each, 24000/each)
			if first == 0 {
				first = each
			}
			if each > 1.1*first {
				t.Errorf("got %.0f bytes a request, want at most 1.1 times the %.0f at 100 requests/s", each, first)
			}
		}
	}
}

// TestRefusedCallersReturn guards against callers who return as their refusal told them, and are refused
// again: 1.5 and 2 times the slots' demand, of which each refused caller returns once.
func TestRefusedCallersReturn(t *testing.T) {
	for _, demand := range []float64{1.5, 2} {
		for _, routers := range []int{8, 84} {
			t.Run(fmt.Sprintf("%d routers, %.1f times the slots", routers, demand), func(t *testing.T) {
				t.Parallel()
				p := &returningCallers{}
				l := testLoad{
					routers:   routers,
					servers:   4,
					slots:     6,
					demand:    demand,
					work:      35 * time.Millisecond,
					objective: 135 * time.Millisecond,
					duration:  5 * time.Second,
				}
				l.run(t, p)
				t.Logf("%d of %d callers who returned got a permit within their objective", p.inTime, p.returned)
				if p.returned < 100 || float64(p.inTime) < 0.9*float64(p.returned) {
					t.Errorf("got %d of %d callers who returned in time, want nine in ten", p.inTime, p.returned)
				}
			})
		}
	}
}

// BenchmarkAcquireWithRoom measures the decision that a request needs no permit.
func BenchmarkAcquireWithRoom(b *testing.B) {
	f := newFleetOf(31, 4, 6)
	c := newTestClient(f)
	request := newRequest(35*time.Millisecond, 135*time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		if permit, err := c.Acquire(b.Context(), request); err != nil || permit != (slipwick.Permit{}) {
			b.Fatalf("got %+v, %v, want the zero permit", permit, err)
		}
	}
}

// BenchmarkCoordinator measures a request at the coordinator in a fleet of 330 routers: the ask with its
// grant, and the release.
func BenchmarkCoordinator(b *testing.B) {
	f := newFleetOf(330, 4, 6)
	c := NewCoordinator()
	c.Self, c.Capacity = f.routers[0].Router, f.routers[0]
	c.Routers = func() []slipwick.Router { return f.live }
	c.Address = func(r slipwick.Router) string { return r.Address }
	c.Transport = &testLink{
		network: &testNetwork{
			cut: map[string]bool{
				"": true,
			},
		},
	}
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		from := f.routers[id%330].Address
		c.Receive(from, &permitpb.Packet{
			Run: 1,
			Asks: []*permitpb.Ask{{
				Id:          id,
				Pool:        testPool,
				WorkUs:      35000,
				ObjectiveMs: 100,
				DeadlineMs:  540,
			}},
		})
		c.Receive(from, &permitpb.Packet{
			Run: 1,
			Releases: []*permitpb.Release{{
				Id:       id,
				Evidence: uint32(slipwick.EvidenceGood),
				HeldUs:   35000,
			}},
		})
	}
}

func newTestClient(f *testFleet) *Client {
	c := NewClient()
	c.Self, c.Capacity = f.routers[0].Router, f.routers[0]
	c.Routers = func() []slipwick.Router { return f.live }
	c.Address = func(r slipwick.Router) string { return r.Address }
	c.Transport = &testLink{
		network: f.network,
		from:    c.Self.Address,
	}
	return c
}

// TestAcquireWithRoomDoesNotAllocate guards against allocations by requests that need no permit. The
// pressure is computed every few ms, and allocates.
func TestAcquireWithRoomDoesNotAllocate(t *testing.T) {
	c := newTestClient(newFleetOf(31, 4, 6))
	request := newRequest(35*time.Millisecond, 135*time.Millisecond)
	got := testing.AllocsPerRun(10000, func() {
		if _, err := c.Acquire(t.Context(), request); err != nil {
			t.Fatal(err)
		}
	})
	if got != 0 {
		t.Errorf("got %v allocations a request, want none", got)
	}
}
