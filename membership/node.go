package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership/memberpb"
)

// Node is one router's participant in the gossip protocol. Set the exported fields before Run.
type Node struct {
	Self      slipwick.Router
	Transport Transport
	Policy    Policy
	// Random chooses whom to probe and to send updates to.
	Random *rand.Rand
	// CatchUp makes a starting router request what it lacks from others until it knows the fleet.
	// OnChange is called only from then on, because each packet before brings only a part of the
	// fleet. Without CatchUp, FleetKnown is closed at once, and sync requests ask for all that the
	// other router knows.
	CatchUp bool
	// IsOnlyRouter says that there is no other router, so that a router that finds none knows the fleet.
	IsOnlyRouter bool
	// OnVersion is called when another router has a higher version of the configuration in force.
	// It runs under the node's lock and must not call the node.
	OnVersion func(router string, version uint64)
	// OnChange is called for each change, one call at a time. It runs under the node's lock and
	// must not call the node.
	OnChange func(Change)

	mu sync.Mutex
	// members holds the known routers by ID.
	members map[string]*member
	// notDead holds the routers that are not dead, eligible those that may own backend servers.
	notDead, eligible roster
	// fleetSize is the largest recent number of routers; hasMet says that this router has known another one,
	// metLateAt is when it learnt of the first if that was after the catch-up.
	fleetSize fleetSize
	hasMet    bool
	metLateAt time.Time
	// backends holds the known backend servers by ID.
	backends map[string]*member
	// version is the version of the configuration in force.
	version uint64
	// listed holds the state of each backend server in the platform's latest listing.
	listed map[string]slipwick.BoxState
	// digest is the XOR of the digest parts of all boxes.
	digest uint64
	queue  updateQueue
	// probes holds the probes that have not been acked, by sequence; probeSequence is that of the
	// last one sent.
	probes        map[uint64]*probe
	probeSequence uint64
	// probeRound holds the routers still to be probed in this round.
	probeRound []string
	// digestMismatches counts the probes and acks in a row with another digest; syncedAt is when a
	// sync request was last sent because of them.
	digestMismatches int
	syncedAt         time.Time
	// unknownSyncedAt is when a sync request was last sent to an unknown router.
	unknownSyncedAt time.Time
	pushPending     bool
	// died holds the IDs of routers that died since the last call of OnChange.
	died []string
	// changed is set when OnChange has to be called.
	changed bool
	// startedAt is when Run began; syncedBackAt is when a sync request of another router was last
	// answered with one in return.
	startedAt    time.Time
	syncedBackAt time.Time
	// syncSequence is the sequence of the last sync request of this router.
	syncSequence uint64
	// matchingResponses counts the responses to sync requests that had the digest of this node,
	// quietResponses those that had another digest but no updates. A response with another digest
	// and updates sets both to 0.
	matchingResponses, quietResponses int
	fleetKnown                        chan struct{}
	done                              chan struct{}
}

// NewNode returns a node that knows only itself.
func NewNode(self slipwick.Router, transport Transport, policy Policy, random *rand.Rand) *Node {
	n := &Node{
		Self:       self,
		Transport:  transport,
		Policy:     policy,
		Random:     random,
		OnChange:   func(Change) {},
		OnVersion:  func(string, uint64) {},
		members:    make(map[string]*member),
		backends:   make(map[string]*member),
		probes:     make(map[uint64]*probe),
		listed:     make(map[string]slipwick.BoxState),
		startedAt:  time.Now(),
		fleetKnown: make(chan struct{}),
		done:       make(chan struct{}),
	}
	update := updateOf(self)
	// The start time makes a restarted router's incarnation higher than its previous one.
	update.Incarnation = uint64(time.Now().UnixMilli())
	n.members[self.ID] = &member{}
	n.set(n.members[self.ID], update)
	return n
}

// updateOf returns an update with the router's own data.
func updateOf(router slipwick.Router) *memberpb.News {
	return &memberpb.News{
		Id:         router.ID,
		Address:    router.Address,
		DataCentre: router.DataCentre,
		Region:     router.Region,
	}
}

// Run probes other routers, and blocks until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer close(n.done)
	var wait time.Duration
	n.locked(func() {
		n.startedAt = time.Now()
		n.changed = true
		n.broadcast(n.self().update)
		// A random first delay keeps routers that start together from probing at the same time.
		wait = time.Duration(n.Random.Int64N(int64(n.Policy.ProbeInterval)))
	})
	var tasks sync.WaitGroup
	if n.CatchUp {
		tasks.Go(func() { n.catchUp(ctx) })
	} else {
		n.FinishCatchUp()
	}
	defer tasks.Wait()
	first := time.NewTimer(wait)
	defer first.Stop()
	select {
	case <-ctx.Done():
		return
	case <-first.C:
	}
	ticker := time.NewTicker(n.Policy.ProbeInterval)
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

// Done returns a channel that is closed when Run has ended.
func (n *Node) Done() <-chan struct{} {
	return n.done
}

// locked runs a step under the lock and reports what it changed to OnChange.
func (n *Node) locked(step func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	step()
	n.countLive()
	n.notify()
}

// notify calls OnChange if there is a change to report.
func (n *Node) notify() {
	if !n.changed || n.CatchUp && !n.isFleetKnown() {
		return
	}
	change := n.snapshot()
	n.changed, n.died = false, nil
	n.OnChange(change)
}

func (n *Node) snapshot() Change {
	change := Change{
		EligibleRouters: n.eligible.share(),
		Died:            n.died,
		Backends:        make(map[string]memberpb.State),
	}
	for id, m := range n.backends {
		if state := m.update.GetState(); state != memberpb.State_STATE_LIVE {
			change.Backends[id] = state
		}
	}
	return change
}

func (n *Node) self() *member {
	return n.members[n.Self.ID]
}

// Leave announces that this router is leaving and may no longer own backend servers.
func (n *Node) Leave() {
	n.locked(func() { n.announceState(memberpb.State_STATE_LEAVING) })
}

// Stop announces that this router has stopped, and sends that to a few routers at once.
func (n *Node) Stop() {
	n.locked(func() {
		n.announceState(memberpb.State_STATE_DEAD)
		n.push()
	})
}

// announceState broadcasts a new state of this router.
func (n *Node) announceState(state memberpb.State) {
	update := updateOf(n.Self)
	update.State = state
	update.Incarnation = n.self().update.GetIncarnation() + 1
	n.set(n.self(), update)
	n.changed = true
	n.broadcast(update)
}

// SetVersion announces the version of the configuration in force here: to a few routers at once, to
// the others with each packet. Lower versions are ignored.
func (n *Node) SetVersion(version uint64) {
	n.locked(func() {
		if version <= n.version {
			return
		}
		n.version = version
		n.schedulePush()
	})
}

// SetBackend broadcasts the state of a backend server that this router owns.
func (n *Node) SetBackend(id string, state memberpb.State) {
	n.locked(func() {
		known := n.backends[id]
		if known != nil && known.update.GetState() == state {
			return
		}
		incarnation := uint64(time.Now().UnixMilli())
		if known != nil {
			incarnation = max(incarnation, known.update.GetIncarnation()+1)
		}
		n.apply(&memberpb.News{
			Id:          id,
			State:       state,
			Incarnation: incarnation,
			Backend:     true,
		})
	})
}

// MergeListing merges the platform's listing of boxes: it adds unknown routers and marks boxes that
// leave. Because the listing lags, a box that is missing from it changes nothing, and neither does
// one listed as live unless a backend server was listed as leaving before.
func (n *Node) MergeListing(boxes []slipwick.Box) {
	n.locked(func() {
		for i := range boxes {
			n.mergeBox(&boxes[i])
		}
	})
}

func (n *Node) mergeBox(box *slipwick.Box) {
	switch {
	case box.Kind == slipwick.BoxBackend:
		n.mergeBackend(box)
	case box.ID != n.Self.ID:
		n.mergeRouter(box)
	}
}

func (n *Node) mergeRouter(box *slipwick.Box) {
	update := &memberpb.News{
		Id:         box.ID,
		Address:    box.Address,
		DataCentre: box.DataCentre,
		Region:     box.Region,
	}
	before := n.members[box.ID]
	if before != nil {
		update.Incarnation = before.update.GetIncarnation()
	}
	if box.State == slipwick.BoxLeaving {
		update.State = memberpb.State_STATE_LEAVING
	} else if before != nil {
		return
	}
	n.apply(update)
}

// mergeBackend acts only on differences from the previous listing: because listings lag, a repeated
// state may be older than what the owner has found out.
func (n *Node) mergeBackend(box *slipwick.Box) {
	last := n.listed[box.ID]
	n.listed[box.ID] = box.State
	known := n.backends[box.ID]
	update := &memberpb.News{
		Id:      box.ID,
		Backend: true,
	}
	if known != nil {
		update.Incarnation = known.update.GetIncarnation()
	}
	isLiveAgain := last == slipwick.BoxLeaving && box.State == slipwick.BoxLive
	switch {
	case box.State == slipwick.BoxLeaving && last != slipwick.BoxLeaving:
		update.State = memberpb.State_STATE_LEAVING
	case isLiveAgain && known != nil && known.update.GetState() == memberpb.State_STATE_LEAVING:
		update.Incarnation++
	default:
		return
	}
	n.apply(update)
}

// Address returns the address of a router; empty if it is unknown or dead.
func (n *Node) Address(router string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.members[router]; m != nil && !m.dead() {
		return m.update.GetAddress()
	}
	return ""
}

// Routers returns the routers that are not dead, sorted by ID. The slice is shared and must not be
// modified.
func (n *Node) Routers() []slipwick.Router {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.notDead.share()
}
