package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func sumTargets(claims []*claim) float64 {
	sum := 0.0
	for _, c := range claims {
		sum += c.target
	}
	return sum
}

// TestAllocationIsMaxMinFair guards against shares that ignore weights, demand or priority.
func TestAllocationIsMaxMinFair(t *testing.T) {
	for _, c := range []struct {
		name   string
		claims []*claim
		want   []float64
	}{
		{
			name:   "equal weights, one wants little",
			claims: []*claim{{weight: 1, wanted: 10}, {weight: 1, wanted: 100}, {weight: 1, inFlight: 100}},
			want:   []float64{10, 45, 45},
		},
		{
			name:   "weights",
			claims: []*claim{{weight: 3, wanted: 100}, {weight: 1, wanted: 100}},
			want:   []float64{75, 25},
		},
		{
			name:   "priority with the guard",
			claims: []*claim{{weight: 1, wanted: 500}, {weight: 1, wanted: 500, priority: 1}},
			want:   []float64{93.75, 6.25},
		},
		{
			name:   "less urgent requests get what is left",
			claims: []*claim{{weight: 1, wanted: 30}, {weight: 1, wanted: 500, priority: 1}},
			want:   []float64{30, 70},
		},
		{
			name:   "everyone may have one",
			claims: []*claim{{weight: 1000, wanted: 500}, {weight: 1, wanted: 5}},
			want:   []float64{99, 1},
		},
	} {
		allocate(100, c.claims)
		for i := range c.claims {
			if math.Abs(c.claims[i].target-c.want[i]) > 0.01 {
				t.Errorf("%s: got %.2f for claim %d, want %.2f", c.name, c.claims[i].target, i, c.want[i])
			}
		}
	}
}

// randomFleet returns reports of routers with random use and demand, some of them far above others.
func randomFleet(random *rand.Rand, routers int) [][]Entry {
	reports := make([][]Entry, routers)
	for i := range reports {
		for w := range 1 + random.IntN(20) {
			waiting := random.IntN(3) * random.IntN(200)
			reports[i] = append(reports[i], Entry{
				Pool:      1,
				Workspace: uint32(1 + w),
				Priority:  w % 3,
				Weight:    uint32(1 + w%4),
				InFlight:  random.IntN(20),
				Waiting:   waiting,
				Queued:    random.IntN(waiting + 1),
				Work:      time.Duration(waiting) * 100 * time.Millisecond,
			})
		}
	}
	return reports
}

// TestLimitsAddUpToTheSlots has routers compute their limits from the same sums, with any use and demand.
// It guards against slots that are given out twice or not at all.
func TestLimitsAddUpToTheSlots(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 50 {
		routers := 1 + random.IntN(300)
		slots := float64(1 + random.IntN(4000))
		reports := randomFleet(random, routers)
		fleet := Sum(reports...)
		sum := 0.0
		for i := range routers {
			claims := newClaims(fleet)
			newClaimIndex(claims).addOwn(reports[i])
			spare := allocate(slots, claims)
			if got := sumTargets(claims) + spare; math.Abs(got-slots) > 0.01 {
				t.Fatalf("got targets of %.3f for %.0f slots, want all slots", got, slots)
			}
			sum += share(claims, spare, newQueuedPart(fleet, reports[i]), routers)
		}
		if math.Abs(sum-slots) > 0.01*slots {
			t.Fatalf("%d routers: got limits of %.2f for %.0f slots, want all slots", routers, sum, slots)
		}
	}
}

// TestAllocationIsDeterministic guards against results that depend on the order in which reports arrive.
func TestAllocationIsDeterministic(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	reports := randomFleet(random, 40)
	first := newClaims(Sum(reports...))
	allocate(500, first)
	for range 10 {
		random.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		again := newClaims(Sum(reports...))
		allocate(500, again)
		for i := range first {
			if *again[i] != *first[i] {
				t.Fatalf("got %+v, want %+v in any order", *again[i], *first[i])
			}
		}
	}
}

// TestTruncationKeepsTheSums guards against use that disappears when entries are left out.
func TestTruncationKeepsTheSums(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for _, limit := range []int{1, 5, 20, 1000} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			all := Sum(randomFleet(random, 30)...)
			want, wantWaiting := 0, 0
			for _, e := range all {
				want += e.InFlight
				wantWaiting += e.Waiting
			}
			kept := Truncate(slices.Clone(all), limit, all[:min(limit, 3)])
			got, gotWaiting := 0, 0
			for _, e := range kept {
				got += e.InFlight
				gotWaiting += e.Waiting
			}
			if got != want || gotWaiting != wantWaiting {
				t.Errorf("got %d in flight and %d waiting, want %d and %d", got, gotWaiting, want, wantWaiting)
			}
			if len(kept) > limit+3 {
				t.Errorf("got %d entries, want %d and one for each of 3 priorities at most", len(kept), limit)
			}
		})
	}
}
