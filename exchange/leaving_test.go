package exchange

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
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

// TestDatagramsFitOnePacket splits an update with many entries of each kind.
func TestDatagramsFitOnePacket(t *testing.T) {
	const maxBytes, each = 1400, 200
	var update balance.Update
	for i := range uint64(each) {
		update.CachedParts = append(update.CachedParts, balance.CachedPart{
			Part:   ^i,
			Server: i << 40,
		})
		update.Outcomes = append(update.Outcomes, balance.Outcomes{
			Server: i << 41,
			Good:   maxOutcomeCount,
			Failed: maxOutcomeCount,
		})
		update.Leaving = append(update.Leaving, i<<42)
	}
	syncers, _ := newSyncers(1)
	leaving := 0
	for _, packet := range syncers[0].encode(exchangepb.Scope_SCOPE_OWN, false, update) {
		if got := len(packet); got > maxBytes {
			t.Errorf("got a datagram of %d bytes, want at most %d", got, maxBytes)
		}
		message := &exchangepb.Told{}
		if err := proto.Unmarshal(packet, message); err != nil {
			t.Fatal(err)
		}
		leaving += len(decode(message).Leaving)
	}
	if leaving != each {
		t.Errorf("got %d leaving servers, want %d", leaving, each)
	}
}
