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

// Coordinator is one router's part of the fleet's admission control. It asks the owners of backend
// servers for slots, and grants, queues and refuses requests for slots of the backend servers that
// it owns itself. In this package, as in the messages, engine is the hash of the ID of any backend
// server, whether or not it runs inference. Set the exported fields before the first call of SetView
// and Run; the methods are safe for concurrent use.
type Coordinator struct {
	// Self is the ID of this router.
	Self string
	// Transport sends messages to the other routers.
	Transport Transport
	// Policy holds the tuning parameters.
	Policy Policy
	// Share returns a workspace's weight in queues and its limit on requests in flight. It is called
	// with the coordinator locked and must not call its methods.
	Share func(workspace string) Share
	// OnHealth is called when an owned backend server is ejected, is restored, or announces that it
	// is leaving. It is called with the coordinator locked and must not call its methods.
	OnHealth func(backend string, health Health)

	mu       sync.Mutex
	view     *placement.View
	topology map[string]*topology
	outbox   outbox
	lastID   uint64
	// renewedAt is the time of the last renewal of the slots held.
	renewedAt time.Time

	// State as a router that asks for slots: acquisitions by the request ID of their current attempt,
	// and the slots that this router holds by the ID of their grant.
	acquisitions map[uint64]*acquisition
	slots        map[uint64]*slot

	// State as an owner: backend servers by the hash of their ID, loads by pool, the backend
	// servers that served displaced chats, and handovers that arrived before the view that they
	// belong to.
	owned          map[uint64]*ownedBackend
	poolLoads      map[string]*poolLoad
	displaced      *lru.LRU[displacedKey, uint64]
	earlyHandovers map[uint64]*earlyHandover
	done           chan struct{}
}

// NewCoordinator returns a coordinator for the router with the ID self. It refuses all requests
// until SetView is called.
func NewCoordinator(self string, transport Transport, policy Policy) *Coordinator {
	c := &Coordinator{
		Self:           self,
		Transport:      transport,
		Policy:         policy,
		Share:          func(string) Share { return Share{} },
		OnHealth:       func(string, Health) {},
		acquisitions:   make(map[uint64]*acquisition),
		slots:          make(map[uint64]*slot),
		owned:          make(map[uint64]*ownedBackend),
		poolLoads:      make(map[string]*poolLoad),
		earlyHandovers: make(map[uint64]*earlyHandover),
		// IDs start from the current time, so that a restarted router does not reuse IDs from
		// before the restart.
		lastID: uint64(time.Now().UnixMicro()),
		done:   make(chan struct{}),
	}
	// NewLRU fails only for a size that is not positive.
	c.displaced, _ = lru.NewLRU[displacedKey, uint64](max(policy.MaxDisplacedChats, 1), nil)
	return c
}

// tickInterval is the interval at which Run checks which leases and load reports to renew or expire.
const tickInterval = time.Second

// Run renews the slots held, expires leases and repeats load reports. It blocks until ctx ends and
// must be called once.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.withLock(c.tick)
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (c *Coordinator) Done() <-chan struct{} {
	return c.done
}

// withLock runs step with the coordinator locked and then sends the messages that step added to the
// outbox.
func (c *Coordinator) withLock(step func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	step()
	c.flush()
}

// tick does the periodic work of Run.
func (c *Coordinator) tick() {
	now := time.Now()
	c.renewDue(now)
	for _, o := range c.owned {
		c.expireLeases(o, now)
	}
	for pool := range c.poolLoads {
		c.refreshReport(pool, now)
	}
	for engine, early := range c.earlyHandovers {
		if now.Sub(early.receivedAt) > c.Policy.LeaseTime {
			delete(c.earlyHandovers, engine)
		}
	}
}

// Receive handles an envelope from another router. It does not modify the envelope.
func (c *Coordinator) Receive(from string, envelope *peerpb.Envelope) {
	c.withLock(func() { c.receive(from, envelope) })
}

// receive handles an envelope with the coordinator locked.
func (c *Coordinator) receive(from string, envelope *peerpb.Envelope) {
	// Messages about slots that are held or released come before requests for new ones, so that
	// requests are decided on current counts.
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
		c.onPlaced(placed)
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

// nextID returns a request ID that this router has not used before.
func (c *Coordinator) nextID() uint64 {
	c.lastID++
	return c.lastID
}

// Owned returns the IDs of the backend servers that this router owns, sorted.
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

// InFlight returns, by ID, the number of slots held of each backend server that this router owns.
func (c *Coordinator) InFlight() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	inFlight := make(map[string]int, len(c.owned))
	for _, o := range c.owned {
		inFlight[o.backend.ID] = len(o.leases)
	}
	return inFlight
}
