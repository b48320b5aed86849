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

// newPool returns a pool of usable backend servers with the given weights.
func newPool(count int, factor float64, weight func(int) uint32) *placement.Pool {
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

// TestLimitHoldsAndLeavesRoom fills a pool one request at a time, each at the drawn backend server
// or else the next one below its limit. At each step some backend server must be below its limit,
// so that requests cannot get stuck, and the load must not exceed the exact limit by more than one
// request.
func TestLimitHoldsAndLeavesRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "engines")
		factor := rapid.Float64Range(1, 3).Draw(t, "factor")
		weights := rapid.SliceOfN(rapid.Uint32Range(1, 4), count, count).Draw(t, "weights")
		pool := newPool(count, factor, func(i int) uint32 { return weights[i] })
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
					t.Fatalf("no engine is below its limit with %d in flight: %v", total, loads)
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

func TestQueueServesByPriorityThenShare(t *testing.T) {
	var q queue
	weights := map[string]uint32{"a": 1, "b": 3}
	push := func(id uint64, workspace string, priority int) {
		q.push(newQueuedRequest(id, workspace, priority), weights[workspace])
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
		r := q.remove(q.next(func(*queuedRequest) bool { return true }), true)
		got = append(got, fmt.Sprintf("%s%d", r.request.GetWorkspace(), r.priority))
	}
	served := 0
	for _, name := range got[1:9] {
		if name == "b0" {
			served++
		}
	}
	if got[0] != "a5" || served != 6 {
		t.Errorf("got order %v, want a5 first and the 6 requests of b among the next 8", got)
	}
}

func TestQueueEvictsFromSurgingWorkspace(t *testing.T) {
	var q queue
	weight := func(string) uint32 { return 1 }
	for i := range 6 {
		q.push(newQueuedRequest(uint64(i), "surging", 0), 1)
	}
	q.push(newQueuedRequest(10, "small", 0), 1)
	if got := q.evictionIndex("small", 0, weight); got != 5 {
		t.Errorf("got request %d to evict, want 5, the newest of the surging workspace", got)
	}
	if got := q.evictionIndex("surging", 0, weight); got != -1 {
		t.Errorf("got request %d to evict, want -1 for the arriving one", got)
	}
	if got := q.evictionIndex("surging", 3, weight); got != 5 {
		t.Errorf("got request %d to evict for a higher priority, want 5", got)
	}
}

func newQueuedRequest(id uint64, workspace string, priority int) *queuedRequest {
	return &queuedRequest{
		key: leaseKey{
			router: "r",
			id:     id,
		},
		request:  slotRequest(id, workspace),
		priority: priority,
	}
}

// TestGrantDoesNotAllocate covers the decision and the lease, not the encoding of messages.
func TestGrantDoesNotAllocate(t *testing.T) {
	o, key := grantFixture()
	now := time.Now()
	got := testing.AllocsPerRun(100, func() { grantAndRemove(o, key, now) })
	if got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func BenchmarkGrant(b *testing.B) {
	o, key := grantFixture()
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		grantAndRemove(o, key, now)
	}
}

func grantAndRemove(o *ownedBackend, key leaseKey, now time.Time) {
	if o.headroom(50, now) > 0 {
		o.add(key, "w", now.Add(time.Second), false)
	}
	o.remove(key)
}

func grantFixture() (*ownedBackend, leaseKey) {
	pool := newPool(93, 1.25, func(int) uint32 { return 1 })
	o := newOwnedBackend(1, placement.Location{
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
