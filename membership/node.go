package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership/memberpb"
)

// Node is one router's part in membership. Set the exported fields before Run.
type Node struct {
	Self   slipwick.Router
	Wire   Wire
	Policy Policy
	// Random chooses whom to probe.
	Random *rand.Rand
	// CatchUp has a router that starts ask others for what it lacks until it knows
	// the fleet, and tell of changes from then on: each packet until then brings some
	// of the fleet. Without it Settled is closed at once, and questions are answered
	// with all that is known.
	CatchUp bool
	// OnVersion is told of a higher version of the configuration that another
	// router has in force. It must not call back.
	OnVersion func(router string, version uint64)
	// OnChange is told of each change, one call at a time. It must not call
	// back.
	OnChange func(Change)

	mu      sync.Mutex
	members map[string]*member
	// live are those that are not dead, owners those that may own backend servers.
	live, owners roster
	backends     map[string]*member
	// version is that of the configuration in force.
	version uint64
	// listed is what the platform\'s list said last of backend servers.
	listed map[string]slipwick.BoxState
	// digest hashes all that the node knows: the sums of all boxes.
	digest   uint64
	rumours  rumours
	probes   map[uint64]*probe
	sequence uint64
	// round holds the routers still to be probed in this round.
	round    []string
	differed int
	syncedAt time.Time
	// metAt is when a router that was not known was asked last.
	metAt   time.Time
	pushing bool
	died    []string
	// changed says that OnChange is due.
	changed bool
	// startedAt is when Run began. questions counts those to other routers, same
	// and quiet the answers since news came last: from routers that know just
	// the same, and from others that know nothing more.
	startedAt   time.Time
	askedBackAt time.Time
	questions   uint64
	same, quiet int
	settled     chan struct{}
	done        chan struct{}
}

// NewNode makes a node that knows itself alone.
func NewNode(self slipwick.Router, wire Wire, policy Policy, random *rand.Rand) *Node {
	n := &Node{
		Self:      self,
		Wire:      wire,
		Policy:    policy,
		Random:    random,
		OnChange:  func(Change) {},
		OnVersion: func(string, uint64) {},
		members:   make(map[string]*member),
		backends:  make(map[string]*member),
		probes:    make(map[uint64]*probe),
		listed:    make(map[string]slipwick.BoxState),
		startedAt: time.Now(),
		settled:   make(chan struct{}),
		done:      make(chan struct{}),
	}
	news := newsOf(self)
	// A restarted router is newer than its earlier life.
	news.Incarnation = uint64(time.Now().UnixMilli())
	n.members[self.ID] = &member{}
	n.set(n.members[self.ID], news)
	return n
}

func newsOf(router slipwick.Router) *memberpb.News {
	return &memberpb.News{
		Id:         router.ID,
		Address:    router.Address,
		DataCentre: router.DataCentre,
		Region:     router.Region,
	}
}

// Run probes until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer close(n.done)
	var wait time.Duration
	n.locked(func() {
		n.startedAt = time.Now()
		n.changed = true
		n.spread(n.self().news)
		// Routers that start together do not probe together.
		wait = time.Duration(n.Random.Int64N(int64(n.Policy.Period)))
	})
	var parts sync.WaitGroup
	if n.CatchUp {
		parts.Go(func() { n.catchUp(ctx) })
	} else {
		n.Alone()
	}
	defer parts.Wait()
	first := time.NewTimer(wait)
	defer first.Stop()
	select {
	case <-ctx.Done():
		return
	case <-first.C:
	}
	ticker := time.NewTicker(n.Policy.Period)
	defer ticker.Stop()
	for {
		n.locked(n.tick)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Done is closed when Run has ended.
func (n *Node) Done() <-chan struct{} {
	return n.done
}

// locked runs a step and tells of what it changed.
func (n *Node) locked(step func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	step()
	n.tell()
}

// tell calls OnChange if something changed that others act on.
func (n *Node) tell() {
	if !n.changed || n.CatchUp && !n.isSettled() {
		return
	}
	change := n.snapshot()
	n.changed, n.died = false, nil
	n.OnChange(change)
}

func (n *Node) snapshot() Change {
	change := Change{
		Routers:  n.owners.share(),
		Died:     n.died,
		Backends: make(map[string]memberpb.State),
	}
	for id, m := range n.backends {
		if state := m.news.GetState(); state != memberpb.State_STATE_LIVE {
			change.Backends[id] = state
		}
	}
	return change
}

func (n *Node) self() *member {
	return n.members[n.Self.ID]
}

// Leave tells the others that this router leaves: it owns nothing any more.
func (n *Node) Leave() {
	n.locked(func() { n.declare(memberpb.State_STATE_LEAVING) })
}

// Stop tells the others that this router is gone.
func (n *Node) Stop() {
	n.locked(func() {
		n.declare(memberpb.State_STATE_DEAD)
		n.push()
	})
}

// declare gives this router a new state of its own.
func (n *Node) declare(state memberpb.State) {
	news := newsOf(n.Self)
	news.State = state
	news.Incarnation = n.self().news.GetIncarnation() + 1
	n.set(n.self(), news)
	n.changed = true
	n.spread(news)
}

// SetVersion tells other routers, a few at once and the rest with each packet,
// which version of the configuration is in force here.
func (n *Node) SetVersion(version uint64) {
	n.locked(func() {
		if version <= n.version {
			return
		}
		n.version = version
		n.pushLater()
	})
}

// SetBackend spreads the state of a backend server that this router owns.
func (n *Node) SetBackend(id string, state memberpb.State) {
	n.locked(func() {
		known := n.backends[id]
		if known != nil && known.news.GetState() == state {
			return
		}
		incarnation := uint64(time.Now().UnixMilli())
		if known != nil {
			incarnation = max(incarnation, known.news.GetIncarnation()+1)
		}
		n.apply(&memberpb.News{
			Id:          id,
			State:       state,
			Incarnation: incarnation,
			Backend:     true,
		})
	})
}

// Observe takes the platform's list of boxes. It adds routers not known yet
// and marks what leaves; what is missing from it, or live, proves nothing.
func (n *Node) Observe(boxes []slipwick.Box) {
	n.locked(func() {
		for i := range boxes {
			n.observe(&boxes[i])
		}
	})
}

func (n *Node) observe(box *slipwick.Box) {
	switch {
	case box.Kind == slipwick.BoxBackend:
		n.observeBackend(box)
	case box.ID != n.Self.ID:
		n.observeRouter(box)
	}
}

func (n *Node) observeRouter(box *slipwick.Box) {
	news := &memberpb.News{
		Id:         box.ID,
		Address:    box.Address,
		DataCentre: box.DataCentre,
		Region:     box.Region,
	}
	before := n.members[box.ID]
	if before != nil {
		news.Incarnation = before.news.GetIncarnation()
	}
	if box.State == slipwick.BoxLeaving {
		news.State = memberpb.State_STATE_LEAVING
	} else if before != nil {
		return
	}
	n.apply(news)
}

// observeBackend acts on what changed in the list since it was read last: as it
// lags, what it goes on saying may be older than what an owner found out.
func (n *Node) observeBackend(box *slipwick.Box) {
	last := n.listed[box.ID]
	n.listed[box.ID] = box.State
	known := n.backends[box.ID]
	news := &memberpb.News{
		Id:      box.ID,
		Backend: true,
	}
	if known != nil {
		news.Incarnation = known.news.GetIncarnation()
	}
	back := last == slipwick.BoxLeaving && box.State == slipwick.BoxLive
	switch {
	case box.State == slipwick.BoxLeaving && last != slipwick.BoxLeaving:
		news.State = memberpb.State_STATE_LEAVING
	case back && known != nil && known.news.GetState() == memberpb.State_STATE_LEAVING:
		news.Incarnation++
	default:
		return
	}
	n.apply(news)
}

// Address gives where a router listens; empty if it is not known or dead.
func (n *Node) Address(router string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.members[router]; m != nil && !m.dead() {
		return m.news.GetAddress()
	}
	return ""
}

// Routers gives the routers that are not dead, by ID. The list is shared: it must not be
// changed.
func (n *Node) Routers() []slipwick.Router {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.live.share()
}
