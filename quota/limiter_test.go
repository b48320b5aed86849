package quota

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/fairqueue"
)

// testCapacity has a pool with one server.
type testCapacity struct {
	slots int
}

func (c *testCapacity) PoolCapacity(string) slipwick.PoolCapacity {
	return slipwick.PoolCapacity{
		Complete: true,
		Servers: []slipwick.ServerCapacity{
			{
				Slots: c.slots,
			},
		},
	}
}

func newTestLimiter(slots int) *Limiter {
	l := New("router")
	l.Capacity = &testCapacity{
		slots: slots,
	}
	l.QueueLimits = fairqueue.Limits{
		MaxRequests: 1000,
	}
	return l
}

func newTestRequest(workspace string, work time.Duration) *slipwick.PermitRequest {
	now := clock.Now()
	return &slipwick.PermitRequest{
		Pool:      "pool",
		Workspace: workspace,
		Work:      work,
		Arrived:   now,
		Objective: now.Add(time.Second),
		Deadline:  now.Add(10 * time.Second),
	}
}

func mustAcquire(t *testing.T, l *Limiter, request *slipwick.PermitRequest) slipwick.Permit {
	t.Helper()
	permit, err := l.Acquire(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	return permit
}

// TestWaitingRequestGetsReleasedSlot guards against a slot that stays free while a request waits.
func TestWaitingRequestGetsReleasedSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLimiter(1)
		first := mustAcquire(t, l, newTestRequest("a", 100*time.Millisecond))
		go func() {
			time.Sleep(100 * time.Millisecond)
			l.Release(first, slipwick.EvidenceGood)
			l.Release(first, slipwick.EvidenceGood)
		}()
		start := time.Now()
		second := mustAcquire(t, l, newTestRequest("b", 50*time.Millisecond))
		if got, want := time.Since(start), 100*time.Millisecond; got != want {
			t.Errorf("got a permit after %v, want it at the release, %v", got, want)
		}
		l.Release(second, slipwick.EvidenceGood)
		status, _ := l.PoolStatus("pool")
		if status.InFlight != 0 || status.Waiting != 0 {
			t.Errorf("got %d in flight and %d waiting, want none", status.InFlight, status.Waiting)
		}
	})
}

// TestRefusalIsImmediate guards against requests that wait only to be refused, and against refusals
// without what callers need.
func TestRefusalIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLimiter(1)
		mustAcquire(t, l, newTestRequest("a", 20*time.Second))
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		wg.Go(func() {
			_, err := l.Acquire(ctx, newTestRequest("a", time.Second))
			if !slipwick.IsKind(err, slipwick.KindCancelled) {
				t.Errorf("got %v for a caller that disconnected, want %s", err, slipwick.KindCancelled)
			}
		})
		synctest.Wait()
		start := time.Now()
		_, err := l.Acquire(t.Context(), newTestRequest("b", 8*time.Second))
		typed, ok := slipwick.AsError(err)
		if !ok || typed.Kind != slipwick.KindOverloaded || typed.Outcome != slipwick.OutcomeNotRun || typed.RetryAfter <= 0 {
			t.Errorf("got %+v, want an overload that was not run, with Retry-After", err)
		}
		if got := time.Since(start); got != 0 {
			t.Errorf("got a refusal after %v, want it at once", got)
		}
		cancel()
		wg.Wait()
		if status, _ := l.PoolStatus("pool"); status.Waiting != 0 {
			t.Errorf("got %d waiting requests after the caller disconnected, want none", status.Waiting)
		}
	})
}

// TestWaitEndsAtDeadline guards against requests that wait beyond their deadline.
func TestWaitEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLimiter(1)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		mustAcquire(t, l, newTestRequest("a", 100*time.Millisecond))
		request := newTestRequest("b", 100*time.Millisecond)
		request.Deadline = request.Arrived.Add(2 * time.Second)
		start := time.Now()
		_, err := l.Acquire(t.Context(), request)
		if !slipwick.IsKind(err, slipwick.KindOverloaded) {
			t.Errorf("got %v, want a refusal", err)
		}
		if got, want := time.Since(start), 1900*time.Millisecond; got < want || got > want+2*sweepInterval {
			t.Errorf("got a refusal after %v, want it when the deadline can't be met any more, %v", got, want)
		}
		cancel()
		<-l.Done()
	})
}

// TestOperatorsLimits guards against workspaces that exceed the requests in flight or the work per second
// that operators allow, and against limits that hold others back.
func TestOperatorsLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLimiter(100)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		var mu sync.Mutex
		running, most, ended := map[string]int{}, map[string]int{}, map[string]int{}
		for name, request := range map[string]slipwick.PermitRequest{
			"in flight": {MaxInFlight: 5},
			"work":      {MaxWork: 2},
			"unlimited": {},
		} {
			for range 60 {
				r := newTestRequest(name, 100*time.Millisecond)
				r.Objective, r.Deadline = time.Time{}, time.Time{}
				r.MaxInFlight, r.MaxWork = request.MaxInFlight, request.MaxWork
				go func() {
					permit, err := l.Acquire(ctx, r)
					if err != nil {
						return
					}
					mu.Lock()
					running[name]++
					most[name] = max(most[name], running[name])
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
					mu.Lock()
					running[name]--
					ended[name]++
					mu.Unlock()
					l.Release(permit, slipwick.EvidenceGood)
				}()
			}
		}
		time.Sleep(950 * time.Millisecond)
		synctest.Wait()
		mu.Lock()
		if most["in flight"] != 5 || ended["in flight"] < 40 {
			t.Errorf("got up to %d in flight and %d ended, want 5 and at least 40", most["in flight"], ended["in flight"])
		}
		if got := ended["work"]; got < 20 || got > 42 {
			t.Errorf("got %d requests of 0.1 s ended in 0.95 s, want the burst of a second and 2 s of work a second", got)
		}
		if ended["unlimited"] != 60 {
			t.Errorf("got %d requests without limits ended, want all 60", ended["unlimited"])
		}
		mu.Unlock()
		cancel()
		<-l.Done()
		synctest.Wait()
		time.Sleep(time.Second)
	})
}

// TestAdmissionWithRoomDoesNotAllocate guards the cost of a request while the pool has room.
func TestAdmissionWithRoomDoesNotAllocate(t *testing.T) {
	l := newTestLimiter(100)
	request := newTestRequest("a", time.Second)
	l.Release(mustAcquire(t, l, request), slipwick.EvidenceGood)
	got := testing.AllocsPerRun(1000, func() {
		permit, _ := l.Acquire(context.Background(), request)
		l.Release(permit, slipwick.EvidenceGood)
	})
	if got != 0 {
		t.Errorf("got %.1f allocations for a request, want none", got)
	}
}

// BenchmarkAcquire measures a request while the pool has room, with its release.
func BenchmarkAcquire(b *testing.B) {
	l := newTestLimiter(1000)
	request := newTestRequest("a", time.Second)
	b.ReportAllocs()
	for b.Loop() {
		permit, _ := l.Acquire(context.Background(), request)
		l.Release(permit, slipwick.EvidenceGood)
	}
}

// BenchmarkRefresh measures the computation of the limits at an update of 100 entries.
func BenchmarkRefresh(b *testing.B) {
	f := newFleet(330)
	f.offerEvenly("w", 100, 0, 3, allRouters(330))
	f.run(2 * time.Second)
	for b.Loop() {
		f.refresh(0)
	}
}

// TestLimitedWorkspaceDoesNotBlockOthers has a request that waits for the limit of operators of its workspace
// while slots are free. It guards against refusals of other workspaces for the work that waits.
func TestLimitedWorkspaceDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLimiter(10)
		newLimited := func() *slipwick.PermitRequest {
			request := newTestRequest("limited", time.Minute)
			request.MaxInFlight = 1
			request.Objective, request.Deadline = time.Time{}, request.Arrived.Add(time.Hour)
			return request
		}
		held := mustAcquire(t, l, newLimited())
		var wg sync.WaitGroup
		wg.Go(func() {
			permit, err := l.Acquire(t.Context(), newLimited())
			if err != nil {
				t.Errorf("got %v for the second request of the limited workspace, want a permit at last", err)
			}
			l.Release(permit, slipwick.EvidenceGood)
		})
		synctest.Wait()
		if status, _ := l.PoolStatus("pool"); status.Waiting != 1 {
			t.Fatalf("got %d waiting requests, want that of the limited workspace", status.Waiting)
		}
		start := time.Now()
		permit, err := l.Acquire(t.Context(), newTestRequest("other", 100*time.Millisecond))
		if err != nil || time.Since(start) != 0 {
			t.Errorf("got %v after %v with 9 free slots, want a permit at once", err, time.Since(start))
		}
		l.Release(permit, slipwick.EvidenceGood)
		l.Release(held, slipwick.EvidenceGood)
		wg.Wait()
	})
}
