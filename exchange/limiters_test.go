package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/quota"
)

// TestLimitersShareSlots runs limiters, balancers and syncers together. At two of the routers many more
// requests arrive than at the others. It guards against a fleet that uses more than its slots, leaves
// many unused, or leaves a router without any.
func TestLimitersShareSlots(t *testing.T) {
	const slots, engines = 240, 20
	for _, size := range []int{4, 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				syncers, _ := newSyncersIn(2, size)
				ctx, cancel := context.WithCancel(t.Context())
				var running atomic.Int64
				served := make([]atomic.Int64, size)
				limiters := make([]*quota.Limiter, size)
				for i, syncer := range syncers {
					var list []balance.Entry
					for e := range engines {
						list = append(list, balance.Entry{
							Pool: "p",
							Backend: slipwick.Backend{
								ID:      fmt.Sprint("engine-", e),
								Address: fmt.Sprintf("10.0.0.%d:80", e),
								Slots:   slots / engines,
							},
						})
					}
					syncer.Balancer.SetBackends(list)
					limiter := quota.New(syncer.Self)
					limiter.Capacity = syncer.Balancer
					limiter.Routers = func() int { return size }
					syncer.Usage, limiters[i] = limiter, limiter
				}
				// Routers send to each other as soon as they run, so that all have to be complete by then.
				for i, syncer := range syncers {
					limiter := limiters[i]
					go limiter.Run(ctx)
					go syncer.Run(ctx)
					callers := 2 * slots / size
					if i < 2 {
						callers *= 5
					}
					for c := range callers {
						random := rand.New(rand.NewPCG(uint64(i), uint64(c)))
						go callRepeatedly(ctx, random, syncer.Balancer, limiter, fmt.Sprint("w", c%7), &running, &served[i])
					}
				}
				time.Sleep(3 * time.Second)
				least, most := int64(slots), int64(0)
				for range 200 {
					time.Sleep(10 * time.Millisecond)
					least, most = min(least, running.Load()), max(most, running.Load())
				}
				t.Logf("%d to %d of %d slots in use", least, most, slots)
				if float64(least) < 0.85*slots || float64(most) > 1.1*slots {
					t.Errorf("got %d to %d of %d slots in use, want 0.85 to 1.1 of them", least, most, slots)
				}
				for i := range served {
					if served[i].Load() == 0 {
						t.Errorf("router %d: got no request served, want some", i)
					}
				}
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// callRepeatedly sends requests of 0.1 to 0.5 s, each after the one before has ended.
func callRepeatedly(
	ctx context.Context, random *rand.Rand, b *balance.Balancer, l *quota.Limiter, workspace string,
	running, served *atomic.Int64,
) {
	const meanService = 300 * time.Millisecond
	for ctx.Err() == nil {
		service := time.Duration(float64(meanService) * (1.0/3 + 4.0/3*random.Float64()))
		now := clock.Now()
		permit, err := l.Acquire(ctx, &slipwick.PermitRequest{
			Pool:      "p",
			Workspace: workspace,
			Work:      service,
			Arrived:   now,
			Objective: now.Add(time.Second),
			Deadline:  now.Add(5 * time.Second),
		})
		if err != nil {
			// The demand lasts: callers don't follow Retry-After.
			time.Sleep(service)
			continue
		}
		lease, err := b.Acquire(&balance.Request{
			Pool: "p",
		})
		if err == nil {
			running.Add(1)
			time.Sleep(service)
			running.Add(-1)
			served.Add(1)
			b.RecordProgress(lease)
			b.Release(lease, slipwick.EvidenceGood)
		}
		l.Release(permit, slipwick.EvidenceGood)
	}
}
