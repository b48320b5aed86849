package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership/memberpb"
)

// probe is one that has not been answered.
type probe struct {
	target string
	// forAddress and forSequence say whom to tell of the ack, if the probe
	// is on behalf of another router.
	forAddress  string
	forSequence uint64
}

// tick probes the next router, and looks after suspects and the dead.
func (n *Node) tick() {
	now := time.Now()
	for id, m := range n.members {
		if m.penalty > 0 {
			// It decays, so that the router may come to own again.
			n.keepOwner(m)
		}
		switch {
		case id == n.Self.ID:
		case m.dead() && now.Sub(m.diedAt) > n.Policy.Forget:
			n.digest ^= m.sum
			delete(n.members, id)
		case m.dead():
			n.retry(m, now)
		case !m.suspectedAt.IsZero() && now.Sub(m.suspectedAt) >= n.Policy.Suspicion:
			n.bury(m)
		}
	}
	if target := n.nextTarget(); target != nil {
		n.probe(target)
	}
}

// retryEvery is how often a dead router is probed, in case it was only cut off.
const retryEvery = 10 * time.Second

func (n *Node) retry(m *member, now time.Time) {
	if now.Sub(m.retriedAt) < retryEvery {
		return
	}
	m.retriedAt = now
	// The packet says that the receiver counts as dead, so that it refutes.
	packet := n.packet(memberpb.Kind_KIND_NEWS, 0)
	packet.News = append(packet.News, m.news)
	n.send(m.news.GetAddress(), packet)
}

func (n *Node) bury(m *member) {
	news := proto.Clone(m.news).(*memberpb.News)
	news.State = memberpb.State_STATE_DEAD
	n.apply(news)
}

// nextTarget gives the next router in a shuffled round, or nil.
func (n *Node) nextTarget() *member {
	for range 2 {
		for len(n.round) > 0 {
			m := n.members[n.round[0]]
			n.round = n.round[1:]
			if m != nil && !m.dead() {
				return m
			}
		}
		for _, m := range n.choose(len(n.members), "") {
			n.round = append(n.round, m.news.GetId())
		}
	}
	return nil
}

// choose gives up to count other routers that are not dead, at random. A few are drawn without
// a look at all.
func (n *Node) choose(count int, except string) []*member {
	live := n.live.routers
	if count*fewShare < len(live) {
		return n.drawFew(live, count, except)
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

// fewShare is how many times as many routers there are at least as are drawn one by one: a
// draw that gives one twice is repeated.
const fewShare = 4

func (n *Node) drawFew(live []slipwick.Router, count int, except string) []*member {
	drawn := make([]*member, 0, count)
	// Of more than four times as many, this router and the one left out among them, some
	// are left.
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
	n.sequence++
	sequence := n.sequence
	n.probes[sequence] = &probe{
		target: target.news.GetId(),
	}
	n.send(target.news.GetAddress(), n.packet(memberpb.Kind_KIND_PROBE, sequence))
	time.AfterFunc(n.Policy.AckTimeout, func() { n.locked(func() { n.askHelpers(sequence) }) })
	time.AfterFunc(n.Policy.Period, func() { n.locked(func() { n.unanswered(sequence) }) })
}

// askHelpers has others probe the target: the way to it may be what fails.
func (n *Node) askHelpers(sequence uint64) {
	p := n.probes[sequence]
	if p == nil || n.members[p.target] == nil {
		return
	}
	packet := n.packet(memberpb.Kind_KIND_PROBE_FOR, sequence)
	packet.Target = p.target
	packet.TargetAddress = n.members[p.target].news.GetAddress()
	for _, helper := range n.choose(n.Policy.Helpers, p.target) {
		n.send(helper.news.GetAddress(), packet)
	}
}

// unanswered suspects the target of a probe that nobody acked.
func (n *Node) unanswered(sequence uint64) {
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
	if m.news.GetState() == memberpb.State_STATE_LIVE {
		news := proto.Clone(m.news).(*memberpb.News)
		news.State = memberpb.State_STATE_SUSPECT
		n.apply(news)
	}
}
