package balance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestStartingFleetRanksOnlyColdServers has a router learn of the others one by one, as it does
// when all start at once. It must not rank the routers for servers that are not cold, however many
// there are.
func TestStartingFleetRanksOnlyColdServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, servers := range []int{100, 200, 400} {
			b := New("d")
			b.SetColdLimits(map[string]ColdLimit{
				"p": testLimit,
			})
			list := entriesIn(servers, "d", "e")
			list[0].ColdUntil = time.Now().Add(time.Hour)
			b.SetBackends(list)
			var ids []string
			for i := range 300 {
				ids = append(ids, fmt.Sprint("r", i))
				b.SetRouters("r0", ids)
			}
			acquire(t, b, prompt(1))
			ranked := 0
			for _, s := range b.servers {
				if s.rank.version > 0 {
					ranked++
				}
			}
			if ranked != 1 {
				t.Errorf("%d servers: got %d ranked, want only the cold one", servers, ranked)
			}
		}
	})
}

// TestRankMatchesCountOfAllRouters compares the rank for a cold server with a count of the routers
// that score higher, while routers join and leave.
func TestRankMatchesCountOfAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("d")
		b.SetBackends(entriesIn(1, "d"))
		s := b.pools["p"][0]
		var ids []string
		for i := range 40 {
			ids = append(ids, fmt.Sprint("r", i))
		}
		known := ids[:10]
		for _, live := range [][]string{known, ids, ids[5:], ids[:1], ids} {
			time.Sleep(2 * coldWindow)
			before := b.rankLocked(s).routersBefore
			b.SetRouters("r0", live)
			rank := b.rankLocked(s)
			want := 0
			for router := range b.ranking.live {
				if b.ranking.live[router] && router != b.ranking.self && scoresHigher(s, router, b.ranking.self) {
					want++
				}
			}
			if rank.routersBefore != want {
				t.Errorf("%d routers: got rank %d, want %d", len(live), rank.routersBefore, want)
			}
			if changed := rank.changedAt.Equal(time.Now()); before != want && !changed {
				t.Errorf("%d routers: got a rank that changed %v ago, want now", len(live), time.Since(rank.changedAt))
			}
		}
	})
}
