package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

var _ slipwick.Admission = (*Coordinator)(nil)

// Coordinator is one router's part in admission: it asks owners for slots, and
// grants, holds and refuses slots of the engines that it owns. Set the exported
// fields before SetView and Run.
type Coordinator struct {
	// Self is the router's ID.
	Self   string
	Link   Link
	Policy Policy
	// Share gives a workspace's entitlement.
	Share func(workspace string) Share
	// OnHealth is told of each ejection and return, and of engines that say
	// they are leaving. It must not call back.
	OnHealth func(backend string, health Health)

	mu       sync.Mutex
	view     *placement.View
	topology map[string]*topology
	outbox   outbox
	lastID   uint64
	// renewedAt is when slots were renewed last.
	renewedAt time.Time

	// As the asker.
	asks  map[uint64]*ask
	slots map[uint64]*slot

	// As the owner.
	owned     map[uint64]*owned
	pools     map[string]*poolLoad
	memory    *lru.LRU[memoryKey, uint64]
	handovers map[uint64]*earlyHandover
	done      chan struct{}
}

// NewCoordinator makes a coordinator of the router.
func NewCoordinator(self string, link Link, policy Policy) *Coordinator {
	c := &Coordinator{
		Self:      self,
		Link:      link,
		Policy:    policy,
		Share:     func(string) Share { return Share{} },
		OnHealth:  func(string, Health) {},
		asks:      make(map[uint64]*ask),
		slots:     make(map[uint64]*slot),
		owned:     make(map[uint64]*owned),
		pools:     make(map[string]*poolLoad),
		handovers: make(map[uint64]*earlyHandover),
		// A restarted router must not use an ID of its earlier life.
		lastID: uint64(time.Now().UnixMicro()),
		done:   make(chan struct{}),
	}
	// The size is positive, the only thing that NewLRU refuses.
	c.memory, _ = lru.NewLRU[memoryKey, uint64](max(policy.Memory, 1), nil)
	return c
}

// housekeeping is how often leases and reports are looked through.
const housekeeping = time.Second

// Run renews, expires and refreshes until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.locked(c.tick)
		}
	}
}

// Done is closed when Run has ended.
func (c *Coordinator) Done() <-chan struct{} {
	return c.done
}

// locked runs a step and sends what it has to tell others.
func (c *Coordinator) locked(step func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	step()
	c.flush()
}

func (c *Coordinator) tick() {
	now := time.Now()
	c.renew(now)
	for _, o := range c.owned {
		c.expire(o, now)
	}
	for pool := range c.pools {
		c.refresh(pool, now)
	}
	for engine, early := range c.handovers {
		if now.Sub(early.at) > c.Policy.LeaseTime {
			delete(c.handovers, engine)
		}
	}
}

// Receive takes an envelope from another router.
func (c *Coordinator) Receive(from string, envelope *peerpb.Envelope) {
	c.locked(func() { c.receive(from, envelope) })
}

func (c *Coordinator) receive(from string, envelope *peerpb.Envelope) {
	// What is held comes before what is asked for.
	for _, handover := range envelope.GetHandovers() {
		c.onHandover(handover)
	}
	for _, renewal := range envelope.GetRenewals() {
		c.onRenewal(from, renewal)
	}
	for _, release := range envelope.GetReleases() {
		c.onRelease(from, release)
	}
	for _, notice := range envelope.GetNotices() {
		c.onNotice(notice)
	}
	for _, placed := range envelope.GetPlaced() {
		c.remember(placed)
	}
	for _, load := range envelope.GetLoads() {
		c.onLoad(from, load)
	}
	for _, total := range envelope.GetTotals() {
		c.onTotal(total)
	}
	for _, request := range envelope.GetRequests() {
		c.onRequest(from, request)
	}
	for _, answer := range envelope.GetAnswers() {
		c.onAnswer(from, answer)
	}
}

// nextID gives an ID that this router has not used.
func (c *Coordinator) nextID() uint64 {
	c.lastID++
	return c.lastID
}

// Owned lists the IDs of the backend servers that this router owns.
func (c *Coordinator) Owned() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	owned := make([]string, 0, len(c.owned))
	for _, o := range c.owned {
		owned = append(owned, o.backend.ID)
	}
	slices.Sort(owned)
	return owned
}

// InFlight gives how many slots of each owned backend server are held, by ID.
func (c *Coordinator) InFlight() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	inFlight := make(map[string]int, len(c.owned))
	for _, o := range c.owned {
		inFlight[o.backend.ID] = len(o.leases)
	}
	return inFlight
}
