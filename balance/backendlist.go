package balance

import (
	"time"

	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/placement"
)

// Changes is the difference between two states of the list of backend servers. Lists of large
// fleets change all the time, by a few entries each. The cost of a change depends on the number
// of these, not on the length of the list.
type Changes struct {
	// Entries has the entries that are new or differ, Removed the IDs of those that are gone.
	Entries []Entry
	Removed []string
}

// SetBackends replaces the whole list of backend servers.
func (b *Balancer) SetBackends(list []Entry) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	changes := Changes{
		Entries: list,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.servers {
		if !listed[id] {
			changes.Removed = append(changes.Removed, id)
		}
	}
	b.applyChangesLocked(&changes)
}

// ChangeBackends applies changes to the list of backend servers.
func (b *Balancer) ChangeBackends(changes *Changes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyChangesLocked(changes)
}

func (b *Balancer) applyChangesLocked(changes *Changes) {
	now := clock.Now()
	if b.firstListAt.IsZero() {
		b.firstListAt = now
	}
	listedAt := now
	if now.Sub(b.firstListAt) < RelistWindow {
		// These servers may have been running before this router started.
		listedAt = time.Time{}
	}
	for _, id := range changes.Removed {
		if s := b.servers[id]; s != nil {
			b.unlistLocked(s)
		}
	}
	if len(b.servers) == 0 {
		b.servers = make(map[string]*server, len(changes.Entries))
		b.serversByHash = make(map[uint64]*server, len(changes.Entries))
	}
	added := make(map[uint64]bool, len(changes.Entries))
	for i := range changes.Entries {
		if s, isNew := b.applyEntryLocked(&changes.Entries[i], listedAt); isNew {
			added[s.hash] = true
		}
	}
	b.addEarlierCountsLocked(added)
	b.dropOldNoticesLocked()
}

// applyEntryLocked applies an entry. isNew says that its incarnation was not listed before.
func (b *Balancer) applyEntryLocked(entry *Entry, listedAt time.Time) (s *server, isNew bool) {
	s = b.servers[entry.ID]
	earlier := s
	isRestarted := s != nil && !s.isSameIncarnation(entry)
	isNew = s == nil || isRestarted
	if isRestarted {
		b.unlistLocked(s)
		// This incarnation started after the router, so its cache is empty.
		listedAt = clock.Now()
	}
	if isNew {
		s = newServer(*entry, listedAt)
		s.cacheKnown = s.cacheKnown || b.startedEmpty
		s.notices = b.notices[s.hash]
		if !listedAt.IsZero() {
			s.coldUntil = listedAt.Add(b.coldLimits[entry.Pool].NewServerTime)
		}
	}
	current := *entry
	if current.StartTime == 0 {
		current.StartTime = s.StartTime
	}
	if !isNew {
		b.leaveOldPoolLocked(s, &current)
	}
	s.Entry = current
	s.evacuated = b.evacuated[s.DataCentre]
	if current.ColdUntil.After(s.coldUntil) {
		s.coldUntil = current.ColdUntil
	}
	b.recordVersionLocked(s, !listedAt.IsZero())
	b.servers[s.ID], b.serversByHash[s.hash] = s, s
	if isRestarted {
		b.inheritPauseLocked(s, earlier)
		b.inheritNoticesLocked(s, earlier)
	}
	if s.poolIndex < 0 {
		s.poolIndex = len(b.pools[s.Pool])
		b.pools[s.Pool] = append(b.pools[s.Pool], s)
	}
	delete(b.rings, s.Pool)
	return s, isNew
}

// leaveOldPoolLocked applies that a listed server has another pool or version in its new entry.
func (b *Balancer) leaveOldPoolLocked(s *server, current *Entry) {
	if current.Pool != s.Pool || current.Version != s.Version {
		b.versionHistory.noteUnlisted(s.Pool, s.Version, clock.Now())
	}
	if current.Pool != s.Pool {
		b.removeFromPoolLocked(s)
	}
}

// unlistLocked removes a server that is no longer listed. Leases that refer to it end as usual.
func (b *Balancer) unlistLocked(s *server) {
	delete(b.servers, s.ID)
	delete(b.serversByHash, s.hash)
	b.versionHistory.noteUnlisted(s.Pool, s.Version, clock.Now())
	b.removeFromPoolLocked(s)
	b.markUnlistedLocked(s.hash)
}

// removeFromPoolLocked removes a server from its pool by moving the last one to its index.
func (b *Balancer) removeFromPoolLocked(s *server) {
	delete(b.rings, s.Pool)
	pool := b.pools[s.Pool]
	last := len(pool) - 1
	pool[s.poolIndex] = pool[last]
	pool[s.poolIndex].poolIndex = s.poolIndex
	pool[last] = nil
	b.pools[s.Pool] = pool[:last]
	s.poolIndex = -1
}

// addEarlierCountsLocked adds the counts that other routers had sent for servers before these
// were listed.
func (b *Balancer) addEarlierCountsLocked(added map[uint64]bool) {
	if len(added) == 0 {
		return
	}
	for _, id := range b.peers {
		for _, in := range b.countsByPeer[id].inFlight {
			if added[in.Server] {
				b.addRemoteCountsLocked([]InFlight{in}, 1)
			}
		}
	}
}

// IsListed reports whether an incarnation of a backend server is listed.
func (b *Balancer) IsListed(incarnation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serversByHash[placement.IDHash(incarnation)] != nil
}

// ServerCount returns the number of listed backend servers.
func (b *Balancer) ServerCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.servers)
}
