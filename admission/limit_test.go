package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

func poolOfSize(count int, factor float64, weight func(int) uint32) *placement.Pool {
	pool := placement.Pool{
		Name:          "p",
		MaxLoadFactor: factor,
	}
	for i := range count {
		pool.Backends = append(pool.Backends, slipwick.Backend{
			ID:     fmt.Sprint(i),
			Weight: weight(i),
			Slots:  1 << 20,
		})
		pool.Usable = append(pool.Usable, i)
	}
	return placement.NewView([]placement.Pool{pool}, nil).Pools["p"]
}

// TestLimitHoldsAndNeverSticks grants a pool full, always to the engine that
// the draw names if it has room, and checks at each grant that the limit is
// kept up to one request and that some engine has room.
func TestLimitHoldsAndNeverSticks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "engines")
		factor := rapid.Float64Range(1, 3).Draw(t, "factor")
		weights := rapid.SliceOfN(rapid.Uint32Range(1, 4), count, count).Draw(t, "weights")
		pool := poolOfSize(count, factor, func(i int) uint32 { return weights[i] })
		loads := make([]int, count)
		for total := range rapid.IntRange(1, 300).Draw(t, "requests") {
			at := rapid.IntRange(0, count-1).Draw(t, "engine")
			for i := range count {
				next := (at + i) % count
				bound := limit(pool, pool.Backends[next], float64(total), 0)
				if loads[next] < bound {
					loads[next]++
					break
				}
				if i == count-1 {
					t.Fatalf("no engine has room with %d in flight: %v", total, loads)
				}
			}
			for i, load := range loads {
				share := float64(weights[i]) / pool.Weight()
				if got, most := float64(load), factor*share*float64(total+1)+1; got > most && i == at {
					t.Fatalf("engine %d: got load %v, want at most %v", i, got, most)
				}
			}
		}
	})
}

func TestQueueServesPrioritiesThenShares(t *testing.T) {
	var q queue
	weights := map[string]uint32{"a": 1, "b": 3}
	push := func(id uint64, workspace string, priority int) {
		q.push(heldRequest(id, workspace, priority), weights[workspace])
	}
	for i := range 8 {
		push(uint64(i), "a", 0)
	}
	for i := range 6 {
		push(uint64(100+i), "b", 0)
	}
	push(200, "a", 5)
	var got []string
	for q.len() > 0 {
		w := q.take(q.best(func(*waiting) bool { return true }), true)
		got = append(got, fmt.Sprintf("%s%d", w.request.GetWorkspace(), w.priority))
	}
	served := 0
	for _, name := range got[1:9] {
		if name == "b0" {
			served++
		}
	}
	if got[0] != "a5" || served != 6 {
		t.Errorf("got order %v, want a5 first and the 6 of b among the next 8", got)
	}
}

func TestQueueVictimIsTheSurging(t *testing.T) {
	var q queue
	weight := func(string) uint32 { return 1 }
	for i := range 6 {
		q.push(heldRequest(uint64(i), "surging", 0), 1)
	}
	q.push(heldRequest(10, "small", 0), 1)
	if got := q.victim("small", 0, weight); got != 5 {
		t.Errorf("got victim %d, want the newest of the surging workspace, 5", got)
	}
	if got := q.victim("surging", 0, weight); got != -1 {
		t.Errorf("got victim %d, want the newcomer", got)
	}
	if got := q.victim("surging", 3, weight); got != 5 {
		t.Errorf("got victim %d for a higher priority, want 5", got)
	}
}

func heldRequest(id uint64, workspace string, priority int) *waiting {
	return &waiting{
		key: leaseKey{
			router: "r",
			id:     id,
		},
		request:  slotRequest(id, workspace),
		priority: priority,
	}
}

// TestGrantDoesNotAllocate covers the decision; messages are encoded elsewhere.
func TestGrantDoesNotAllocate(t *testing.T) {
	o, key := grantFixture()
	now := time.Now()
	got := testing.AllocsPerRun(100, func() { decide(o, key, now) })
	if got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func BenchmarkGrant(b *testing.B) {
	o, key := grantFixture()
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		decide(o, key, now)
	}
}

func decide(o *owned, key leaseKey, now time.Time) {
	if o.room(50, now) > 0 {
		o.add(key, "w", now.Add(time.Second), false)
	}
	o.remove(key)
}

func grantFixture() (*owned, leaseKey) {
	pool := poolOfSize(93, 1.25, func(int) uint32 { return 1 })
	o := newOwned(1, placement.Place{
		Pool:  pool,
		Index: 0,
	})
	for i := range 40 {
		o.add(leaseKey{
			router: "other",
			id:     uint64(i),
		}, "w", time.Now().Add(time.Hour), false)
	}
	return o, leaseKey{
		router: "r",
		id:     1000,
	}
}

func slotRequest(id uint64, workspace string) *peerpb.SlotRequest {
	return &peerpb.SlotRequest{
		Id:        id,
		Workspace: workspace,
	}
}
