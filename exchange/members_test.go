package exchange

import (
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

// eventSums adds up the outcomes and observations of speed that each router receives.
type eventSums struct {
	t         *testing.T
	outcomes  map[string]int
	speeds    map[string]balance.SpeedCounts
	maxPacket int
	// parts counts the cached parts that all routers receive.
	parts int
}

func (s *eventSums) Send(address string, packet []byte) {
	message := &exchangepb.Told{}
	if err := proto.Unmarshal(packet, message); err != nil {
		s.t.Fatal(err)
	}
	s.maxPacket = max(s.maxPacket, len(packet))
	s.add(address, decode(message))
}

func (s *eventSums) add(router string, update balance.Update) {
	s.parts += len(update.CachedParts)
	for _, o := range update.Outcomes {
		s.outcomes[router] += 1000*o.Failed + o.Good
	}
	sum := s.speeds[router]
	for i := range update.Speeds {
		sum = addCounts(sum, update.Speeds[i], 1)
	}
	s.speeds[router] = sum
}

func newEventSums(t *testing.T) *eventSums {
	return &eventSums{
		t:        t,
		outcomes: make(map[string]int),
		speeds:   make(map[string]balance.SpeedCounts),
	}
}

// TestHubReturnsNoEventsToTheirSender guards against outcomes and observations of speed that a router
// counts twice, because its hub sends them back, or that it never receives from others. The routers of
// a group send events of few and of many servers, of which the hub relays a part in each update; other
// hubs send events too.
func TestHubReturnsNoEventsToTheirSender(t *testing.T) {
	const size, updates = 100, 12
	for _, servers := range []int{5, 2 * maxSpeedsAtOnce} {
		syncers, _ := newSyncers(size)
		hubs := chooseHubs(syncers[0].Routers())
		self := hubs.chosen[0]
		var hub *Syncer
		for _, syncer := range syncers {
			if syncer.Self == self.ID {
				hub = syncer
			}
		}
		received, sent := newEventSums(t), newEventSums(t)
		hub.Transport = received
		random := rand.New(rand.NewPCG(1, uint64(servers)))
		send := func(router slipwick.Router, scope exchangepb.Scope) {
			var update balance.Update
			for server := range servers {
				if random.IntN(4) > 0 {
					continue
				}
				update.Outcomes = append(update.Outcomes, balance.OutcomeCounts{
					Server: uint64(server),
					Good:   random.IntN(2),
					Failed: 1,
				})
				update.Speeds = append(update.Speeds, balance.SpeedCounts{
					Server:      uint64(server),
					Responses:   1,
					LogSlowdown: random.IntN(100),
					Reports:     random.IntN(2),
					Rejections:  random.IntN(20) / 19,
				})
			}
			sent.add(router.ID, update)
			sender := NewSyncer(router.ID)
			sender.sequence.Store(hub.sequence.Load())
			for _, packet := range sender.encode(scope, false, update) {
				hub.Receive("", packet)
			}
		}
		group, others := hubs.groupOf(self.ID), excluding(hubs.chosen, self.ID)
		for update := range updates + speedTurns {
			if update < updates {
				// Most routers of the group send events, the others none.
				for _, router := range group[:len(group)-2] {
					send(router, exchangepb.Scope_SCOPE_OWN)
				}
				send(others[0], exchangepb.Scope_SCOPE_GROUP)
			}
			hub.sendUpdate(false)
		}
		outcomes, speeds := 0, balance.SpeedCounts{}
		for id := range sent.outcomes {
			outcomes += sent.outcomes[id]
			sum := sent.speeds[id]
			speeds = addCounts(speeds, sum, 1)
		}
		for _, router := range group {
			if got, want := received.outcomes[router.ID], outcomes-sent.outcomes[router.ID]; got != want {
				t.Errorf("%d servers, router %s: got %d failures and %d successes, want %d and %d",
					servers, router.ID, got/1000, got%1000, want/1000, want%1000)
			}
			want := addCounts(speeds, sent.speeds[router.ID], -1)
			if got := received.speeds[router.ID]; got != want {
				t.Errorf("%d servers, router %s: got %+v, want %+v", servers, router.ID, got, want)
			}
		}
		if received.maxPacket > 1400 {
			t.Errorf("got a datagram of %d bytes, want 1,400 at most", received.maxPacket)
		}
	}
}

// addCounts adds counts without the bound of SpeedCounts.Add.
func addCounts(sum, other balance.SpeedCounts, sign int) balance.SpeedCounts {
	sum.Responses += sign * other.Responses
	sum.LogSlowdown += sign * other.LogSlowdown
	sum.Reports += sign * other.Reports
	sum.LogPace += sign * other.LogPace
	sum.Rejections += sign * other.Rejections
	return sum
}
