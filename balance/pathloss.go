package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// RecordPathLost notes that this router reaches no backend server itself, and sends through other routers from now
// on. What it saw of servers just before says nothing about them: ejections because of connections that could
// not be established end, failures that were not sent to the other routers are dropped, and the silence of
// requests in flight doesn't count.
func (b *Balancer) RecordPathLost() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		s.recordPathLost()
	}
}

// RecordServerPathLost is RecordPathLost for one incarnation of a server, which others reach.
func (b *Balancer) RecordServerPathLost(incarnation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.serversByHash[placement.IDHash(incarnation)]; s != nil {
		s.recordPathLost()
	}
}

func (s *server) recordPathLost() {
	s.pathLosses++
	s.errors.good, s.errors.failed = 0, 0
	s.silentRequests = s.inFlight - s.pausedRequests
	s.unreachableUntil = time.Time{}
	if s.ejectedForPath {
		s.ejectedUntil, s.ejectedForPath, s.consecutiveEjections = time.Time{}, false, 0
	}
}

// endSilence ends the count of a request that was in flight when the path to its server was lost.
func (l *Lease) endSilence() {
	if s := l.server; l.pathLosses < s.pathLosses && !l.isPaused && s.silentRequests > 0 {
		s.silentRequests--
	}
}

// RandomServers returns that many random servers that are not leaving, or all if there are fewer. They are of as many
// pools as possible, since all servers of one pool may be out of reach while others are not.
func (b *Balancer) RandomServers(count int) []slipwick.Backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	var chosen, rest []slipwick.Backend
	for _, pool := range b.pools {
		at := len(rest)
		for _, s := range pool {
			if !s.isLeaving() {
				rest = append(rest, s.Backend)
			}
		}
		if len(rest) > at {
			first := at + rand.IntN(len(rest)-at)
			chosen = append(chosen, rest[first])
			rest = slices.Delete(rest, first, first+1)
		}
	}
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	for len(chosen) < count && len(rest) > 0 {
		next := rand.IntN(len(rest))
		chosen = append(chosen, rest[next])
		rest = slices.Delete(rest, next, next+1)
	}
	return chosen[:min(count, len(chosen))]
}

// ListedServer returns the listed server with an incarnation.
func (b *Balancer) ListedServer(incarnation string) (backend slipwick.Backend, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serversByHash[placement.IDHash(incarnation)]
	if s == nil {
		return slipwick.Backend{}, false
	}
	return s.Backend, true
}
