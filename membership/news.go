package membership

import (
	"time"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// pushDelay gathers news that arrives together into one packet.
const pushDelay = 20 * time.Millisecond

// apply takes news; what is no news is ignored.
func (n *Node) apply(news *memberpb.News) {
	if news.GetId() == n.Self.ID && !news.GetBackend() {
		n.refute(news)
		return
	}
	known := n.members
	if news.GetBackend() {
		known = n.backends
	}
	m := known[news.GetId()]
	if m != nil && !newer(news, m.news) {
		return
	}
	if m == nil {
		if news.GetState() == memberpb.State_STATE_DEAD {
			return
		}
		m = &member{}
		known[news.GetId()] = m
	}
	n.replace(m, news)
	n.spread(news)
}

// replace puts news in the place of older news.
func (n *Node) replace(m *member, news *memberpb.News) {
	wasDead := m.news != nil && m.dead()
	now := time.Now()
	n.set(m, news)
	m.suspectedAt = time.Time{}
	switch {
	case news.GetBackend():
		n.changed = true
	case news.GetState() == memberpb.State_STATE_SUSPECT:
		m.suspectedAt = now
	case news.GetState() == memberpb.State_STATE_DEAD && !wasDead:
		m.diedAt = now
		m.punish(&n.Policy, now)
		n.died = append(n.died, news.GetId())
		n.changed = true
	}
}

// set gives a box its news, and keeps the digest and the lists of routers.
func (n *Node) set(m *member, news *memberpb.News) {
	m.news = news
	if !news.GetBackend() {
		n.live.keep(m.router(), !m.dead())
		n.keepOwner(m)
	}
	n.digest ^= m.sum
	m.sum = m.digest()
	n.digest ^= m.sum
}

// keepOwner has a router among those that may own backend servers, or not.
func (n *Node) keepOwner(m *member) {
	if n.owners.keep(m.router(), m.mayOwn(&n.Policy, time.Now())) {
		n.changed = true
	}
}

// refute answers news of this router's own death or suspicion.
func (n *Node) refute(news *memberpb.News) {
	own := n.self()
	if news.GetIncarnation() < own.news.GetIncarnation() || !newer(news, own.news) {
		return
	}
	again := newsOf(n.Self)
	again.State = own.news.GetState()
	again.Incarnation = news.GetIncarnation() + 1
	n.set(own, again)
	n.spread(again)
}

// spread passes news on with the next packets, and to a few routers at once.
func (n *Node) spread(news *memberpb.News) {
	n.rumours.add(news)
	n.pushLater()
}

// pushLater has a few routers told at once.
func (n *Node) pushLater() {
	if n.pushing {
		return
	}
	n.pushing = true
	time.AfterFunc(pushDelay, func() {
		n.locked(func() {
			n.pushing = false
			n.push()
		})
	})
}

// push sends the news to a few routers at once.
func (n *Node) push() {
	packet := n.packet(memberpb.Kind_KIND_NEWS, 0)
	for _, m := range n.choose(n.Policy.Fanout, "") {
		n.send(m.news.GetAddress(), packet)
	}
}
