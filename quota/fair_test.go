package quota

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// offerEvenly offers the load, as a multiple of the slots, by workspaces of equal demand at the routers.
func (f *fleet) offerEvenly(prefix string, workspaces, priority int, load float64, routers []int) []string {
	var names []string
	for i := range workspaces {
		names = append(names, fmt.Sprint(prefix, i))
		f.offer(demand{
			workspace: names[i],
			priority:  priority,
			load:      load * testSlots / float64(workspaces),
			routers:   routers,
		})
	}
	return names
}

// TestUrgentRequestsComeFirst has urgent requests for 0.8 of the slots, and less urgent ones for 3 times
// the slots. It guards against urgent work that waits behind other work, and against starvation of the
// other work.
func TestUrgentRequestsComeFirst(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		routers := len(f.routers)
		f.offerEvenly("urgent", 6, 0, 0.8, allRouters(routers))
		f.offerEvenly("other", 12, 1, 3, allRouters(routers))
		f.stats.from, f.stats.until = 3*time.Second, 7*time.Second
		f.run(12 * time.Second)
		urgent := f.answeredShare("urgent")
		other := sumOf(f.stats.answered, "other") / (testSlots * 4)
		idle, least := f.longestIdle(0.85)
		t.Logf("urgent %.3f in time, others use %.3f of the slots, under 0.85 for %v, least %.3f",
			urgent, other, idle, least)
		if urgent < 0.97 {
			t.Errorf("got %.3f of the urgent work in time, want at least 0.97", urgent)
		}
		if other < guardShare {
			t.Errorf("got %.3f of the slots for less urgent work, want at least %.3f", other, guardShare)
		}
	})
}

// TestOneWorkspaceFarAboveItsShare has 23 workspaces that ask for 0.8 of their share each, and one that
// rises to 15 times its share, at all routers or at four of them. It guards against a loss of the others.
func TestOneWorkspaceFarAboveItsShare(t *testing.T) {
	share := testSlots / 24
	for _, routers := range fleetSizes {
		for _, at := range []int{4, routers} {
			t.Run(fmt.Sprint(routers, "at", at), func(t *testing.T) {
				t.Parallel()
				f := newFleet(routers)
				f.offerEvenly("w", 23, 0, 0.8*23/24, allRouters(routers))
				f.offer(demand{
					workspace: "heavy",
					load:      0.8 * share,
					routers:   allRouters(routers),
				})
				f.offer(demand{
					workspace: "heavy",
					load:      14.2 * share,
					routers:   allRouters(at),
					from:      10 * time.Second,
				})
				rate := func(until time.Duration) float64 {
					f.resetStats()
					f.stats.until = until
					f.run(until + maxWaitAndService)
					return f.answeredShare("w")
				}
				f.run(2 * time.Second)
				before := rate(6 * time.Second)
				after := rate(14 * time.Second)
				t.Logf("others in time: %.3f before, %.3f after; least %.3f of the slots in use", before, after, f.leastUse())
				if after < before-0.03*before {
					t.Errorf("got %.3f of the others' work in time after %.3f, want a loss of 0.03 at most", after, before)
				}
			})
		}
	}
}

// maxWaitAndService is how long after its arrival a request that was served in time has ended.
const maxWaitAndService = testObjective + maxService*time.Second

// answeredShare returns the share of the work that was served in time, of the workspaces with a prefix.
func (f *fleet) answeredShare(prefix string) float64 {
	return sumOf(f.stats.answered, prefix) / sumOf(f.stats.offered, prefix)
}

func sumOf(byName map[string]float64, prefix string) float64 {
	sum := 0.0
	for name, v := range byName {
		if strings.HasPrefix(name, prefix) {
			sum += v
		}
	}
	return sum
}

func (f *fleet) leastUse() float64 {
	_, least := f.longestIdle(0)
	return least
}

// TestSpreadingGainsNothing has two workspaces of the same demand among others, of which one uses all
// routers and the other few. It guards against shares by router.
func TestSpreadingGainsNothing(t *testing.T) {
	for _, routers := range fleetSizes {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			f := newFleet(routers)
			f.offerEvenly("w", 10, 0, 3, allRouters(routers))
			for name, at := range map[string]int{"spread": routers, "narrow": max(routers/8, 2)} {
				f.offer(demand{
					workspace: name,
					load:      testSlots / 4,
					routers:   allRouters(at),
				})
			}
			f.run(6 * time.Second)
			f.resetStats()
			f.run(14 * time.Second)
			spread, narrow := f.stats.held["spread"], f.stats.held["narrow"]
			t.Logf("work done: %.0f by the one at all routers, %.0f by the one at few", spread, narrow)
			if spread > 1.1*narrow || narrow > 1.1*spread {
				t.Errorf("got %.0f and %.0f of work, want them within 0.1 of each other", spread, narrow)
			}
		})
	}
}

// TestUnevenDemand sends half of 3 times the slots' work to an eighth of the routers, and then moves it
// to another eighth. It guards against slots that stay at routers without demand.
func TestUnevenDemand(t *testing.T) {
	for _, routers := range fleetSizes {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			f := newFleet(routers)
			all := allRouters(routers)
			eighth := max(routers/8, 1)
			f.offerEvenly("w", 24, 0, 1.5, all)
			for i, list := range [][]int{all[:eighth], all[len(all)-eighth:]} {
				f.offer(demand{
					workspace: "w0",
					load:      1.5 * testSlots,
					routers:   list,
					from:      time.Duration(5*i) * time.Second,
					until:     time.Duration(5*i+5) * time.Second,
				})
			}
			f.stats.from = 3 * time.Second
			f.run(10 * time.Second)
			goodput := total(f.stats.inTime) / (testSlots * 7)
			idle, least := f.longestIdle(0.85)
			t.Logf("goodput %.3f, under 0.85 for %v, least %.3f, most in flight %.3f",
				goodput, idle, least, float64(f.stats.maxInFlight)/testSlots)
			if goodput < 0.9 {
				t.Errorf("got a goodput of %.3f, want at least 0.9", goodput)
			}
			if idle > 500*time.Millisecond {
				t.Errorf("got less than 0.85 of the slots in use for %v, want at most 0.5 s", idle)
			}
		})
	}
}

// TestManyWorkspaces has 330 workspaces for 2,880 slots, of which updates list few. It guards against
// slots that stay idle because their use is summed up.
func TestManyWorkspaces(t *testing.T) {
	t.Parallel()
	f, names := newManyWorkspaces()
	f.run(8 * time.Second)
	goodput := total(f.stats.inTime) / (testSlots * 5)
	jain := jainOf(names, f.stats.held)
	t.Logf("goodput %.3f, Jain over 5 s %.3f, over 2 s %.3f", goodput, jain, f.leastJain(names))
	if goodput < 0.9 {
		t.Errorf("got a goodput of %.3f, want at least 0.9", goodput)
	}
}

// TestJainOfManyWorkspaces has the same load. It guards against workspaces of equal weight and demand that get
// unequal parts of the slots within any 2 s.
func TestJainOfManyWorkspaces(t *testing.T) {
	t.Parallel()
	f, names := newManyWorkspaces()
	f.run(8 * time.Second)
	if got := f.leastJain(names); got < 0.98 {
		t.Errorf("got a Jain's index of %.3f over 2 s, want at least 0.98", got)
	}
}

// newManyWorkspaces returns the largest fleet with demand of 3 times the slots by 330 workspaces for 2,880 slots.
func newManyWorkspaces() (f *fleet, names []string) {
	routers := fleetSizes[len(fleetSizes)-1]
	f = newFleet(routers)
	names = f.offerEvenly("w", int(testSlots*330/2880), 0, 3, allRouters(routers))
	f.stats.from = 3 * time.Second
	return f, names
}

func jainOf(names []string, held map[string]float64) float64 {
	sum, squares := 0.0, 0.0
	for _, name := range names {
		sum += held[name]
		squares += held[name] * held[name]
	}
	return sum * sum / (float64(len(names)) * squares)
}

// TestNoRefusalWhileSlotsAreFree offers 0.5 to 0.8 of what the slots can do. It guards against refusals
// and waits that a limit of a router causes while the fleet has room.
func TestNoRefusalWhileSlotsAreFree(t *testing.T) {
	for _, routers := range fleetSizes {
		for _, load := range []float64{0.5, 0.8} {
			t.Run(fmt.Sprint(routers, "x", load), func(t *testing.T) {
				t.Parallel()
				f := newFleet(routers)
				f.offerEvenly("w", 24, 0, load, allRouters(routers))
				f.stats.from = 2 * time.Second
				f.run(8 * time.Second)
				refused := float64(f.stats.refused) / float64(f.stats.arrived)
				t.Logf("refused %.4f", refused)
				if refused > 0.001 {
					t.Errorf("got %.4f of the requests refused, want none but for the age of views", refused)
				}
			})
		}
	}
}

// TestRefusedCallersReturn has callers follow Retry-After once while twice what the slots can do arrives
// for 4 s. It guards against values that bring callers back into the same overload.
func TestRefusedCallersReturn(t *testing.T) {
	for _, routers := range fleetSizes {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			f := newFleet(routers)
			f.returns = true
			f.offerEvenly("w", 24, 0, 0.6, allRouters(routers))
			for i := range 24 {
				f.offer(demand{
					workspace: fmt.Sprint("w", i),
					load:      1.4 * testSlots / 24,
					routers:   allRouters(routers),
					from:      time.Second,
					until:     5 * time.Second,
				})
			}
			f.run(25 * time.Second)
			share := float64(f.stats.returnedOK) / float64(f.stats.returned)
			t.Logf("%d of %d returned callers got a permit in time: %.3f", f.stats.returnedOK, f.stats.returned, share)
			if f.stats.returned == 0 || share < 0.9 {
				t.Errorf("got %.3f of the returned callers served in time, want at least 0.9", share)
			}
		})
	}
}
