package exchange

import (
	"slices"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

// sendUrgent sends the parts that engines have just begun to prefill for this router's requests. A
// hub sends them without its counts, which are many.
func (t *Syncer) sendUrgent() {
	if !t.hubs.isHub(t.Self) {
		t.sendUpdate(true)
		return
	}
	update := balance.Update{
		CachedParts: t.Balancer.TakeCachedParts(),
	}
	t.mu.Lock()
	addEvents(&t.groupEvents, update)
	t.urgentGroupParts = append(t.urgentGroupParts, update.CachedParts...)
	t.mu.Unlock()
	t.relayUrgent()
}

// relayUrgent relays urgent parts if this router is a hub: those of its own group to the other
// hubs, and all of them to its group.
func (t *Syncer) relayUrgent() {
	t.mu.Lock()
	groupParts, hubParts := t.urgentGroupParts, t.urgentHubParts
	t.urgentGroupParts, t.urgentHubParts = nil, nil
	t.mu.Unlock()
	if !t.hubs.isHub(t.Self) || len(groupParts)+len(hubParts) == 0 {
		return
	}
	if len(groupParts) > 0 {
		t.send(excluding(t.hubs.chosen, t.Self), t.encode(exchangepb.Scope_SCOPE_NEWS, true, balance.Update{
			CachedParts: groupParts,
		}))
	}
	t.send(t.hubs.groupOf(t.Self), t.encode(exchangepb.Scope_SCOPE_NONE, true, balance.Update{
		CachedParts: slices.Concat(groupParts, hubParts),
	}))
}

// queueUrgentLocked queues parts that have to be relayed at once. Parts are dropped while the queue
// is full.
func (t *Syncer) queueUrgentLocked(queue *[]balance.CachedPart, urgent bool, parts []balance.CachedPart) {
	if !urgent || len(parts) == 0 || len(*queue) >= maxQueued {
		return
	}
	*queue = append(*queue, parts...)
	signal(t.relaySoon)
}
