package exchange

import (
	"time"

	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/quota"
)

// UsageSource is implemented by quota.Limiter.
type UsageSource interface {
	// TakeReport returns what this router uses and wants of the pools under pressure.
	TakeReport() []quota.Entry
	// ReceiveFleet takes the sums of the fleet, which contain this router's reports as of a time by
	// package clock.
	ReceiveFleet(entries []quota.Entry, ownAsOf time.Time)
}

// usage is the state of the exchange of what workspaces use of pools. All of it is replaced by the next
// update, so that lost, doubled and late datagrams leave nothing behind.
type usage struct {
	// own is this router's latest report, group what this hub sent for its group at its last update.
	own, group []quota.Entry
	// fleet are the latest sums of the fleet.
	fleet []quota.Entry
	// received are the latest entries of other routers and hubs.
	received map[string]receivedUsage
}

type receivedUsage struct {
	at      time.Time
	round   uint64
	entries []quota.Entry
}

// receive stores the entries of a sender. It reports whether they are newer than those known.
func (u *usage) receive(from string, round uint64, entries []quota.Entry) bool {
	if known, ok := u.received[from]; ok && known.round >= round {
		return false
	}
	u.received[from] = receivedUsage{
		at:      clock.Now(),
		round:   round,
		entries: entries,
	}
	return true
}

// recent returns the entries of senders that are not older than countsTTL.
func (u *usage) recent(senders []string) [][]quota.Entry {
	var lists [][]quota.Entry
	for _, id := range senders {
		if r, ok := u.received[id]; ok && clock.Since(r.at) <= countsTTL {
			lists = append(lists, r.entries)
		}
	}
	return lists
}

// keep forgets the entries of all other senders.
func (u *usage) keep(senders []string) {
	kept := make(map[string]receivedUsage, len(senders))
	for _, id := range senders {
		if r, ok := u.received[id]; ok {
			kept[id] = r
		}
	}
	u.received = kept
}

// takeReport takes this router's report for a regular update.
func (s *Syncer) takeReport(senders int) {
	if s.Usage == nil {
		return
	}
	own := s.Usage.TakeReport()
	s.mu.Lock()
	s.usage.own = quota.Truncate(own, quota.FleetEntryLimit(senders), s.usage.fleet)
	s.mu.Unlock()
}

func (s *Syncer) ownUsage() []quota.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage.own
}

// useSums passes the sums of the fleet to the limiter.
func (s *Syncer) useSums(entries []quota.Entry, ownAsOf time.Time) {
	if s.Usage != nil {
		s.Usage.ReceiveFleet(entries, ownAsOf)
	}
}

// exchangeInMesh adds up what all routers reported, this one with its previous report, and takes the next.
func (s *Syncer) exchangeInMesh(peers []string) {
	s.mu.Lock()
	s.usage.keep(peers)
	fleet := quota.Sum(append(s.usage.recent(peers), s.usage.own)...)
	fleet = quota.Truncate(fleet, quota.FleetEntryLimit(len(peers)), nil)
	s.usage.fleet = fleet
	s.mu.Unlock()
	s.useSums(fleet, clock.Now())
	s.takeReport(len(peers))
}

// exchangeAsHub returns the entries of the group and of the fleet for this hub's update. The fleet's
// contain those of the group as sent before, which are as old as those of the other hubs. If a hub
// used newer counts of its own group, the routers of each group would take a burst in all groups for one in
// their own, and use the free slots several times.
func (s *Syncer) exchangeAsHub(group, hubs []string) (groupSum, fleetSum []quota.Entry) {
	senders := len(group) + len(hubs)
	s.mu.Lock()
	s.usage.keep(append(append([]string{}, group...), hubs...))
	fleetSum = quota.Sum(append(s.usage.recent(hubs), s.usage.group)...)
	fleetSum = quota.Truncate(fleetSum, quota.FleetEntryLimit(senders), nil)
	s.usage.fleet = fleetSum
	s.mu.Unlock()
	s.useSums(fleetSum, clock.Now())
	s.takeReport(senders)
	s.mu.Lock()
	defer s.mu.Unlock()
	groupSum = quota.Sum(append(s.usage.recent(group), s.usage.own)...)
	groupSum = quota.Truncate(groupSum, quota.EntryLimit(senders), fleetSum)
	s.usage.group = groupSum
	return groupSum, fleetSum
}

// receiveUsage takes the entries of a round's first datagram.
func (s *Syncer) receiveUsage(message *exchangepb.Told) {
	if !hasCounts(message) || message.GetSequence() != message.GetRound()+1 {
		return
	}
	entries := decodeUsage(message)
	source := message.GetFrom()
	isFleet := message.GetScope() == exchangepb.Scope_SCOPE_FLEET
	if isFleet {
		source = fleetSource + "/" + source
	}
	s.mu.Lock()
	isNew := s.usage.receive(source, message.GetRound(), entries)
	if isFleet && isNew {
		s.usage.fleet = entries
	}
	s.mu.Unlock()
	if isFleet && isNew {
		s.useSums(entries, clock.Now().Add(-updateInterval))
	}
}
