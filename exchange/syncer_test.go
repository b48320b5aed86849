package exchange

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/placement"
)

// testNetwork delivers datagrams between syncers by address.
type testNetwork struct {
	syncers map[string]*Syncer

	mu        sync.Mutex
	maxPacket int
	// crossDataCentre counts the bytes sent between data centres, withinDataCentre all others.
	crossDataCentre, withinDataCentre int
}

// testTransport is one router's transport over the network.
type testTransport struct {
	network *testNetwork
	from    string
}

func (t *testTransport) Send(address string, packet []byte) {
	t.network.mu.Lock()
	t.network.maxPacket = max(t.network.maxPacket, len(packet))
	to := t.network.syncers[address]
	if to != nil && to.Balancer.DataCentre == t.network.syncers[t.from].Balancer.DataCentre {
		t.network.withinDataCentre += len(packet)
	} else {
		t.network.crossDataCentre += len(packet)
	}
	t.network.mu.Unlock()
	if to != nil {
		to.Receive(t.from, packet)
	}
}

func newSyncers(n int) ([]*Syncer, *testNetwork) {
	return newSyncersIn(1, n)
}

// newSyncersIn returns routers spread over several data centres, and their network.
func newSyncersIn(dataCentres, n int) ([]*Syncer, *testNetwork) {
	network := &testNetwork{
		syncers: make(map[string]*Syncer),
	}
	var routers []slipwick.Router
	for i := range n {
		routers = append(routers, slipwick.Router{
			ID:         fmt.Sprint(i),
			DataCentre: fmt.Sprint(i % dataCentres),
		})
	}
	var backends []balance.Entry
	for i := range 20 {
		backends = append(backends, balance.Entry{
			Backend: slipwick.Backend{
				ID:      fmt.Sprintf("engine-%d", i),
				Address: fmt.Sprintf("10.0.0.%d:80", i),
			},
			Pool: "p",
		})
	}
	var syncers []*Syncer
	for i := range n {
		syncer := NewSyncer(fmt.Sprint(i))
		syncer.Balancer = balance.New(routers[i].DataCentre)
		syncer.Balancer.OnLongPrefill = syncer.TriggerUpdate
		syncer.Balancer.SetBackends(backends)
		syncer.Routers = func() []slipwick.Router { return routers }
		syncer.Address = func(r slipwick.Router) string { return r.ID }
		syncer.Transport = &testTransport{
			network: network,
			from:    syncer.Self,
		}
		network.syncers[syncer.Self] = syncer
		syncers = append(syncers, syncer)
	}
	return syncers, network
}

func acquire(t *testing.T, b *balance.Balancer, key uint64) *balance.Lease {
	t.Helper()
	lease, err := b.Acquire(&balance.Request{
		Pool: "p",
		Prompt: []balance.Part{
			{
				Key: key,
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// TestRoutersShareOneBound has three routers send one prompt at the same time. Together they have
// to stay below the load bound that a single router would keep.
func TestRoutersShareOneBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		syncers, network := newSyncers(3)
		ctx, cancel := context.WithCancel(t.Context())
		for _, syncer := range syncers {
			go syncer.Run(ctx)
		}
		counts := make(map[string]int)
		for i := range 90 {
			time.Sleep(updateInterval)
			synctest.Wait()
			counts[acquire(t, syncers[i%3].Balancer, 7).Backend.ID]++
		}
		cancel()
		for _, syncer := range syncers {
			<-syncer.Done()
		}
		// With the default load factor of 2 and slack of 3, a router uses the bound 1.6 * mean + 2: it
		// leaves the rest to requests that other routers send meanwhile. The mean is 90 / 20, and an
		// engine below the bound gets one more.
		for id, got := range counts {
			if got > 11 {
				t.Errorf("%s: got %d of 90 requests at 20 engines, want at most 11", id, got)
			}
		}
		if network.maxPacket > 1400 {
			t.Errorf("got a datagram of %d bytes, want all within one packet", network.maxPacket)
		}
	})
}

// TestHubsCountEveryRequestOnce runs a fleet too large for a full mesh. Each router has one request
// at an engine, and has to learn of all others' requests exactly once.
func TestHubsCountEveryRequestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 50
		syncers, _ := newSyncers(size)
		ctx, cancel := context.WithCancel(t.Context())
		for i, syncer := range syncers {
			acquire(t, syncer.Balancer, uint64(i))
			go syncer.Run(ctx)
		}
		time.Sleep(6 * updateInterval)
		synctest.Wait()
		for _, syncer := range syncers {
			if got := syncer.Balancer.RequestsInFlight("p"); got != size {
				t.Errorf("router %s: got %v requests in the fleet, want %d", syncer.Self, got, size)
			}
			if got := syncer.Balancer.CachedPartCount(); got != size {
				t.Errorf("router %s: got %d parts, want %d", syncer.Self, got, size)
			}
		}
		cancel()
		for _, syncer := range syncers {
			<-syncer.Done()
		}
	})
}

// TestFailuresReachAllRouters has one router's requests fail at one engine, in a full mesh and in a
// fleet with hubs.
func TestFailuresReachAllRouters(t *testing.T) {
	for _, size := range []int{3, 50} {
		synctest.Test(t, func(t *testing.T) {
			syncers, _ := newSyncers(size)
			var mu sync.Mutex
			ejected := make(map[string]int)
			for _, syncer := range syncers {
				syncer.Balancer.OnEjected = func(backend slipwick.Backend, _ time.Duration) {
					mu.Lock()
					defer mu.Unlock()
					ejected[syncer.Self+" "+backend.ID]++
				}
			}
			for range 4 {
				b := syncers[size-1].Balancer
				b.Release(acquire(t, b, 7), slipwick.EvidenceError)
			}
			ctx, cancel := context.WithCancel(t.Context())
			for _, syncer := range syncers {
				go syncer.Run(ctx)
			}
			time.Sleep(6 * updateInterval)
			synctest.Wait()
			cancel()
			for _, syncer := range syncers {
				<-syncer.Done()
			}
			if len(ejected) != size {
				t.Errorf("%d routers: got %d that ejected the engine, want all: %v", size, len(ejected), ejected)
			}
		})
	}
}

func TestInvalidDatagramsAreDropped(t *testing.T) {
	syncers, _ := newSyncers(2)
	for _, packet := range []string{"", "garbage", "\x2a\x08\x01\x02\x03\x04\x05\x06\x07\x08\x32\x01\x09"} {
		syncers[0].Receive("x", []byte(packet))
	}
	if got := syncers[0].Balancer.CachedPartCount(); got != 0 {
		t.Errorf("got %d parts from invalid datagrams, want 0", got)
	}
}

// acquireLongPrompt sends a request whose prompt takes an engine some 100 ms to prefill.
func acquireLongPrompt(t *testing.T, b *balance.Balancer) *balance.Lease {
	t.Helper()
	lease, err := b.Acquire(&balance.Request{
		Pool: "p",
		Prompt: []balance.Part{
			{
				Key:    7,
				Tokens: 10000,
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// TestLongPrefillsAreKnownBeforeTheyEnd has one router of a large fleet send a long prompt that no
// engine has cached. 60 ms later all others must know where it is being prefilled, so that they do
// not have another engine prefill it again.
func TestLongPrefillsAreKnownBeforeTheyEnd(t *testing.T) {
	const size = 50
	for _, dataCentres := range []int{1, 4} {
		for sender := range size {
			synctest.Test(t, func(t *testing.T) {
				syncers, _ := newSyncersIn(dataCentres, size)
				ctx, cancel := context.WithCancel(t.Context())
				for _, syncer := range syncers {
					go syncer.Run(ctx)
				}
				time.Sleep(6*updateInterval + updateInterval/10)
				first := acquireLongPrompt(t, syncers[sender].Balancer)
				time.Sleep(60 * time.Millisecond)
				synctest.Wait()
				for _, syncer := range syncers {
					if syncer == syncers[sender] {
						continue
					}
					lease := acquireLongPrompt(t, syncer.Balancer)
					if lease.Wait <= 0 || lease.Backend.ID != first.Backend.ID && lease.FetchFrom != first.Backend.Address {
						t.Errorf("%d data centres, long prompt at router %d: router %s got %+v, want it to wait for the prefill at %s",
							dataCentres, sender, syncer.Self, lease, first.Backend.ID)
					}
				}
				cancel()
				for _, syncer := range syncers {
					<-syncer.Done()
				}
			})
		}
	}
}

// TestHubsAreInTheSameDataCentre runs a fleet in several data centres. A router's hub must be in
// its own data centre, so that the counts of the fleet, which are most of the traffic, stay there.
func TestHubsAreInTheSameDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 120
		syncers, network := newSyncersIn(6, size)
		ctx, cancel := context.WithCancel(t.Context())
		for i, syncer := range syncers {
			for key := range uint64(10) {
				acquire(t, syncer.Balancer, uint64(i)*10+key)
			}
			go syncer.Run(ctx)
		}
		time.Sleep(20 * updateInterval)
		cancel()
		for _, syncer := range syncers {
			<-syncer.Done()
			if got := syncer.Balancer.RequestsInFlight("p"); got != 10*size {
				t.Errorf("router %s: got %v requests in the fleet, want %d", syncer.Self, got, 10*size)
			}
		}
		if network.crossDataCentre > network.withinDataCentre {
			t.Errorf("got %d bytes between data centres and %d within, want less between",
				network.crossDataCentre, network.withinDataCentre)
		}
	})
}

// TestRoundsOfManyDatagramsAddUp has a hub send counts of more requests than fit one datagram,
// round after round, while the datagrams of each round arrive again one round late. Each datagram
// must be handled once, so that the cost of a round grows with its counts and not with the square
// of its datagrams.
func TestRoundsOfManyDatagramsAddUp(t *testing.T) {
	for _, inFlight := range []int{60, 120, 240} {
		hub, router := NewSyncer("hub"), NewSyncer("r")
		router.Balancer = balance.New("d")
		router.Balancer.SetBackends(testBackends(inFlight))
		router.Balancer.SetPeers([]string{fleetSource}, 30)
		var last [][]byte
		for round := range 3 {
			update := balance.Update{}
			for _, listed := range testBackends(inFlight - round) {
				update.InFlight = append(update.InFlight, balance.InFlight{
					Server: placement.IDHash(listed.Incarnation()),
					Count:  1 + round,
				})
			}
			packets := hub.encode(exchangepb.Scope_SCOPE_FLEET, false, update)
			for _, packet := range packets {
				router.Receive("", packet)
			}
			// Late datagrams belong to a round that is over.
			for _, packet := range last {
				router.Receive("", packet)
			}
			last = packets
			want := float64((1 + round) * (inFlight - round))
			if got := router.Balancer.RequestsInFlight("p"); got != want {
				t.Errorf("%d in flight, round %d: got %v, want %v", inFlight, round, got, want)
			}
		}
	}
}

// TestQueuesKeepTheirBound guards against memory that a hub fills with the events of one large update, and
// against events of the hub itself that it doesn't send because a queue of events to relay is full.
func TestQueuesKeepTheirBound(t *testing.T) {
	var update balance.Update
	for i := range uint64(maxQueued - 1) {
		update.CachedParts = append(update.CachedParts, balance.CachedPart{Part: i})
		update.Outcomes = append(update.Outcomes, balance.OutcomeCounts{Server: i, Failed: 1})
		update.Leaving = append(update.Leaving, i)
	}
	hub := NewSyncer("hub")
	hub.Balancer = balance.New("d")
	hub.Routers = func() []slipwick.Router { return nil }
	for range 3 {
		for _, scope := range []exchangepb.Scope{exchangepb.Scope_SCOPE_OWN, exchangepb.Scope_SCOPE_GROUP} {
			hub.queueForRelay(&exchangepb.Told{
				From:   "r",
				Scope:  scope,
				Urgent: true,
			}, update)
		}
		hub.queueForRelay(&exchangepb.Told{
			Scope:  exchangepb.Scope_SCOPE_NEWS,
			Urgent: true,
		}, update)
	}
	for _, events := range []balance.Update{hub.groupEvents, hub.hubEvents} {
		for _, got := range []int{len(events.CachedParts), len(events.Outcomes), len(events.Leaving)} {
			if got != maxQueued {
				t.Errorf("got %d events of a kind queued, want %d", got, maxQueued)
			}
		}
	}
	for _, parts := range [][]balance.CachedPart{hub.urgentGroupParts, hub.urgentHubParts} {
		if got := len(parts); got != maxQueued {
			t.Errorf("got %d urgent parts queued, want %d", got, maxQueued)
		}
	}
	sent := hub.groupEvents
	addEvents(&sent, balance.Update{
		Leaving: []uint64{1 << 60},
	})
	if !slices.Contains(sent.Leaving, 1<<60) {
		t.Error("got an own event of the hub left out beside a full queue, want it sent")
	}
}

// TestEarlyEventsAreNotRelayedLater guards against outcomes that a router of a full mesh receives before
// its first update, and relays minutes later, once the fleet has grown and the router is a hub.
func TestEarlyEventsAreNotRelayedLater(t *testing.T) {
	syncers, _ := newSyncers(50)
	routers := syncers[0].Routers()
	hubs := chooseHubs(routers)
	self := hubs.chosen[0].ID
	hub := syncers[slices.IndexFunc(syncers, func(s *Syncer) bool { return s.Self == self })]
	received := newEventSums(t)
	hub.Transport = received
	other := hubs.groupOf(self)[0]
	for _, packet := range NewSyncer(other.ID).encode(exchangepb.Scope_SCOPE_OWN, true, balance.Update{
		CachedParts: []balance.CachedPart{{Part: 7}},
		Outcomes:    []balance.OutcomeCounts{{Failed: 1}},
	}) {
		hub.Receive("", packet)
	}
	hub.Routers = func() []slipwick.Router { return routers[:2] }
	hub.sendUpdate(false)
	hub.Routers = func() []slipwick.Router { return routers }
	hub.sendUpdate(false)
	hub.relayUrgent()
	for id, got := range received.outcomes {
		if got != 0 {
			t.Errorf("router %s: got %d failures of before the first update, want none", id, got/1000)
		}
	}
	if received.parts != 0 {
		t.Errorf("got %d parts of before the first update, want none", received.parts)
	}
}
