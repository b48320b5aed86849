package exchange

import (
	"fmt"
	"slices"
	"testing"

	"github.com/slipwick/slipwick"
)

// testFleet returns the routers of a fleet in six data centres, and engines in these.
func testFleet(routers, engines int) (fleet []slipwick.Router, pool []slipwick.Backend) {
	for i := range routers {
		fleet = append(fleet, slipwick.Router{
			ID:         fmt.Sprint("r", i),
			DataCentre: fmt.Sprint("dc-", i%6),
		})
	}
	for i := range engines {
		pool = append(pool, slipwick.Backend{
			ID:         fmt.Sprint("e", i),
			DataCentre: fmt.Sprint("dc-", i%6),
		})
	}
	return fleet, pool
}

// TestEachEngineHasOneRouterForEachTurn computes the turns at all routers of a fleet: each engine
// must be asked by exactly one router in each turn, all of them in its own data centre.
func TestEachEngineHasOneRouterForEachTurn(t *testing.T) {
	fleet, pool := testFleet(60, 300)
	turns := make(map[string][]int)
	most := 0
	for i, self := range fleet {
		var order turnOrder
		order.update(self, excluding(fleet, self.ID))
		own := 0
		for e := range pool {
			turn := order.turn(&pool[e])
			if turn == maxTurns {
				continue
			}
			if turn == 0 {
				own++
			}
			turns[pool[e].ID] = append(turns[pool[e].ID], turn)
			if fleet[i].DataCentre != pool[e].DataCentre {
				t.Errorf("%s: got %s of %s among its routers", pool[e].ID, self.ID, self.DataCentre)
			}
		}
		most = max(most, own)
	}
	for _, engine := range pool {
		got := slices.Sorted(slices.Values(turns[engine.ID]))
		if want := []int{0, 1, 2}; !slices.Equal(got, want) {
			t.Errorf("%s: got turns %v, want %v", engine.ID, got, want)
		}
	}
	if mean := len(pool) / len(fleet); most > 4*mean {
		t.Errorf("got %d engines at one router first, want about %d", most, mean)
	}
}

// TestSmallDataCentreLeavesEnginesToOthers has fewer routers in a data centre than turns.
func TestSmallDataCentreLeavesEnginesToOthers(t *testing.T) {
	fleet, _ := testFleet(3, 0)
	var got []int
	for _, self := range fleet {
		var order turnOrder
		order.update(self, excluding(fleet, self.ID))
		got = append(got, order.turn(&slipwick.Backend{
			ID:         "e",
			DataCentre: "dc-1",
		}))
	}
	if got[1] != 0 || got[0]+got[2] != 3 {
		t.Errorf("got turns %v, want the router of the same data centre first, then the others", got)
	}
}

// BenchmarkTurns measures the computation of the turns of all engines, ten for each router.
func BenchmarkTurns(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			fleet, pool := testFleet(size, 10*size)
			for b.Loop() {
				var order turnOrder
				order.update(fleet[0], fleet[1:])
				for e := range pool {
					order.turn(&pool[e])
				}
			}
		})
	}
}
