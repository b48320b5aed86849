package exchange

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

type discardTransport struct{}

func (discardTransport) Send(string, []byte) {}

// BenchmarkSendUpdate measures one update of a router that is no hub, with one request in flight.
func BenchmarkSendUpdate(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var routers []slipwick.Router
			for i := range size {
				routers = append(routers, slipwick.Router{
					ID:         fmt.Sprintf("r-%04d", i),
					DataCentre: fmt.Sprint("dc-", i%6),
				})
			}
			syncer := NewSyncer("r-0000")
			syncer.Balancer = balance.New("dc-0")
			var list []balance.Entry
			for i := range 10 * size {
				list = append(list, balance.Entry{
					Pool: "p",
					Backend: slipwick.Backend{
						ID: fmt.Sprint("s", i),
					},
				})
			}
			syncer.Balancer.SetBackends(list)
			syncer.Transport = discardTransport{}
			syncer.Routers = func() []slipwick.Router { return routers }
			syncer.Address = func(r slipwick.Router) string { return r.ID }
			if _, err := syncer.Balancer.Acquire(&balance.Request{
				Pool: "p",
			}); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				syncer.sendUpdate(false)
			}
		})
	}
}

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

// BenchmarkHubUpdate measures one update of a hub of 330 routers: each router of its group has requests at 465 of 930
// engines, and sends the outcomes and observations of speed of some of them.
func BenchmarkHubUpdate(b *testing.B) {
	const size, engines = 330, 930
	var routers []slipwick.Router
	for i := range size {
		routers = append(routers, slipwick.Router{
			ID: fmt.Sprintf("r-%04d", i),
		})
	}
	hubs := chooseHubs(routers)
	hub := NewSyncer(hubs.chosen[0].ID)
	hub.Balancer = balance.New("d")
	hub.Balancer.SetBackends(testBackends(engines))
	hub.Transport = discardTransport{}
	hub.Routers = func() []slipwick.Router { return routers }
	hub.Address = func(r slipwick.Router) string { return r.ID }
	for _, events := range []int{0, 2, 40} {
		b.Run(fmt.Sprint(events), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				for i, member := range hubs.groupOf(hub.Self) {
					var update balance.Update
					for engine := range uint64(engines / 2) {
						update.InFlight = append(update.InFlight, balance.InFlight{
							Server: engine + uint64(i),
							Count:  1,
						})
					}
					for engine := range uint64(events) {
						update.Outcomes = append(update.Outcomes, balance.OutcomeCounts{
							Server: engine,
							Failed: 1,
						})
						update.Speeds = append(update.Speeds, balance.SpeedCounts{
							Server:    engine,
							Responses: 1,
						})
					}
					sender := NewSyncer(member.ID)
					sender.sequence.Store(hub.sequence.Load())
					for _, packet := range sender.encode(exchangepb.Scope_SCOPE_OWN, false, update) {
						hub.Receive("", packet)
					}
				}
				b.StartTimer()
				hub.sendUpdate(false)
			}
		})
	}
}
