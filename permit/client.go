package permit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/permit/permitpb"
)

var _ slipwick.PermitSource = (*Client)(nil)

// releaseDelay is how long a release may wait for others for the same coordinator.
const releaseDelay = 500 * time.Microsecond

// Client acquires permits for the requests of this router. Set the exported fields before Run.
type Client struct {
	Self slipwick.Router
	// Routers returns the live routers, with or without this one.
	Routers  func() []slipwick.Router
	Capacity slipwick.CapacitySource
	// Transport sends to coordinators; Address returns the address at which a router receives datagrams.
	Transport Transport
	Address   func(slipwick.Router) string
	// Decisions counts what was decided.
	Decisions Decisions

	fleetOnce sync.Once
	fleetView *fleet
	// run identifies this process to coordinators; lastID is the latest ID of a permit.
	run    uint64
	lastID atomic.Uint64

	poolsMu sync.RWMutex
	pools   map[string]*poolState

	mu           sync.Mutex
	waiting      map[uint64]*waitingRequest
	held         map[uint64]*heldPermit
	coordinators map[string]*coordinatorState
	out          outbox

	wake chan struct{}
	done chan struct{}
}

// NewClient returns a client without permits.
func NewClient() *Client {
	return &Client{
		run:          uint64(time.Now().UnixMilli()),
		pools:        make(map[string]*poolState),
		waiting:      make(map[uint64]*waitingRequest),
		held:         make(map[uint64]*heldPermit),
		coordinators: make(map[string]*coordinatorState),
		wake:         make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run has returned.
func (c *Client) Done() <-chan struct{} {
	return c.done
}

func (c *Client) fleet() *fleet {
	c.fleetOnce.Do(func() {
		if c.fleetView == nil {
			c.fleetView = newFleet(c.Self, c.Routers, c.Address)
		}
	})
	return c.fleetView
}

// Run sends releases until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer close(c.done)
	for {
		select {
		case <-ctx.Done():
			c.flush()
			return
		case <-c.wake:
		}
		timer := time.NewTimer(releaseDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
		c.flush()
	}
}

func (c *Client) flush() {
	c.mu.Lock()
	datagrams := c.out.take()
	c.mu.Unlock()
	sendAll(c.Transport, datagrams)
}

// pool returns the state of a pool. It doesn't allocate if the pool is known.
func (c *Client) pool(name string) *poolState {
	c.poolsMu.RLock()
	p := c.pools[name]
	c.poolsMu.RUnlock()
	if p != nil {
		return p
	}
	c.poolsMu.Lock()
	defer c.poolsMu.Unlock()
	if p = c.pools[name]; p == nil {
		p = newPoolState(name)
		c.pools[name] = p
	}
	return p
}

// RecordShed notes that a backend server of the pool rejected a request that was sent without a
// permit. The pool is under pressure for a while.
func (c *Client) RecordShed(pool string) {
	c.pool(pool).recordPressure(clock.Now())
}

// Release ends a permit. It doesn't block.
func (c *Client) Release(permit slipwick.Permit, evidence slipwick.Evidence) {
	if permit.Pool != "" && evidence == slipwick.EvidenceShed {
		c.RecordShed(permit.Pool)
	}
	if permit.ID == 0 {
		return
	}
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[permit.ID]
	if h == nil {
		return
	}
	delete(c.held, permit.ID)
	duration := now.Sub(h.granted)
	if evidence == slipwick.EvidenceGood {
		h.pool.recordHeld(duration)
	}
	if h.coordinator != "" {
		c.releaseLocked(h.coordinator, &permitpb.Release{
			Id:       permit.ID,
			Evidence: uint32(evidence),
			HeldUs:   uint32(min(max(duration, time.Microsecond), maxLease) / time.Microsecond),
		})
	}
}

// releaseLocked adds a release to the next datagram for the coordinator.
func (c *Client) releaseLocked(coordinator string, release *permitpb.Release) {
	packet := c.out.packet(coordinator, c.run)
	packet.Releases = append(packet.Releases, release)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Receive handles a datagram of a coordinator.
func (c *Client) Receive(address string, packet *permitpb.Packet) {
	if packet.Run != c.run {
		// The coordinator holds permits of an earlier run of this router: any datagram of this run ends
		// them.
		sendAll(c.Transport, []datagram{c.ping(address)})
		return
	}
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coordinatorLocked(address, now).recordHeard(now)
	for _, answer := range packet.Answers {
		c.answerLocked(address, answer, now)
	}
	for _, id := range packet.Audits {
		if h := c.held[id]; (h == nil || h.coordinator != address) && c.waiting[id] == nil {
			c.releaseLocked(address, &permitpb.Release{
				Id: id,
			})
		}
	}
}

// answerLocked passes an answer to the request that waits for it. A permit that nothing waits for is
// released.
func (c *Client) answerLocked(address string, answer *permitpb.Answer, now time.Time) {
	w := c.waiting[answer.Id]
	granted := answer.Verdict == permitpb.Verdict_VERDICT_GRANTED
	if w == nil || w.coordinator != address {
		h := c.held[answer.Id]
		if granted && (h == nil || h.coordinator != address) {
			c.releaseLocked(address, &permitpb.Release{
				Id: answer.Id,
			})
		}
		return
	}
	if !w.sentAt.IsZero() {
		c.coordinatorLocked(address, now).recordRoundTrip(now.Sub(w.sentAt))
		w.sentAt = time.Time{}
	}
	if granted {
		// The permit is held from here on, so that an audit doesn't release it.
		c.held[answer.Id] = &heldPermit{
			pool:        w.pool,
			coordinator: address,
			granted:     now,
		}
	}
	if answer.Verdict != permitpb.Verdict_VERDICT_QUEUED {
		delete(c.waiting, answer.Id)
	} else if len(w.answers) == answerCapacity-1 {
		// The last place is for the last answer. The request reads a confirmation next anyway.
		return
	}
	w.answers <- answer
}

// ping returns a datagram that asks a coordinator whether it is there.
func (c *Client) ping(address string) datagram {
	return datagram{
		address: address,
		packet: &permitpb.Packet{
			Run:  c.run,
			Ping: true,
		},
	}
}
