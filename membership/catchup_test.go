package membership

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership/memberpb"
)

// testNetwork connects nodes by address, with a delay.
type testNetwork struct {
	mu    sync.Mutex
	nodes map[string]*Node
	// sent counts the bytes that each address sent; largest is the size of the largest packet.
	sent    map[string]int
	largest int
}

// testTransport sends the packets of one node.
type testTransport struct {
	network *testNetwork
	from    string
}

func (tt *testTransport) Send(address string, packet []byte) {
	tt.network.mu.Lock()
	defer tt.network.mu.Unlock()
	tt.network.sent[tt.from] += len(packet)
	tt.network.largest = max(tt.network.largest, len(packet))
	time.AfterFunc(time.Millisecond, func() {
		tt.network.mu.Lock()
		to := tt.network.nodes[address]
		tt.network.mu.Unlock()
		if to != nil {
			to.Receive(tt.from, packet)
		}
	})
}

func (tn *testNetwork) start(ctx context.Context, i int) *Node {
	address := fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250)
	n := NewNode(slipwick.Router{
		ID:         fmt.Sprintf("router-%d", i),
		Address:    address,
		DataCentre: fmt.Sprint("dc-", i%6),
	}, &testTransport{
		network: tn,
		from:    address,
	}, DefaultPolicy(), rand.New(rand.NewPCG(uint64(i), 1)))
	n.CatchUp = true
	tn.mu.Lock()
	tn.nodes[address] = n
	tn.mu.Unlock()
	go n.Run(ctx)
	return n
}

// TestFleetStartingTogetherIsKnownToAllRouters starts a fleet within 0.3 s, each router with the
// same three seeds. Each router must know all others, and detect that it does, 0.3 s after the last
// start, and the seeds, the routers that the others join first, must not send too much meanwhile.
func TestFleetStartingTogetherIsKnownToAllRouters(t *testing.T) {
	for _, size := range []int{8, 62, 295, 330} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			tn := &testNetwork{
				nodes: make(map[string]*Node),
				sent:  make(map[string]int),
			}
			random := rand.New(rand.NewPCG(7, 7))
			nodes := make([]*Node, size)
			var starts sync.WaitGroup
			for i := range size {
				wait := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
				starts.Go(func() {
					time.Sleep(wait)
					nodes[i] = tn.start(ctx, i)
					for attempt := range 9 {
						nodes[i].Join(fmt.Sprintf("10.0.0.%d:7340", (i+attempt)%3))
						time.Sleep(80 * time.Millisecond)
					}
				})
			}
			time.Sleep(600 * time.Millisecond)
			synctest.Wait()
			for _, n := range nodes {
				if got := len(n.Routers()); got != size {
					t.Errorf("%d routers: %s knows %d of them 0.3 s after the last start, want all", size, n.Self.ID, got)
				}
				if !n.isFleetKnown() {
					t.Errorf("%d routers: %s has not detected yet that it knows all", size, n.Self.ID)
				}
			}
			// The slowest links of boxes in the largest fleets, 20 Mbit/s, carry 1.5 MB in 0.6 s. The
			// seeds must leave a part of that for other traffic.
			tn.mu.Lock()
			sent, largest := maps.Clone(tn.sent), tn.largest
			tn.mu.Unlock()
			for address, got := range sent {
				if got > 1_000_000 {
					t.Errorf("%d routers: %s sent %d bytes, want at most 1,000,000", size, address, got)
				}
			}
			if largest > 1450 {
				t.Errorf("%d routers: got a packet of %d bytes, want at most 1,450 without headers", size, largest)
			}
			cancel()
			starts.Wait()
			for _, n := range nodes {
				<-n.Done()
			}
			time.Sleep(5 * time.Second)
		})
	}
}

// updateCounter counts the updates and the largest packet that a node sends.
type updateCounter struct {
	t                *testing.T
	updates, largest int
}

func (c *updateCounter) Send(_ string, packet []byte) {
	message := &memberpb.Packet{}
	if err := proto.Unmarshal(packet, message); err != nil {
		c.t.Fatal(err)
	}
	c.updates += len(message.GetNews())
	c.largest = max(c.largest, len(packet))
}

// TestResponseHasAWholeFleet guards against a router that learns of only a part of the largest fleet from a
// response, and has to ask again.
func TestResponseHasAWholeFleet(t *testing.T) {
	const size = 1000
	counter := &updateCounter{
		t: t,
	}
	n := NewNode(slipwick.Router{
		ID:      "self",
		Address: "10.0.0.1:1",
	}, counter, DefaultPolicy(), rand.New(rand.NewPCG(1, 1)))
	for i := range size - 1 {
		m := &member{}
		n.members[fmt.Sprint("router-", i)] = m
		n.set(m, &memberpb.News{
			Id:          fmt.Sprint("router-", i),
			Address:     fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250),
			DataCentre:  "dc-1",
			Incarnation: 1_700_000_000_000,
		})
	}
	n.respond("10.0.0.2:1", &memberpb.Packet{
		Kind:    memberpb.Kind_KIND_SYNC,
		Packets: maxResponsePackets,
	})
	if counter.updates != size {
		t.Errorf("got %d routers in a response, want %d", counter.updates, size)
	}
	if counter.largest > 1450 {
		t.Errorf("got a packet of %d bytes, want at most 1,450 without headers", counter.largest)
	}
}

// TestCatchUpEndsWithoutOtherRouters starts a router whose seeds are all down.
func TestCatchUpEndsWithoutOtherRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newTestNode()
		n.CatchUp = true
		go n.Run(ctx)
		started := time.Now()
		<-n.FleetKnown()
		if took := time.Since(started); took > 350*time.Millisecond {
			t.Errorf("got %v until it found that there is no other router, want at most 350 ms", took)
		}
		cancel()
		<-n.Done()
		time.Sleep(time.Second)
	})
}

// TestStartingRouterReportsFleetOnce applies updates for fleets of several sizes one router at a
// time: OnChange is called once when the fleet is known, and for each change from then on.
func TestStartingRouterReportsFleetOnce(t *testing.T) {
	for _, size := range []int{50, 100, 200} {
		n := newTestNode()
		n.CatchUp = true
		var reported []int
		n.OnChange = func(change Change) { reported = append(reported, len(change.EligibleRouters)) }
		for i := range size {
			n.applyUpdate(&memberpb.News{
				Id: fmt.Sprint("r", i),
			})
		}
		n.FinishCatchUp()
		n.applyUpdate(&memberpb.News{
			Id: "late",
		})
		if want := []int{size + 1, size + 2}; !slices.Equal(reported, want) {
			t.Errorf("got changes with %v routers, want %v", reported, want)
		}
	}
}
