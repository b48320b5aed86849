package membership

import (
	"time"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// pushDelay batches updates that arrive close together into one packet.
const pushDelay = 20 * time.Millisecond

// maxIncarnation bounds the incarnations of accepted updates. Incarnations are start times in Unix
// milliseconds, and somewhat more after refutations. One near the largest number could not be superseded.
const maxIncarnation = 1 << 62

// apply merges an update; one that is invalid or does not supersede the known state is ignored.
func (n *Node) apply(update *memberpb.News) {
	if update.GetIncarnation() > maxIncarnation {
		return
	}
	if update.GetId() == n.Self.ID && !update.GetBackend() {
		n.refute(update)
		return
	}
	known := n.members
	if update.GetBackend() {
		known = n.backends
	}
	m := known[update.GetId()]
	if m != nil && !supersedes(update, m.update) {
		return
	}
	if m == nil {
		if update.GetState() == memberpb.State_STATE_DEAD {
			return
		}
		m = &member{}
		known[update.GetId()] = m
	}
	n.replace(m, update)
	n.broadcast(update)
}

// replace replaces a member's state by a newer update.
func (n *Node) replace(m *member, update *memberpb.News) {
	wasDead := m.update != nil && m.dead()
	now := time.Now()
	n.set(m, update)
	m.suspectedAt = time.Time{}
	switch {
	case update.GetBackend():
		n.changed = true
	case update.GetState() == memberpb.State_STATE_SUSPECT:
		m.suspectedAt = now
	case update.GetState() == memberpb.State_STATE_DEAD && !wasDead:
		m.diedAt = now
		m.addPenalty(&n.Policy, now)
		n.died = append(n.died, update.GetId())
		n.changed = true
	}
}

// set stores a member's update, and adjusts the digest and the router lists.
func (n *Node) set(m *member, update *memberpb.News) {
	m.update = update
	if !update.GetBackend() {
		n.notDead.set(m.router(), !m.dead())
		n.updateEligibility(m)
	}
	n.digest ^= m.digestPart
	m.digestPart = m.digest()
	n.digest ^= m.digestPart
}

// updateEligibility adds the router to those that may own backend servers, or removes it from them.
func (n *Node) updateEligibility(m *member) {
	if n.eligible.set(m.router(), m.mayOwn(&n.Policy, time.Now())) {
		n.changed = true
	}
}

// refute answers a report that this router is suspect or dead with a higher incarnation.
func (n *Node) refute(update *memberpb.News) {
	own := n.self()
	if update.GetIncarnation() < own.update.GetIncarnation() || !supersedes(update, own.update) {
		return
	}
	refutation := updateOf(n.Self)
	refutation.State = own.update.GetState()
	refutation.Incarnation = update.GetIncarnation() + 1
	n.set(own, refutation)
	n.broadcast(refutation)
}

// broadcast queues an update for the next packets, and schedules a push to a few routers.
func (n *Node) broadcast(update *memberpb.News) {
	n.queue.add(update)
	n.schedulePush()
}

// schedulePush pushes to a few routers after pushDelay, unless a push is pending.
func (n *Node) schedulePush() {
	if n.pushPending {
		return
	}
	n.pushPending = true
	time.AfterFunc(pushDelay, func() {
		n.locked(func() {
			n.pushPending = false
			n.push()
		})
	})
}

// push sends queued updates to a few random routers.
func (n *Node) push() {
	packet := n.packet(memberpb.Kind_KIND_NEWS, 0)
	for _, m := range n.randomMembers(n.Policy.Fanout, "") {
		n.send(m.update.GetAddress(), packet)
	}
}
