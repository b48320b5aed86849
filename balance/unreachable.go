package balance

import (
	"time"

	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/placement"
)

const (
	// unreachableTime is for how long a server gets no request after neither this router nor another one reached it,
	// unreachableProbe after a request was sent there to find out whether it can be reached again.
	unreachableTime  = 500 * time.Millisecond
	unreachableProbe = 300 * time.Millisecond
)

// RecordUnreachable notes that neither this router nor another one reaches an incarnation of a server. While no server
// of a pool can be reached, requests are refused at once instead of trying one after the other.
func (b *Balancer) RecordUnreachable(incarnation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.serversByHash[placement.IDHash(incarnation)]; s != nil {
		s.unreachableUntil = clock.Now().Add(unreachableTime)
	}
}

// isUnreachable reports whether the server gets no request, not even if no other one is left.
func (s *server) isUnreachable(now time.Time) bool {
	return now.Before(s.unreachableUntil)
}

// recordUnreached notes that a request did not reach the server. If it was found unreachable before, it still is.
func (s *server) recordUnreached(now time.Time) {
	if !s.unreachableUntil.IsZero() {
		s.unreachableUntil = now.Add(unreachableTime)
	}
}

// recordProbe notes that the server was chosen for a request. If it was found unreachable before, that request finds
// out whether it can be reached again, and others don't wait for it meanwhile.
func (s *server) recordProbe(now time.Time) {
	if !s.unreachableUntil.IsZero() {
		s.unreachableUntil = now.Add(unreachableProbe)
	}
}
