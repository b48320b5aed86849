package exchange

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

// BenchmarkReceive takes one round of a hub's tellings: what the fleet has in flight.
func BenchmarkReceive(b *testing.B) {
	for _, inFlight := range []int{125, 250, 500, 1000} {
		b.Run(fmt.Sprint(inFlight), func(b *testing.B) {
			t := NewTeller("r")
			t.Balancer = balance.New("d")
			backends := testBackends(10 * inFlight)
			t.Balancer.SetBackends(backends)
			t.Balancer.SetPeers([]string{fleetSource}, 900)
			hub := NewTeller("hub")
			told := balance.Told{}
			for i := range inFlight {
				told.InFlight = append(told.InFlight, balance.InFlight{
					Server: uint64(i),
					Count:  1,
				})
			}
			for b.Loop() {
				for _, packet := range hub.encode(exchangepb.Scope_SCOPE_FLEET, false, told) {
					t.Receive("", packet)
				}
			}
		})
	}
}
