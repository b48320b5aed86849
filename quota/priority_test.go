package quota

import (
	"fmt"
	"testing"
	"time"
)

// overload is the demand of three priorities in an overload, as multiples of the slots.
type overload struct {
	total float64
	// least is the part of the least urgent priority.
	least float64
	// heavy says that one workspace demands 12 times its share, in all priorities.
	heavy bool
}

func (o overload) String() string {
	name := fmt.Sprint(o.total, "x", o.least)
	if o.heavy {
		name += "heavy"
	}
	return name
}

var overloads = []overload{
	{total: 1.5, least: 0.1},
	{total: 1.5, least: 0.3},
	{total: 3, least: 0.1},
	{total: 3, least: 0.3},
	{total: 1.5, least: 0.1, heavy: true},
	{total: 3, least: 0.3, heavy: true},
}

// offerOverload offers the demand of an overload by 24 workspaces.
func (f *fleet) offerOverload(o overload, routers []int) {
	parts := []float64{(1 - o.least) * 0.4, (1 - o.least) * 0.6, o.least}
	for priority, part := range parts {
		load := o.total * part
		if o.heavy {
			// 12 of 35 parts are those of one workspace.
			f.offerEvenly(fmt.Sprint("p", priority, "-heavy"), 1, priority, load*12/35, routers)
			load *= 23.0 / 35
		}
		f.offerEvenly(fmt.Sprint("p", priority, "-"), 23, priority, load, routers)
	}
}

// leastPriority is the least urgent priority of an overload.
const leastPriority = 2

// TestLeastUrgentPriority has overloads by three priorities. It guards against refusals of the least urgent
// one while slots are free, against slots that are kept free for the most urgent one beyond its needs,
// against urgent requests that are late because too few are kept free, and against lower priorities that get
// less than the starvation guard's part.
func TestLeastUrgentPriority(t *testing.T) {
	for _, routers := range fleetSizes {
		for _, o := range overloads {
			t.Run(fmt.Sprint(routers, " ", o), func(t *testing.T) {
				t.Parallel()
				f := newFleet(routers)
				f.offerOverload(o, allRouters(routers))
				f.stats.from, f.stats.until = 3*time.Second, 6*time.Second
				f.run(9 * time.Second)
				urgent := f.answeredShare("p0")
				var done [3]float64
				for priority := range done {
					done[priority] = sumOf(f.stats.done, fmt.Sprint("p", priority)) / (testSlots * 6)
				}
				use := 0.0
				for _, s := range f.stats.samples {
					use += float64(s.running) / testSlots / float64(len(f.stats.samples))
				}
				idle, least := f.longestIdle(0.85)
				t.Logf("urgent %.3f in time; done %.3f %.3f %.3f of the slots, %d of the least urgent refused with a tenth free; "+
					"use %.3f, under 0.85 for %v, least %.3f",
					urgent, done[0], done[1], done[2], f.stats.refusedLeast, use, idle, least)
				if lower := done[1] + done[2]; lower < guardShare {
					t.Errorf("got %.3f of the slots for both lower priorities, want at least %.3f", lower, guardShare)
				}
				if want := o.guaranteed(); done[2] < want {
					t.Errorf("got %.3f of the slots for the least urgent priority, want at least %.3f", done[2], want)
				}
				if load := o.urgent(); load <= 0.8 && urgent < 0.97 {
					t.Errorf("got %.3f of the urgent work in time, want at least 0.97", urgent)
				}
				if share := float64(f.stats.refusedLeast) / float64(f.stats.arrived); share > 0.001 {
					t.Errorf("got %.4f of the requests refused while a tenth of the slots was free, want none "+
						"but for the age of views", share)
				}
				if idle > 500*time.Millisecond {
					t.Errorf("got less than 0.85 of the slots in use for %v while requests waited, want at most 0.5 s", idle)
				}
			})
		}
	}
}

// urgent returns the demand of the most urgent priority.
func (o overload) urgent() float64 { return o.total * (1 - o.least) * 0.4 }

// guaranteed returns the part of the slots that the least urgent priority gets at least: that of the
// starvation guard, or its part by demand of it while the most urgent priority leaves no more to both others.
func (o overload) guaranteed() float64 {
	urgent := o.urgent()
	if urgent < 0.8 {
		return guardShare
	}
	lower := o.total - urgent
	return guardShare * o.total * o.least / lower
}
