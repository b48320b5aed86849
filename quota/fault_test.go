package quota

import (
	"fmt"
	"testing"
	"time"
)

// fault is something that happens to a fleet in overload 5 s after its start.
type fault struct {
	name  string
	begin func(f *fleet)
}

var faults = []fault{
	{
		name: "hub dies",
		begin: func(f *fleet) {
			if len(f.hubs) > 0 {
				f.killHub(f.hubs[0])
			} else {
				f.kill(0)
			}
		},
	},
	{
		name:  "router dies with requests in flight",
		begin: func(f *fleet) { f.kill(len(f.routers) - 1) },
	},
	{
		name: "router restarts",
		begin: func(f *fleet) {
			last := len(f.routers) - 1
			f.kill(last)
			f.at(f.now+time.Second, func() { f.start(last) })
		},
	},
	{
		name:  "new router",
		begin: func(f *fleet) { f.start(1) },
	},
	{
		name:  "lost, doubled and late datagrams",
		begin: func(f *fleet) { f.loss = 0.05 },
	},
	{
		name: "an update of all routers is lost",
		begin: func(f *fleet) {
			f.loss = 1
			f.at(f.now+tick, func() { f.loss = 0 })
		},
	},
	{
		name: "servers restart",
		begin: func(f *fleet) {
			f.slots = int(testSlots) * 3 / 4
			f.at(f.now+2*time.Second, func() { f.slots = int(testSlots) })
		},
	},
}

// TestFaultsLeakNoSlots runs each fault in a fleet with twice the work that its slots can do. It guards
// against slots that nobody uses or that are used twice after the fault, and against permits that remain
// when all requests have ended.
func TestFaultsLeakNoSlots(t *testing.T) {
	for _, routers := range fleetSizes {
		for _, fault := range faults {
			t.Run(fmt.Sprint(routers, " ", fault.name), func(t *testing.T) {
				t.Parallel()
				f := newFleet(routers)
				if fault.name == "new router" {
					f.kill(1)
				}
				f.offerEvenly("w", 24, 0, 2, allRouters(routers))
				f.run(5 * time.Second)
				fault.begin(f)
				f.run(9 * time.Second)
				f.resetStats()
				f.run(11 * time.Second)
				goodput := total(f.stats.inTime) / (testSlots * 2)
				most := float64(f.stats.maxInFlight) / testSlots
				limits := f.limitSum() / testSlots
				t.Logf("goodput %.3f, most in flight %.3f, limits %.3f of the slots", goodput, most, limits)
				if goodput < 0.9 {
					t.Errorf("got a goodput of %.3f after the fault, want at least 0.9", goodput)
				}
				if most > 1.1 {
					t.Errorf("got %.3f of the slots in flight after the fault, want at most 1.1", most)
				}
				if limits < 0.95 || limits > 1.05 {
					t.Errorf("got limits of %.3f of the slots, want all slots", limits)
				}
				f.wantAllReleased(t)
			})
		}
	}
}

// wantAllReleased ends the arrivals and checks that no router keeps a permit.
func (f *fleet) wantAllReleased(t *testing.T) {
	t.Helper()
	f.stopOffers()
	f.run(f.now + testDeadline + 2*maxService*time.Second)
	for i, r := range f.routers {
		if r.isDead {
			continue
		}
		if r.pool.inFlight != 0 || r.pool.queue.Len() != 0 || len(r.pool.permits.free) != len(r.pool.permits.slots) {
			t.Fatalf("router %d: got %d permits and %d waiting requests after all ended, want none",
				i, r.pool.inFlight, r.pool.queue.Len())
		}
	}
}

// TestHalfOfTheFleetIsCutOff separates two halves of the fleet for 4 s under twice the work that the
// slots can do. Each half must use at most its part of the slots, so that they don't use the slots twice.
func TestHalfOfTheFleetIsCutOff(t *testing.T) {
	for _, routers := range fleetSizes {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			f := newFleet(routers)
			f.offerEvenly("w", 24, 0, 2, allRouters(routers))
			f.run(5 * time.Second)
			groups := max(len(f.hubs), routers)
			if len(f.hubs) > 0 {
				groups = len(f.hubs)
			}
			isLeft := func(i int) bool { return i%groups < groups/2 }
			f.isCut = func(a, b int) bool { return isLeft(a) != isLeft(b) }
			f.run(6500 * time.Millisecond)
			f.resetStats()
			f.run(9 * time.Second)
			most, left, isAbove := float64(f.stats.maxInFlight)/testSlots, 0.0, 0
			size := 0
			for i, r := range f.routers {
				if isLeft(i) {
					left += r.pool.limit
					size++
				}
				if !isLeft(i) && r.pool.limit > 3*testSlots/float64(routers) {
					isAbove++
				}
			}
			part := float64(size) / float64(routers)
			t.Logf("most in flight %.3f, limits of one half %.3f for a part of %.3f", most, left/testSlots, part)
			if most > 1.1 {
				t.Errorf("got %.3f of the slots in flight while the fleet is separated, want at most 1.1", most)
			}
			if left > 1.05*part*testSlots {
				t.Errorf("got limits of %.3f for one half, want at most %.3f", left/testSlots, part)
			}
			f.isCut = func(int, int) bool { return false }
			f.run(11 * time.Second)
			f.resetStats()
			f.run(14 * time.Second)
			goodput, most := total(f.stats.inTime)/(testSlots*3), float64(f.stats.maxInFlight)/testSlots
			t.Logf("after: goodput %.3f, most in flight %.3f", goodput, most)
			if goodput < 0.9 || most > 1.1 {
				t.Errorf("got a goodput of %.3f with up to %.3f in flight after, want at least 0.9 and at most 1.1", goodput, most)
			}
			f.wantAllReleased(t)
		})
	}
}

// TestOneRouterIsCutOff separates one router from all others. It must use at most its equal part.
func TestOneRouterIsCutOff(t *testing.T) {
	for _, routers := range fleetSizes {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			f := newFleet(routers)
			f.offerEvenly("w", 24, 0, 1, allRouters(routers))
			f.offerEvenly("more", 4, 0, 0.5, allRouters(1))
			f.run(5 * time.Second)
			f.isCut = func(a, b int) bool { return (a == 0) != (b == 0) }
			if len(f.hubs) > 0 {
				f.hubs[0].members = f.hubs[0].members[1:]
			}
			f.run(6200 * time.Millisecond)
			if got, want := f.routers[0].pool.limit, testSlots/float64(routers); got > want+0.001 {
				t.Errorf("got a limit of %.1f at the separated router, want at most %.1f", got, want)
			}
		})
	}
}

// TestStepsOfDemand raises the demand from 0.3 to 6 times the slots and back every 3 s, with several seeds. It
// guards against limits that swing: too many in flight after a rise, and idle slots while requests wait.
func TestStepsOfDemand(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		routers := len(f.routers)
		f.offerEvenly("w", 24, 0, 0.3, allRouters(routers))
		for step := range 2 {
			from := time.Duration(2+6*step) * time.Second
			for i := range 24 {
				f.offer(demand{
					workspace: fmt.Sprint("w", i),
					load:      5.7 * testSlots / 24,
					routers:   allRouters(routers),
					from:      from,
					until:     from + 3*time.Second,
				})
			}
		}
		f.stats.from = time.Second
		f.run(12 * time.Second)
		idle, least := f.longestIdle(0.85)
		most := float64(f.stats.maxInFlight) / testSlots
		t.Logf("most in flight %.3f, under 0.85 for %v, least %.3f", most, idle, least)
		if most > 1.1 {
			t.Errorf("got %.3f of the slots in flight, want at most 1.1", most)
		}
		if idle > 500*time.Millisecond {
			t.Errorf("got less than 0.85 of the slots in use for %v while requests waited, want at most 0.5 s", idle)
		}
	})
}

// TestRiseAfterAFall has the demand of 6 times the slots fall to 0.3 for a moment and rise again. It guards
// against limits that still follow the fall when demand rises: the engines should begin what routers send them
// within an eighth of the objective.
func TestRiseAfterAFall(t *testing.T) {
	for _, routers := range fleetSizes {
		for _, pause := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond} {
			t.Run(fmt.Sprint(routers, "after", pause), func(t *testing.T) {
				t.Parallel()
				f := newFleet(routers)
				const fall, end = 4 * time.Second, 6 * time.Second
				f.offerEvenly("w", 24, 0, 0.3, allRouters(routers))
				for i := range 24 {
					for _, d := range [][2]time.Duration{{time.Second, fall}, {fall + pause, end}} {
						f.offer(demand{
							workspace: fmt.Sprint("w", i),
							load:      5.7 * testSlots / 24,
							routers:   allRouters(routers),
							from:      d[0],
							until:     d[1],
						})
					}
				}
				f.stats.from = fall
				f.run(end)
				most, want := float64(f.stats.maxInFlight)/testSlots, 1+testObjective.Seconds()/8/meanWork().Seconds()
				t.Logf("most in flight %.3f of the slots", most)
				if most > want {
					t.Errorf("got %.3f of the slots in flight, want at most %.3f", most, want)
				}
			})
		}
	}
}
