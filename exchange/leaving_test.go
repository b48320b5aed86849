package exchange

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// TestLeavingServerIsKnownToAllRouters has one router receive a notice that an engine is leaving, in
// a full mesh and in two fleets with hubs. All routers have to learn of it once.
func TestLeavingServerIsKnownToAllRouters(t *testing.T) {
	for _, size := range []int{3, 50, 330} {
		synctest.Test(t, func(t *testing.T) {
			syncers, _ := newSyncersIn(5, size)
			var mu sync.Mutex
			leaving := make(map[string]string)
			for _, syncer := range syncers {
				syncer.Balancer.OnNotice = func(backend slipwick.Backend, _ slipwick.Notice) {
					mu.Lock()
					defer mu.Unlock()
					leaving[syncer.Self] += backend.ID
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			for _, syncer := range syncers {
				go syncer.Run(ctx)
			}
			time.Sleep(3 * updateInterval)
			b := syncers[size-1].Balancer
			lease := acquire(t, b, 7)
			b.RecordNotice(lease, slipwick.Notice{
				Leaving: true,
			})
			time.Sleep(4 * updateInterval)
			synctest.Wait()
			cancel()
			for _, syncer := range syncers {
				<-syncer.Done()
			}
			for _, syncer := range syncers {
				if got, want := leaving[syncer.Self], lease.Backend.ID; got != want {
					t.Errorf("%d routers: router %s got %q leaving, want %q", size, syncer.Self, got, want)
				}
			}
		})
	}
}
