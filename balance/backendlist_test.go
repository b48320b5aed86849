package balance

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestCostOfChangeDependsOnItsSizeAlone replaces one server after the other, as a release does,
// in pools of several sizes, and checks that the allocations of a change do not grow with the
// pool.
func TestCostOfChangeDependsOnItsSizeAlone(t *testing.T) {
	var allocations []float64
	for _, servers := range []int{1000, 2000, 4000} {
		b := newTestBalancer(servers)
		next := 0
		allocations = append(allocations, testing.AllocsPerRun(100, func() {
			entry := testEntries(1)[0]
			entry.ID = fmt.Sprint("new-", next)
			b.ChangeBackends(&Changes{
				Entries: []Entry{entry},
				Removed: []string{fmt.Sprint("p-", next)},
			})
			next++
		}))
		if got := b.ServerCount(); got != servers {
			t.Errorf("got %d servers, want %d", got, servers)
		}
	}
	if slices.Max(allocations) > slices.Min(allocations)+1 {
		t.Errorf("got %v allocations for a change at 1000, 2000 and 4000 servers, want the same", allocations)
	}
}

// TestChangesMatchFullList applies random changes of entries, incarnations and pools, and counts
// of another router, to a balancer that gets changes and to one that gets each list as a whole.
// Both must end up in the same state.
func TestChangesMatchFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		byChanges, byList := New("d"), New("d")
		for _, b := range []*Balancer{byChanges, byList} {
			b.SetPeers([]string{"peer"}, 1)
		}
		state := make(map[string]Entry)
		for round := range uint64(rapid.IntRange(1, 20).Draw(t, "rounds")) {
			changes := Changes{}
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 4, rapid.ID[int]).Draw(t, "entries") {
				entry := testEntries(10)[i]
				if _, ok := state[entry.ID]; ok && rapid.Bool().Draw(t, "removed") {
					changes.Removed = append(changes.Removed, entry.ID)
					delete(state, entry.ID)
					continue
				}
				entry.StartTime = rapid.Int64Range(1, 3).Draw(t, "born")
				entry.Pool = rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")
				entry.Leaving = rapid.Bool().Draw(t, "leaving")
				state[entry.ID] = entry
				changes.Entries = append(changes.Entries, entry)
			}
			byChanges.ChangeBackends(&changes)
			byList.SetBackends(slices.Collect(maps.Values(state)))
			if rapid.Bool().Draw(t, "update") {
				counts := testCounts(byChanges, int(round))
				byChanges.ReceiveCounts("peer", round+1, counts)
				byList.ReceiveCounts("peer", round+1, counts)
			}
			if got, want := poolStates(byChanges), poolStates(byList); !slices.Equal(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
			for _, in := range byChanges.countsByPeer["peer"].inFlight {
				if s := byChanges.serversByHash[in.Server]; s != nil && s.remoteInFlight != in.Count {
					t.Fatalf("%s: got %d requests of the peer, want %d", s.ID, s.remoteInFlight, in.Count)
				}
			}
		}
	})
}

// testCounts returns counts of another router for each listed server.
func testCounts(b *Balancer, round int) []InFlight {
	var counts []InFlight
	for hash := range b.serversByHash {
		counts = append(counts, InFlight{
			Server: hash,
			Count:  int(hash%5) + round,
		})
	}
	return counts
}

// poolStates returns what a balancer knows of its pools, in an order that can be compared.
func poolStates(b *Balancer) []string {
	var lines []string
	for name, pool := range b.pools {
		for i, s := range pool {
			lines = append(lines, fmt.Sprint(
				name, s.Incarnation(), s.Leaving, s.remoteInFlight, s.poolIndex == i, b.serversByHash[s.hash] == s,
			))
		}
	}
	slices.Sort(lines)
	return append(lines, fmt.Sprint(len(b.servers), len(b.serversByHash)))
}
