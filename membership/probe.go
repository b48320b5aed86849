package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership/memberpb"
)

// probe is a probe that has not been acked.
type probe struct {
	target string
	// forAddress and forSequence identify the probe of another router on whose behalf this one was
	// sent; the ack is forwarded there.
	forAddress  string
	forSequence uint64
}

// tick probes the next router, expires suspects and dead routers, and contacts dead ones again.
func (n *Node) tick() {
	now := time.Now()
	for id, m := range n.members {
		if m.penalty > 0 {
			// The penalty decays, so the router may be allowed to own again.
			n.updateEligibility(m)
		}
		switch {
		case id == n.Self.ID:
		case m.dead() && now.Sub(m.diedAt) > n.Policy.DeadRetention:
			n.digest ^= m.digestPart
			delete(n.members, id)
		case m.dead():
			n.contactDead(m, now)
		case !m.suspectedAt.IsZero() && now.Sub(m.suspectedAt) >= n.Policy.SuspicionTimeout:
			n.markDead(m)
		}
	}
	if target := n.nextTarget(); target != nil {
		n.probe(target)
	}
}

// deadContactInterval is how often a dead router is contacted, in case it was only partitioned.
const deadContactInterval = 10 * time.Second

func (n *Node) contactDead(m *member, now time.Time) {
	if now.Sub(m.contactedDeadAt) < deadContactInterval {
		return
	}
	m.contactedDeadAt = now
	// The packet carries the receiver's state as dead, so that the receiver refutes it.
	packet := n.packet(memberpb.Kind_KIND_NEWS, 0)
	packet.News = append(packet.News, m.update)
	n.send(m.update.GetAddress(), packet)
}

func (n *Node) markDead(m *member) {
	update := proto.Clone(m.update).(*memberpb.News)
	update.State = memberpb.State_STATE_DEAD
	n.apply(update)
}

// nextTarget returns the next router of the round, which has all other routers that are not dead, in
// random order. After the last one it starts a new round. It returns nil if all others are dead.
func (n *Node) nextTarget() *member {
	for range 2 {
		for len(n.probeRound) > 0 {
			m := n.members[n.probeRound[0]]
			n.probeRound = n.probeRound[1:]
			if m != nil && !m.dead() {
				return m
			}
		}
		for _, m := range n.randomMembers(len(n.members), "") {
			n.probeRound = append(n.probeRound, m.update.GetId())
		}
	}
	return nil
}

// randomMembers returns up to count random routers, neither dead nor this one nor except. If
// there are many more routers than count, it builds no list of candidates.
func (n *Node) randomMembers(count int, except string) []*member {
	live := n.notDead.routers
	if count*sparseSampleRatio < len(live) {
		return n.sampleMembers(live, count, except)
	}
	candidates := make([]*member, 0, len(live))
	for i := range live {
		if id := live[i].ID; id != n.Self.ID && id != except {
			candidates = append(candidates, n.members[id])
		}
	}
	for i := range min(count, len(candidates)) {
		j := i + n.Random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:min(count, len(candidates))]
}

// sparseSampleRatio is the ratio of routers to draws above which members are drawn one at a time
// and duplicates drawn again.
const sparseSampleRatio = 4

// sampleMembers draws members one at a time until it has count different ones.
func (n *Node) sampleMembers(live []slipwick.Router, count int, except string) []*member {
	drawn := make([]*member, 0, count)
	// The list has more than sparseSampleRatio times count routers, so count others remain without
	// this router and except.
	for len(drawn) < min(count, len(live)-2) {
		id := live[n.Random.IntN(len(live))].ID
		m := n.members[id]
		if id != n.Self.ID && id != except && !slices.Contains(drawn, m) {
			drawn = append(drawn, m)
		}
	}
	return drawn
}

func (n *Node) probe(target *member) {
	n.probeSequence++
	sequence := n.probeSequence
	n.probes[sequence] = &probe{
		target: target.update.GetId(),
	}
	n.send(target.update.GetAddress(), n.packet(memberpb.Kind_KIND_PROBE, sequence))
	time.AfterFunc(n.Policy.AckTimeout, func() { n.locked(func() { n.requestIndirectProbes(sequence) }) })
	time.AfterFunc(n.Policy.ProbeInterval, func() { n.locked(func() { n.probeTimedOut(sequence) }) })
}

// requestIndirectProbes asks other routers to probe the target, because only the path from here may
// have failed.
func (n *Node) requestIndirectProbes(sequence uint64) {
	p := n.probes[sequence]
	if p == nil || n.members[p.target] == nil {
		return
	}
	packet := n.packet(memberpb.Kind_KIND_PROBE_FOR, sequence)
	packet.Target = p.target
	packet.TargetAddress = n.members[p.target].update.GetAddress()
	for _, helper := range n.randomMembers(n.Policy.IndirectProbes, p.target) {
		n.send(helper.update.GetAddress(), packet)
	}
}

// probeTimedOut suspects the target of a probe that was not acked, directly or indirectly. A
// leaving target is not announced as suspect, because that would not supersede its state.
func (n *Node) probeTimedOut(sequence uint64) {
	p := n.probes[sequence]
	if p == nil {
		return
	}
	delete(n.probes, sequence)
	m := n.members[p.target]
	if m == nil || m.dead() || !m.suspectedAt.IsZero() {
		return
	}
	m.suspectedAt = time.Now()
	if m.update.GetState() == memberpb.State_STATE_LIVE {
		update := proto.Clone(m.update).(*memberpb.News)
		update.State = memberpb.State_STATE_SUSPECT
		n.apply(update)
	}
}
