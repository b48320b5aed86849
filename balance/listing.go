package balance

import (
	"time"

	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/placement"
)

// Changes are what differs between two states of the list of backend servers. Lists of
// large fleets change all the time, by a few entries each: what a change costs goes by
// these, and not by how many are listed.
type Changes struct {
	// Listed are the entries that are new or differ, Gone the IDs of those that went.
	Listed []Listed
	Gone   []string
}

// SetBackends takes the whole list of backend servers.
func (b *Balancer) SetBackends(list []Listed) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	changes := Changes{
		Listed: list,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.servers {
		if !listed[id] {
			changes.Gone = append(changes.Gone, id)
		}
	}
	b.changeLocked(&changes)
}

// ChangeBackends takes changes of the list of backend servers.
func (b *Balancer) ChangeBackends(changes *Changes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changeLocked(changes)
}

func (b *Balancer) changeLocked(changes *Changes) {
	now := clock.Now()
	if b.firstListed.IsZero() {
		b.firstListed = now
	}
	since := now
	if now.Sub(b.firstListed) < LateListing {
		// They were there before this router.
		since = time.Time{}
	}
	for _, id := range changes.Gone {
		if s := b.servers[id]; s != nil {
			b.unlistLocked(s)
		}
	}
	if len(b.servers) == 0 {
		b.servers = make(map[string]*server, len(changes.Listed))
		b.hashes = make(map[uint64]*server, len(changes.Listed))
	}
	added := make(map[uint64]bool, len(changes.Listed))
	for i := range changes.Listed {
		if s, isNew := b.listLocked(&changes.Listed[i], since); isNew {
			added[s.hash] = true
		}
	}
	b.addRemoteCountsOfLocked(added)
	b.dropOldNoticesLocked()
}

// listLocked takes an entry, and tells whether it is of a life that was not listed.
func (b *Balancer) listLocked(listed *Listed, since time.Time) (s *server, isNew bool) {
	s = b.servers[listed.ID]
	isBack := s != nil && !s.isSameIncarnation(listed)
	isNew = s == nil || isBack
	if isBack {
		b.unlistLocked(s)
		// It began after this router did, and so keeps nothing yet.
		since = clock.Now()
	}
	if isNew {
		s = newServer(*listed, since)
		s.cacheKnown = s.cacheKnown || b.empty
		s.notices = b.notices[s.hash]
		if !since.IsZero() {
			s.coldUntil = since.Add(b.coldLimits[listed.Pool].New)
		}
	}
	known := *listed
	if known.Born == 0 {
		known.Born = s.Born
	}
	if !isNew && known.Pool != s.Pool {
		b.removeFromPoolLocked(s)
	}
	s.Listed = known
	s.evacuated = b.evacuated[s.DataCentre]
	if known.ColdUntil.After(s.coldUntil) {
		s.coldUntil = known.ColdUntil
	}
	b.noteVersionLocked(s, !since.IsZero())
	b.servers[s.ID], b.hashes[s.hash] = s, s
	if s.poolIndex < 0 {
		s.poolIndex = len(b.pools[s.Pool])
		b.pools[s.Pool] = append(b.pools[s.Pool], s)
	}
	return s, isNew
}

// unlistLocked forgets a server that is no longer listed. Leases that hold it end as usual.
func (b *Balancer) unlistLocked(s *server) {
	delete(b.servers, s.ID)
	delete(b.hashes, s.hash)
	b.removeFromPoolLocked(s)
	b.markUnlistedLocked(s.hash)
}

// leavePoolLocked takes a server out of its pool: the last one gets its place.
func (b *Balancer) removeFromPoolLocked(s *server) {
	pool := b.pools[s.Pool]
	last := len(pool) - 1
	pool[s.poolIndex] = pool[last]
	pool[s.poolIndex].poolIndex = s.poolIndex
	pool[last] = nil
	b.pools[s.Pool] = pool[:last]
	s.poolIndex = -1
}

// addToldOfLocked adds what other routers have told of servers that were not listed then.
func (b *Balancer) addRemoteCountsOfLocked(added map[uint64]bool) {
	if len(added) == 0 {
		return
	}
	for _, id := range b.peers {
		for _, in := range b.countsByRouter[id].inFlight {
			if added[in.Server] {
				b.addRemoteCountsLocked([]InFlight{in}, 1)
			}
		}
	}
}

// IsListed tells whether the life of a backend server is listed.
func (b *Balancer) IsListed(life string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hashes[placement.IDHash(life)] != nil
}

// Listed counts the backend servers that are listed.
func (b *Balancer) Listed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.servers)
}
