package exchange

import (
	"slices"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

// tellUrgent tells what this router's requests have just begun to read: a hub
// the news alone, as its counts are many.
func (t *Teller) tellUrgent() {
	if !t.hubs.has(t.Self) {
		t.tell(true)
		return
	}
	news := balance.Told{
		Reads: t.Balancer.TellReads(),
	}
	t.mu.Lock()
	addNews(&t.fromGroup, news)
	t.urgentGroup = append(t.urgentGroup, news.Reads...)
	t.mu.Unlock()
	t.passOn()
}

// passOn passes urgent news on as a hub: those of its group to the other hubs,
// and all to its group.
func (t *Teller) passOn() {
	t.mu.Lock()
	ofGroup, ofHubs := t.urgentGroup, t.urgentHubs
	t.urgentGroup, t.urgentHubs = nil, nil
	t.mu.Unlock()
	if !t.hubs.has(t.Self) || len(ofGroup)+len(ofHubs) == 0 {
		return
	}
	if len(ofGroup) > 0 {
		t.send(without(t.hubs.chosen, t.Self), t.encode(exchangepb.Scope_SCOPE_NEWS, true, balance.Told{
			Reads: ofGroup,
		}))
	}
	t.send(t.hubs.group(t.Self), t.encode(exchangepb.Scope_SCOPE_NONE, true, balance.Told{
		Reads: slices.Concat(ofGroup, ofHubs),
	}))
}

// urgentLocked keeps reads that are to be passed on at once.
func (t *Teller) urgentLocked(kept *[]balance.Read, urgent bool, reads []balance.Read) {
	if !urgent || len(reads) == 0 || len(*kept) >= maxPassed {
		return
	}
	*kept = append(*kept, reads...)
	signal(t.passSoon)
}
