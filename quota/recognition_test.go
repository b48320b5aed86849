package quota

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// testReturns knows one key and notes how it is used.
type testReturns struct {
	mu                      sync.Mutex
	known                   uint64
	asked, noted, forgotten []uint64
}

func (r *testReturns) NoteRefusal(key uint64, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noted = append(r.noted, key)
}

func (r *testReturns) TakeReturn(_ context.Context, key uint64, wait time.Duration) bool {
	r.mu.Lock()
	r.asked = append(r.asked, key)
	r.mu.Unlock()
	if key == r.known {
		return true
	}
	time.Sleep(wait)
	return false
}

func (r *testReturns) Forget(key uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgotten = append(r.forgotten, key)
}

// TestCallersRefusedElsewhereGoFirst has two requests wait for one slot, the second of a caller whom another router
// refused. It guards against a caller who isn't recognised there, against questions about requests that can be
// admitted at once, against refusals that other routers don't learn of, and against refusals that wait for the
// answer longer than an eighth of the objective.
func TestCallersRefusedElsewhereGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, returns := newTestLimiter(1), &testReturns{known: 3}
		l.Returns = returns
		newRequest := func(key uint64) *slipwick.PermitRequest {
			request := newTestRequest("a", 100*time.Millisecond)
			request.Key = key
			return request
		}
		held := mustAcquire(t, l, newRequest(1))
		var mu sync.Mutex
		var order []uint64
		var wg sync.WaitGroup
		for _, key := range []uint64{2, 3} {
			wg.Go(func() {
				permit := mustAcquire(t, l, newRequest(key))
				mu.Lock()
				order = append(order, key)
				mu.Unlock()
				l.Release(permit, slipwick.EvidenceGood)
			})
			time.Sleep(maxRecognitionWait)
			synctest.Wait()
		}
		own := newRequest(4)
		own.Returning, own.Work = true, time.Hour
		late := newRequest(5)
		late.Work = time.Hour
		for _, request := range []*slipwick.PermitRequest{own, late} {
			start := time.Now()
			if _, err := l.Acquire(t.Context(), request); err == nil || time.Since(start) > time.Second/8 {
				t.Errorf("got %v after %v for an hour of work, want a refusal within 125 ms", err, time.Since(start))
			}
		}
		l.Release(held, slipwick.EvidenceGood)
		wg.Wait()
		for _, list := range []struct {
			name      string
			got, want []uint64
		}{
			{"order", order, []uint64{3, 2}},
			{"asked", returns.asked, []uint64{2, 3, 5}},
			{"noted", returns.noted, []uint64{4, 5}},
			{"forgotten", returns.forgotten, []uint64{4}},
		} {
			if !slices.Equal(list.got, list.want) {
				t.Errorf("%s: got %v, want %v", list.name, list.got, list.want)
			}
		}
	})
}
