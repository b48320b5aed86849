package exchange

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

// BenchmarkReceive measures how a router handles one round of its hub's datagrams, which carry the
// counts of the whole fleet.
func BenchmarkReceive(b *testing.B) {
	for _, inFlight := range []int{125, 250, 500, 1000} {
		b.Run(fmt.Sprint(inFlight), func(b *testing.B) {
			syncer := NewSyncer("r")
			syncer.Balancer = balance.New("d")
			backends := testBackends(10 * inFlight)
			syncer.Balancer.SetBackends(backends)
			syncer.Balancer.SetPeers([]string{fleetSource}, 900)
			hub := NewSyncer("hub")
			update := balance.Update{}
			for i := range inFlight {
				update.InFlight = append(update.InFlight, balance.InFlight{
					Server: uint64(i),
					Count:  1,
				})
			}
			for b.Loop() {
				for _, packet := range hub.encode(exchangepb.Scope_SCOPE_FLEET, false, update) {
					syncer.Receive("", packet)
				}
			}
		})
	}
}
