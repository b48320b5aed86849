package exchange

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/placement"
)

// TestCountsFollowTheCurrentHub guards against counts of the fleet that grow without end. A router got a
// new hub whose datagrams had lower sequence numbers than those of the hub before, as that had started
// later. The first datagram of each round was ignored as old, and the others were added to the counts
// known, so that the router took the pool for full: it refused all requests for the rest of the day.
func TestCountsFollowTheCurrentHub(t *testing.T) {
	const servers = 2 * maxCounts
	list := make([]balance.Entry, 0, servers)
	for i := range servers {
		list = append(list, balance.Entry{
			Pool: "p",
			Backend: slipwick.Backend{
				ID:      fmt.Sprint("s", i),
				Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			},
		})
	}
	s := NewSyncer("r")
	s.Balancer = balance.New("d")
	s.Balancer.SetBackends(list)
	s.Balancer.SetPeers([]string{fleetSource}, servers)
	sendRounds := func(hub string, first uint64, rounds int) {
		sequence := first
		for range rounds {
			sequence++
			round := sequence
			for part := range servers / maxCounts {
				sequence++
				message := &exchangepb.Told{
					From:     hub,
					Scope:    exchangepb.Scope_SCOPE_FLEET,
					Sequence: sequence,
					Round:    round,
				}
				for _, entry := range list[part*maxCounts : (part+1)*maxCounts] {
					message.Servers = append(message.Servers, placement.IDHash(entry.Incarnation()))
					message.InFlight = append(message.InFlight, 1)
					message.Reading = append(message.Reading, 0)
				}
				s.Receive("", marshal(message))
			}
		}
	}
	check := func(when string) {
		t.Helper()
		if got, want := s.Balancer.RequestsInFlight("p"), float64(servers); got != want {
			t.Errorf("%s: got %g requests in flight, want %g", when, got, want)
		}
	}
	sendRounds("late hub", 1_000_000, 3)
	check("first hub")
	sendRounds("early hub", 1_000, 5)
	check("hub with lower sequence numbers")
	sendRounds("late hub", 2_000_000, 1)
	check("back at the first hub")
}
