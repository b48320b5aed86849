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

// TestLeaveReachesAllRouters has one router hear of an engine that it leaves, in a fleet
// that tells all and in two that tell through hubs.
func TestLeaveReachesAllRouters(t *testing.T) {
	for _, size := range []int{3, 50, 330} {
		synctest.Test(t, func(t *testing.T) {
			tellers, _ := newRoutersIn(5, size)
			var mu sync.Mutex
			knows := make(map[string]string)
			for _, teller := range tellers {
				teller.Balancer.OnNotice = func(backend slipwick.Backend, _ slipwick.Notice) {
					mu.Lock()
					defer mu.Unlock()
					knows[teller.Self] += backend.ID
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			for _, teller := range tellers {
				go teller.Run(ctx)
			}
			time.Sleep(3 * pause)
			b := tellers[size-1].Balancer
			lease := ask(t, b, 7)
			b.Noticed(lease, slipwick.Notice{
				Leaving: true,
			})
			time.Sleep(4 * pause)
			synctest.Wait()
			cancel()
			for _, teller := range tellers {
				<-teller.Done()
			}
			for _, teller := range tellers {
				if got, want := knows[teller.Self], lease.Backend.ID; got != want {
					t.Errorf("%d routers: router %s knows that %q leave, want %q", size, teller.Self, got, want)
				}
			}
		})
	}
}

// TestNewsFitOnePacket has a router tell as much of everything as a datagram takes.
func TestNewsFitOnePacket(t *testing.T) {
	const mostBytes, each = 1400, 200
	var told balance.Told
	for i := range uint64(each) {
		told.Reads = append(told.Reads, balance.Read{
			Part:   ^i,
			Server: i << 40,
		})
		told.Outcomes = append(told.Outcomes, balance.Outcomes{
			Server: i << 41,
			Good:   maxOutcomeCount,
			Failed: maxOutcomeCount,
		})
		told.Leaving = append(told.Leaving, i<<42)
	}
	tellers, _ := newRouters(1)
	leaving := 0
	for _, packet := range tellers[0].encode(exchangepb.Scope_SCOPE_OWN, false, told) {
		if got := len(packet); got > mostBytes {
			t.Errorf("got a datagram of %d bytes, want at most %d", got, mostBytes)
		}
		message := &exchangepb.Told{}
		if err := proto.Unmarshal(packet, message); err != nil {
			t.Fatal(err)
		}
		leaving += len(decode(message).Leaving)
	}
	if leaving != each {
		t.Errorf("got %d servers that leave, want %d", leaving, each)
	}
}
