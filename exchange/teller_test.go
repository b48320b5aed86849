package exchange

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/placement"
)

// switchboard carries datagrams between tellers by address.
type switchboard struct {
	tellers map[string]*Teller

	mu      sync.Mutex
	longest int
	// far counts the bytes told between data centres, near the others.
	far, near int
}

// port is one router's way into the switchboard.
type port struct {
	board *switchboard
	from  string
}

func (p *port) Send(address string, packet []byte) {
	p.board.mu.Lock()
	p.board.longest = max(p.board.longest, len(packet))
	to := p.board.tellers[address]
	if to != nil && to.Balancer.DataCentre == p.board.tellers[p.from].Balancer.DataCentre {
		p.board.near += len(packet)
	} else {
		p.board.far += len(packet)
	}
	p.board.mu.Unlock()
	if to != nil {
		to.Receive(p.from, packet)
	}
}

func newRouters(n int) ([]*Teller, *switchboard) {
	return newRoutersIn(1, n)
}

// newRoutersIn makes routers of several data centres.
func newRoutersIn(dataCentres, n int) ([]*Teller, *switchboard) {
	board := &switchboard{
		tellers: make(map[string]*Teller),
	}
	var routers []slipwick.Router
	for i := range n {
		routers = append(routers, slipwick.Router{
			ID:         fmt.Sprint(i),
			DataCentre: fmt.Sprint(i % dataCentres),
		})
	}
	var backends []balance.Listed
	for i := range 20 {
		backends = append(backends, balance.Listed{
			Backend: slipwick.Backend{
				ID:      fmt.Sprintf("engine-%d", i),
				Address: fmt.Sprintf("10.0.0.%d:80", i),
			},
			Pool: "p",
		})
	}
	var tellers []*Teller
	for i := range n {
		t := NewTeller(fmt.Sprint(i))
		t.Balancer = balance.New(routers[i].DataCentre)
		t.Balancer.OnLongRead = t.Soon
		t.Balancer.SetBackends(backends)
		t.Routers = func() []slipwick.Router { return routers }
		t.Address = func(r slipwick.Router) string { return r.ID }
		t.Wire = &port{
			board: board,
			from:  t.Self,
		}
		board.tellers[t.Self] = t
		tellers = append(tellers, t)
	}
	return tellers, board
}

func ask(t *testing.T, b *balance.Balancer, key uint64) *balance.Lease {
	t.Helper()
	lease, err := b.Acquire(&balance.Ask{
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

// TestRoutersShareOneBound has three routers send one prompt at once; together
// they have to stay below the bound that one alone would keep.
func TestRoutersShareOneBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tellers, board := newRouters(3)
		ctx, cancel := context.WithCancel(t.Context())
		for _, teller := range tellers {
			go teller.Run(ctx)
		}
		counts := make(map[string]int)
		for i := range 90 {
			time.Sleep(pause)
			synctest.Wait()
			counts[ask(t, tellers[i%3].Balancer, 7).Backend.ID]++
		}
		cancel()
		for _, teller := range tellers {
			<-teller.Done()
		}
		// 1.6 * 90 / 20 + 2, and one that was chosen below it.
		for id, got := range counts {
			if got > 11 {
				t.Errorf("%s: got %d of 90 requests at 20 engines, want at most 11", id, got)
			}
		}
		if board.longest > 1400 {
			t.Errorf("got a datagram of %d bytes, want all within one packet", board.longest)
		}
	})
}

// TestHubsCountEveryRequestOnce has a fleet too large to tell all; each router
// has one request at an engine of its own choice, and has to learn of all the
// others' once.
func TestHubsCountEveryRequestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 50
		tellers, _ := newRouters(size)
		ctx, cancel := context.WithCancel(t.Context())
		for i, teller := range tellers {
			ask(t, teller.Balancer, uint64(i))
			go teller.Run(ctx)
		}
		time.Sleep(6 * pause)
		synctest.Wait()
		for _, teller := range tellers {
			if got := teller.Balancer.InFlight("p"); got != size {
				t.Errorf("router %s: got %v requests in the fleet, want %d", teller.Self, got, size)
			}
			if got := teller.Balancer.KnownParts(); got != size {
				t.Errorf("router %s: got %d parts, want %d", teller.Self, got, size)
			}
		}
		cancel()
		for _, teller := range tellers {
			<-teller.Done()
		}
	})
}

// TestFailuresReachAllRouters has one router's requests fail at one engine, in a
// fleet that tells all and in one that tells through hubs.
func TestFailuresReachAllRouters(t *testing.T) {
	for _, size := range []int{3, 50} {
		synctest.Test(t, func(t *testing.T) {
			tellers, _ := newRouters(size)
			var mu sync.Mutex
			out := make(map[string]int)
			for _, teller := range tellers {
				teller.Balancer.OnOut = func(backend slipwick.Backend, _ time.Duration) {
					mu.Lock()
					defer mu.Unlock()
					out[teller.Self+" "+backend.ID]++
				}
			}
			for range 4 {
				b := tellers[size-1].Balancer
				b.Release(ask(t, b, 7), slipwick.EvidenceError)
			}
			ctx, cancel := context.WithCancel(t.Context())
			for _, teller := range tellers {
				go teller.Run(ctx)
			}
			time.Sleep(6 * pause)
			synctest.Wait()
			cancel()
			for _, teller := range tellers {
				<-teller.Done()
			}
			if len(out) != size {
				t.Errorf("%d routers: got %d that left the engine out, want all: %v", size, len(out), out)
			}
		})
	}
}

func TestHubsAreFewAndEvenlyTold(t *testing.T) {
	for _, size := range []int{17, 62, 80, 330} {
		var routers []slipwick.Router
		for i := range size {
			routers = append(routers, slipwick.Router{
				ID: fmt.Sprint(i),
			})
		}
		h := chooseHubs(routers)
		told := 0
		for _, hub := range h.chosen {
			group := len(h.group(hub.ID))
			told += group
			if group > 4*len(h.chosen) {
				t.Errorf("%d routers: a hub has %d of them, want at most 4 times the %d hubs", size, group, len(h.chosen))
			}
		}
		if told+len(h.chosen) != size {
			t.Errorf("%d routers: %d hubs and %d that tell them, want all", size, len(h.chosen), told)
		}
	}
}

func TestRouterThatStartsLearnsWhatOthersKnow(t *testing.T) {
	tellers, board := newRouters(2)
	for key := range uint64(500) {
		lease := ask(t, tellers[0].Balancer, key)
		tellers[0].Balancer.Release(lease, slipwick.EvidenceGood)
	}
	server := httptest.NewServer(&KnowledgeServer{
		Balancer: tellers[0].Balancer,
	})
	defer server.Close()
	learn := func() {
		k, err := FetchKnowledge(t.Context(), server.Client(), server.Listener.Addr().String(), &balance.Question{})
		if err != nil {
			t.Fatal(err)
		}
		tellers[1].Balancer.Learn(k)
	}
	learn()
	if got := len(tellers[1].Balancer.Uncovered("p")); got != 20 {
		t.Errorf("the other has not learnt of all caches: got %d of 20 engines missing, want all", got)
	}
	tellers[0].Balancer.CoverAll()
	learn()
	got, missing := tellers[1].Balancer.KnownParts(), len(tellers[1].Balancer.Uncovered("p"))
	if got != 500 || missing > 0 {
		t.Errorf("got %d parts and %d engines missing, want 500 and none", got, missing)
	}
	tellers[0].tell(false)
	if board.longest > 1400 {
		t.Errorf("got a datagram of %d bytes, want all within one packet", board.longest)
	}
}

func TestGarbageIsDropped(t *testing.T) {
	tellers, _ := newRouters(2)
	for _, packet := range []string{"", "garbage", "\x2a\x08\x01\x02\x03\x04\x05\x06\x07\x08\x32\x01\x09"} {
		tellers[0].Receive("x", []byte(packet))
	}
	if got := tellers[0].Balancer.KnownParts(); got != 0 {
		t.Errorf("got %d parts from garbage, want 0", got)
	}
}

// longAsk is a request whose prompt takes an engine some 100 ms to read.
func longAsk(t *testing.T, b *balance.Balancer) *balance.Lease {
	t.Helper()
	lease, err := b.Acquire(&balance.Ask{
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

// TestLongReadingsAreKnownBeforeTheyAreOver has one router of a large fleet send
// a long prompt that no engine has: 60 ms later all others have to know where it
// is being read, so that they do not have it read again.
func TestLongReadingsAreKnownBeforeTheyAreOver(t *testing.T) {
	const size = 50
	for _, dataCentres := range []int{1, 4} {
		for reader := range size {
			synctest.Test(t, func(t *testing.T) {
				tellers, _ := newRoutersIn(dataCentres, size)
				ctx, cancel := context.WithCancel(t.Context())
				for _, teller := range tellers {
					go teller.Run(ctx)
				}
				time.Sleep(6*pause + pause/10)
				read := longAsk(t, tellers[reader].Balancer)
				time.Sleep(60 * time.Millisecond)
				synctest.Wait()
				for _, teller := range tellers {
					if teller == tellers[reader] {
						continue
					}
					lease := longAsk(t, teller.Balancer)
					if lease.Wait <= 0 || lease.Backend.ID != read.Backend.ID && lease.FetchFrom != read.Backend.Address {
						t.Errorf("%d data centres, read for %d: router %s got %+v, want it to wait for the reading at %s",
							dataCentres, reader, teller.Self, lease, read.Backend.ID)
					}
				}
				cancel()
				for _, teller := range tellers {
					<-teller.Done()
				}
			})
		}
	}
}

// TestHubsAreNear has a fleet of several data centres tell: a router's hub is in
// its own, so that the counts of all, which are most of what is told, stay there.
func TestHubsAreNear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 120
		tellers, board := newRoutersIn(6, size)
		ctx, cancel := context.WithCancel(t.Context())
		for i, teller := range tellers {
			for key := range uint64(10) {
				ask(t, teller.Balancer, uint64(i)*10+key)
			}
			go teller.Run(ctx)
		}
		time.Sleep(20 * pause)
		cancel()
		for _, teller := range tellers {
			<-teller.Done()
			if got := teller.Balancer.InFlight("p"); got != 10*size {
				t.Errorf("router %s: got %v requests in the fleet, want %d", teller.Self, got, 10*size)
			}
		}
		if board.far > board.near {
			t.Errorf("got %d bytes between data centres and %d within, want less between", board.far, board.near)
		}
	})
}

// TestRoundsOfManyDatagramsAddUp has a hub tell of more requests than fit one datagram, round
// after round, and datagrams come twice a round later: each datagram is taken once, so that a
// round costs by its counts and not by the square of its datagrams.
func TestRoundsOfManyDatagramsAddUp(t *testing.T) {
	for _, inFlight := range []int{60, 120, 240} {
		hub, router := NewTeller("hub"), NewTeller("r")
		router.Balancer = balance.New("d")
		router.Balancer.SetBackends(testBackends(inFlight))
		router.Balancer.SetPeers([]string{fleetSource}, 30)
		var last [][]byte
		for round := range 3 {
			told := balance.Told{}
			for _, listed := range testBackends(inFlight - round) {
				told.InFlight = append(told.InFlight, balance.InFlight{
					Server: placement.IDHash(listed.Life()),
					Count:  1 + round,
				})
			}
			packets := hub.encode(exchangepb.Scope_SCOPE_FLEET, false, told)
			for _, packet := range packets {
				router.Receive("", packet)
			}
			// What comes late is of a round that is over.
			for _, packet := range last {
				router.Receive("", packet)
			}
			last = packets
			want := float64((1 + round) * (inFlight - round))
			if got := router.Balancer.InFlight("p"); got != want {
				t.Errorf("%d in flight, round %d: got %v, want %v", inFlight, round, got, want)
			}
		}
	}
}
