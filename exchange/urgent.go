package exchange

import (
	"slices"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

// sendUrgent sends the parts that engines have just begun to prefill for this router's requests. A
// hub sends them without its counts, which are many; any other router sends a whole update.
func (s *Syncer) sendUrgent() {
	if !s.hubs.isHub(s.Self) {
		s.sendUpdate(true)
		return
	}
	update := balance.Update{
		CachedParts: s.Balancer.TakeCachedParts(),
	}
	s.mu.Lock()
	queueEvents(&s.groupEvents, update)
	s.urgentGroupParts = appendBounded(s.urgentGroupParts, update.CachedParts)
	s.mu.Unlock()
	s.relayUrgent()
}

// relayUrgent relays urgent parts if this router is a hub: those of its own group to the other
// hubs, and all of them to its group.
func (s *Syncer) relayUrgent() {
	s.mu.Lock()
	groupParts, hubParts := s.urgentGroupParts, s.urgentHubParts
	s.urgentGroupParts, s.urgentHubParts = nil, nil
	s.mu.Unlock()
	if !s.hubs.isHub(s.Self) || len(groupParts)+len(hubParts) == 0 {
		return
	}
	if len(groupParts) > 0 {
		s.send(excluding(s.hubs.chosen, s.Self), s.encode(exchangepb.Scope_SCOPE_NEWS, true, balance.Update{
			CachedParts: groupParts,
		}))
	}
	s.send(s.hubs.groupOf(s.Self), s.encode(exchangepb.Scope_SCOPE_NONE, true, balance.Update{
		CachedParts: slices.Concat(groupParts, hubParts),
	}))
}

// queueUrgentLocked queues the parts of an urgent datagram, which have to be relayed at once. Parts
// are dropped while the queue is full.
func (s *Syncer) queueUrgentLocked(queue *[]balance.CachedPart, urgent bool, parts []balance.CachedPart) {
	if !urgent || len(parts) == 0 {
		return
	}
	*queue = appendBounded(*queue, parts)
	signal(s.relaySoon)
}
