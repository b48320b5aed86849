package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// fleet is a few routers with claims, connected by links with faults.
type fleet struct {
	store *fakeStore

	mu     sync.Mutex
	random *rand.Rand
	nodes  map[string]*node
	ids    []string
	// lostMessages and duplicatedMessages are the shares of messages that are lost or delivered
	// twice; maxDelay is the maximum delay that is added to a message.
	lostMessages       float64
	duplicatedMessages float64
	maxDelay           time.Duration
}

// node is one router. While it is paused, its messages and its calls to the store wait.
type node struct {
	*fakeStore

	id      string
	claims  *Claims
	cancel  context.CancelFunc
	mu      sync.Mutex
	resumed chan struct{}
	killed  bool
}

func testPolicy() Policy {
	policy := DefaultPolicy()
	policy.Journals = 2
	policy.SegmentBytes = 200
	return policy
}

func newFleet(seed uint64, count int, policy Policy) *fleet {
	f := &fleet{
		store:  newFakeStore(seed),
		random: rand.New(rand.NewPCG(seed, 7)),
		nodes:  make(map[string]*node),
	}
	for i := range count {
		f.ids = append(f.ids, fmt.Sprintf("router-%d", i))
	}
	for _, id := range f.ids {
		f.start(id, policy)
	}
	for _, id := range f.ids {
		f.nodes[id].claims.SetRouters(routersOf(f.ids))
	}
	return f
}

func routersOf(ids []string) []slipwick.Router {
	var routers []slipwick.Router
	for _, id := range ids {
		routers = append(routers, slipwick.Router{
			ID: id,
		})
	}
	return routers
}

func (f *fleet) start(id string, policy Policy) {
	n := &node{
		fakeStore: f.store,
		id:        id,
		resumed:   closed(),
	}
	n.claims = New(id, n, &fleetTransport{
		fleet: f,
		from:  n,
	}, policy)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	go n.claims.Run(ctx)
}

func closed() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (f *fleet) node(id string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

func (n *node) waitWhilePaused() {
	n.mu.Lock()
	resumed := n.resumed
	n.mu.Unlock()
	<-resumed
}

func (n *node) pauseFor(length time.Duration) {
	n.mu.Lock()
	resumed := make(chan struct{})
	n.resumed = resumed
	n.mu.Unlock()
	time.Sleep(length)
	close(resumed)
}

func (n *node) kill() {
	n.mu.Lock()
	n.killed = true
	n.mu.Unlock()
	n.cancel()
}

func (n *node) isKilled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
}

// Update waits before and after the call while the router is paused.
func (n *node) Update(ctx context.Context, key string, value []byte, v slipwick.Version) (slipwick.Version, error) {
	n.waitWhilePaused()
	defer n.waitWhilePaused()
	return n.fakeStore.Update(ctx, key, value, v)
}

// Create calls Update with version 0.
func (n *node) Create(ctx context.Context, key string, value []byte) (slipwick.Version, error) {
	return n.Update(ctx, key, value, 0)
}

// fleetTransport sends the envelopes of one router.
type fleetTransport struct {
	fleet *fleet
	from  *node
}

func (t *fleetTransport) Send(router string, envelope *peerpb.Envelope) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.nodes[router]
	if to == nil || t.from.isKilled() || f.random.Float64() < f.lostMessages {
		return
	}
	times := 1
	if f.random.Float64() < f.duplicatedMessages {
		times = 2
	}
	for range times {
		after := time.Millisecond + time.Duration(f.random.Int64N(int64(2*time.Millisecond+f.maxDelay)))
		time.AfterFunc(after, func() {
			t.from.waitWhilePaused()
			to.waitWhilePaused()
			if !to.isKilled() {
				to.claims.Receive(t.from.id, envelope)
			}
		})
	}
}

func (f *fleet) context() context.Context {
	return context.Background()
}

func (f *fleet) stop() {
	for _, id := range f.ids {
		n := f.node(id)
		n.cancel()
		<-n.claims.Done()
	}
}

// newKey returns a UUIDv7 with the time of the test clock.
func newKey(random *rand.Rand) string {
	var id uuid.UUID
	ms := uint64(time.Now().UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	for i := 6; i < len(id); i++ {
		id[i] = byte(random.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}
