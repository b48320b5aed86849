package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// allRouters returns the indexes of the first n routers.
func allRouters(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// seeds is the number of seeds that tests of what varies by chance run.
const seeds = 6

// eachSeed runs a test with fleets of each size and each seed.
func eachSeed(t *testing.T, test func(t *testing.T, f *fleet)) {
	for _, routers := range fleetSizes {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprint(routers, "seed", seed), func(t *testing.T) {
				t.Parallel()
				test(t, newSeededFleet(routers, seed))
			})
		}
	}
}

// longestIdle returns the longest time in which requests waited and less than a share of the slots was
// in use, and the smallest use while requests waited.
func (f *fleet) longestIdle(share float64) (longest time.Duration, least float64) {
	least = 1
	since := time.Duration(-1)
	for _, s := range f.stats.samples {
		use := float64(s.running) / float64(f.slots)
		if s.waiting == 0 || use >= share {
			since = -1
		} else if since < 0 {
			since = s.at
		}
		if s.waiting > 0 {
			least = min(least, use)
		}
		if since >= 0 {
			longest = max(longest, s.at-since)
		}
	}
	return longest, least
}

// lateRefusals returns the share of the refusals that took longer than an eighth of the objective.
func (f *fleet) lateRefusals() float64 {
	late := 0
	for _, d := range f.stats.refusalTimes {
		if d > testObjective/8 {
			late++
		}
	}
	return float64(late) / float64(max(len(f.stats.refusalTimes), 1))
}

// leastJain returns the smallest Jain's index of the work of the workspaces over any two seconds.
func (f *fleet) leastJain(workspaces []string) float64 {
	least := 1.0
	const window = 2 * time.Second
	for i, s := range f.stats.samples {
		j, found := slices.BinarySearchFunc(f.stats.samples[i:], s.at+window, func(x sample, at time.Duration) int {
			return int(x.at - at)
		})
		if !found {
			break
		}
		end := f.stats.samples[i+j]
		sum, squares := 0.0, 0.0
		for _, w := range workspaces {
			x := end.held[w] - s.held[w]
			sum += x
			squares += x * x
		}
		least = min(least, sum*sum/(float64(len(workspaces))*squares))
	}
	return least
}

func total(byName map[string]float64) float64 {
	sum := 0.0
	for _, v := range byName {
		sum += v
	}
	return sum
}

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// TestGoodputUnderOverload offers 2, 4 and 6 times what the slots can do, by 24 workspaces. It guards
// against idle slots while requests wait, against sending more than the engines can begin in time, and
// against refusals that come late.
func TestGoodputUnderOverload(t *testing.T) {
	for _, routers := range fleetSizes {
		for _, factor := range []float64{2, 4, 6} {
			t.Run(fmt.Sprint(routers, "x", factor), func(t *testing.T) {
				t.Parallel()
				f := newFleet(routers)
				var names []string
				for i := range 24 {
					names = append(names, fmt.Sprint("w", i))
					f.offer(demand{
						workspace: names[i],
						load:      factor * testSlots / 24,
						routers:   allRouters(routers),
					})
				}
				f.stats.from = 3 * time.Second
				f.run(8 * time.Second)
				goodput := total(f.stats.inTime) / (testSlots * 5)
				idle, least := f.longestIdle(0.85)
				late := quantile(f.stats.refusalTimes, 0.99)
				jain := f.leastJain(names)
				missed := f.lateRefusals()
				t.Logf("late refusals %.4f; goodput %.3f, under 0.85 for %v, least %.3f, p99 to refusal %v, "+
					"Jain %.3f, most in flight %.3f",
					missed, goodput, idle, least, late, jain, float64(f.stats.maxInFlight)/testSlots)
				if goodput < 0.9 {
					t.Errorf("got a goodput of %.3f, want at least 0.9", goodput)
				}
				if idle > 500*time.Millisecond {
					t.Errorf("got less than 0.85 of the slots in use for %v, want at most 0.5 s", idle)
				}
				if late > testObjective/8 {
					t.Errorf("got a p99 of %v to a refusal, want at most an eighth of the objective", late)
				}
				if jain < 0.98 {
					t.Errorf("got a Jain's index of %.3f over 2 s, want at least 0.98", jain)
				}
			})
		}
	}
}
