package exchange

import (
	"slices"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

// sendUrgent sends the prefills that have just begun for this router's requests. A hub sends them
// without its counts, which are many.
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
	t.urgentGroupReads = append(t.urgentGroupReads, update.CachedParts...)
	t.mu.Unlock()
	t.relayUrgent()
}

// relayUrgent relays urgent reads if this router is a hub: those of its own group to the other
// hubs, and all of them to its group.
func (t *Syncer) relayUrgent() {
	t.mu.Lock()
	groupReads, hubReads := t.urgentGroupReads, t.urgentHubReads
	t.urgentGroupReads, t.urgentHubReads = nil, nil
	t.mu.Unlock()
	if !t.hubs.isHub(t.Self) || len(groupReads)+len(hubReads) == 0 {
		return
	}
	if len(groupReads) > 0 {
		t.send(excluding(t.hubs.chosen, t.Self), t.encode(exchangepb.Scope_SCOPE_NEWS, true, balance.Update{
			CachedParts: groupReads,
		}))
	}
	t.send(t.hubs.groupOf(t.Self), t.encode(exchangepb.Scope_SCOPE_NONE, true, balance.Update{
		CachedParts: slices.Concat(groupReads, hubReads),
	}))
}

// queueUrgentLocked queues reads that have to be relayed at once. Reads are dropped while the queue
// is full.
func (t *Syncer) queueUrgentLocked(queue *[]balance.CachedPart, urgent bool, reads []balance.CachedPart) {
	if !urgent || len(reads) == 0 || len(*queue) >= maxQueued {
		return
	}
	*queue = append(*queue, reads...)
	signal(t.relaySoon)
}
