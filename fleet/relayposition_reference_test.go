package fleet

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// sortedByScore returns all routers sorted by their score for a key, the highest first.
func sortedByScore(key uint64, routers []slipwick.Router) []slipwick.Router {
	sorted := slices.Clone(routers)
	slices.SortFunc(sorted, func(a, b slipwick.Router) int {
		return cmp.Compare(placement.Score(key, placement.IDHash(b.ID)), placement.Score(key, placement.IDHash(a.ID)))
	})
	return sorted
}

// referenceRelayPosition is FindRelayPosition with all routers of the region sorted.
func referenceRelayPosition(self slipwick.Router, routers []slipwick.Router) RelayPosition {
	ranked := sortedByScore(placement.IDHash("watch"), inRegion(self, routers))
	rank := slices.IndexFunc(ranked, func(r slipwick.Router) bool { return r.ID == self.ID })
	if rank < 0 {
		ranked = append(ranked, self)
		rank = len(ranked) - 1
	}
	watchers := (len(ranked) + routersPerRelay - 1) / routersPerRelay
	watchers = min(max(watchers, minWatchers), maxWatchers, len(ranked))
	reserves := sortedByScore(placement.IDHash(self.ID), ranked[:min(len(ranked), reserveFactor*watchers)])
	p := RelayPosition{
		IsWatcher:    rank < watchers,
		TakeoverTurn: takeoverTurn(rank, watchers),
		Reserves:     idsWithout(reserves, self.ID),
	}
	if p.IsWatcher {
		p.Relays = idsWithout(ranked[:watchers], self.ID)
		return p
	}
	first, end := relayRanks(rank, watchers, len(ranked))
	p.Relays = chooseRelays(self, ranked[first:end])
	return p
}

// TestRelayPositionMatchesReference guards against positions that FindRelayPosition gets wrong
// because it does not sort all routers of the region, for fleets of any size and routers that are in
// the list themselves or not.
func TestRelayPositionMatchesReference(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.OneOf(rapid.IntRange(0, 12), rapid.IntRange(13, 1200)).Draw(r, "size")
		var routers []slipwick.Router
		for i := range size {
			routers = append(routers, slipwick.Router{
				ID:         fmt.Sprint("r", i),
				DataCentre: fmt.Sprint("dc", i%3),
				Region:     fmt.Sprint("region", i%2),
			})
		}
		self := slipwick.Router{
			ID:         fmt.Sprint("r", rapid.IntRange(0, size).Draw(r, "self")),
			DataCentre: "dc1",
			Region:     "region1",
		}
		got, want := FindRelayPosition(self, routers), referenceRelayPosition(self, routers)
		if !reflect.DeepEqual(got, want) {
			r.Errorf("%s of %d: got %+v, want %+v", self.ID, size, got, want)
		}
	})
}
