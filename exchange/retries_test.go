package exchange

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/retry"
)

// countingBudget is a budget that adds up what it is told.
type countingBudget struct {
	mu sync.Mutex
	// own has the report of the only pool.
	own                        retry.Report
	requests, retries, unused  int
	hasOwn, needsPasts, learns bool
}

func (b *countingBudget) Reports() []retry.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return []retry.Report{b.own}
}

func (b *countingBudget) CountFleet(_ uint32, requests, retries int, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests += requests
	b.retries += retries
}

func (b *countingBudget) SetFleetUnused(unused *retry.FleetUnused) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unused, b.hasOwn = unused.ByPool[b.own.Pool], unused.HasOwn
}

func (b *countingBudget) IsNearLimit() bool { return false }

func (b *countingBudget) NeedsPasts() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.needsPasts
}

func (b *countingBudget) Pasts() []retry.Past {
	return []retry.Past{
		{
			Pool:     b.own.Pool,
			Requests: [20]int{3, 2, 1},
			Retries:  [10]int{0, 4},
		},
	}
}

func (b *countingBudget) Learn(past *retry.Past) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learns = past.Requests[2] == 1 && past.Retries[1] == 4
	b.needsPasts = false
}

// count counts a request and a retry of the router's own.
func (b *countingBudget) count(requests, retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own.Requests += uint32(requests)
	b.own.Retries += uint32(retries)
}

// TestReportsCountEachRetryOnce guards against retries of a fleet that are lost or counted twice on their way to the
// other routers, directly or through hubs.
func TestReportsCountEachRetryOnce(t *testing.T) {
	for _, size := range []int{2, 8, 40} {
		synctest.Test(t, func(t *testing.T) {
			syncers, _ := newSyncersIn(3, size)
			var budgets []*countingBudget
			for _, s := range syncers {
				budget := &countingBudget{
					own: retry.Report{
						Pool:   7,
						Unused: 2,
					},
				}
				budgets = append(budgets, budget)
				s.Retries = NewRetries(s.Self)
				s.Retries.Transport, s.Retries.Address, s.Retries.Budget = s.Transport, s.Address, budget
			}
			rounds := func(n int) {
				for range n {
					for _, s := range syncers {
						s.sendUpdate(false)
					}
					time.Sleep(updateInterval)
				}
			}
			rounds(3 * quietRounds)
			budgets[size/2].needsPasts = true
			for i, budget := range budgets {
				budget.count(10+i, i%2)
			}
			rounds(3 * quietRounds)
			requests, retries := 0, 0
			for i := range budgets {
				requests, retries = requests+10+i, retries+i%2
			}
			for i, b := range budgets {
				wantRequests, wantRetries, wantUnused := requests, retries, 2*size
				if !b.hasOwn {
					wantRequests, wantRetries, wantUnused = requests-10-i, retries-i%2, wantUnused-2
				}
				if b.requests != wantRequests || b.retries != wantRetries || b.unused != wantUnused {
					t.Errorf("%d routers: got %d requests, %d retries and %d unused from others, want %d, %d and %d",
						size, b.requests, b.retries, b.unused, wantRequests, wantRetries, wantUnused)
				}
			}
			if !budgets[size/2].learns {
				t.Errorf("%d routers: a router that starts got no answer about the past", size)
			}
		})
	}
}
