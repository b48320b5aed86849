package balance

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

const (
	// errorLimit is the error rate above which a backend server is ejected, if it is also
	// errorFactor times as high as that of the others: requests that fail on every server are
	// no reason to eject one.
	errorLimit  = 0.2
	errorFactor = 2
	// chanceDeviations is how many standard deviations the error rate of a server has to be above
	// that of the others before the server is ejected: no server gets there by chance.
	chanceDeviations = 4
	// rateAfterEjection is the error rate that a server starts with after an ejection: a few
	// more failures eject it again, for longer.
	rateAfterEjection = 0.12
	// healthyRate is the error rate below which earlier ejections are forgotten.
	healthyRate = 0.05
	// errorEjection is the duration of the first ejection for errors. It may be longer than
	// minEjection because chanceDeviations makes ejections by chance rare, and other servers can
	// take the load meanwhile.
	errorEjection = time.Second
	// ejectableOneIn limits ejections to one in ejectableOneIn servers of a pool, rounded up:
	// the others have to carry the load. Servers that are unresponsive or asked for a pause count
	// as ejected.
	ejectableOneIn = 3
	// smallPool is the number of servers up to which routers tell each other of all successes. In a small
	// pool an ejection by mistake costs much of the capacity, and in a large fleet the failures that a few
	// routers saw are no measure of what all of them see.
	smallPool = 10
)

// recordOutcomeLocked records the outcome of a request of this router, for the next update as
// well.
func (b *Balancer) recordOutcomeLocked(s *server, failed bool, now time.Time) {
	s.errors.record(failed, s.outcomesCount(now), now)
	b.active[s] = true
}

// outcomesCount reports whether outcomes that become known now say anything new about the server. During an
// ejection they are those of requests that were sent before it, and would eject the server again when it
// ends.
func (s *server) outcomesCount(now time.Time) bool {
	return !now.Before(s.ejectedUntil)
}

// recordEvidenceLocked updates a server's state by the evidence that a request of this router
// gave.
func (b *Balancer) recordEvidenceLocked(s *server, evidence slipwick.Evidence, now time.Time) {
	switch evidence {
	case slipwick.EvidenceNone:
	case slipwick.EvidenceUnreachable, slipwick.EvidenceTimeout, slipwick.EvidenceLeaving:
		if evidence == slipwick.EvidenceUnreachable {
			s.recordUnreached(now)
		}
		if s.eject(now, minEjection) {
			s.ejectedForPath = evidence == slipwick.EvidenceUnreachable
			b.OnEjected(s.Backend, s.ejectedUntil.Sub(now))
		}
	case slipwick.EvidenceRefused:
		// Each router sends to one server so seldom that all would have to find out for
		// themselves, so the failure is sent to them. A broken network path is not sent, as it
		// concerns only this router.
		b.recordOutcomeLocked(s, true, now)
		s.hasRefused = true
		s.recordUnreached(now)
		if s.eject(now, minEjection) {
			b.OnEjected(s.Backend, s.ejectedUntil.Sub(now))
		}
	case slipwick.EvidenceShed:
		s.lastActivityAt = now
		b.countSpeedLocked(s, &SpeedCounts{
			Rejections: 1,
		}, now)
		if b.awaitsFirstUpdatesLocked(now) {
			return
		}
		b.learnRejectionLocked(s, b.loadsLocked([]*server{s}, now)[0])
		if b.isBrittleLocked(s.Pool, now) {
			// An ejection would move the server's load to the others.
			s.room.closedUntil = now.Add(closedTime)
			return
		}
		if s.notices.isPaused(now) || b.hasFreeSlotLocked(s, now) {
			b.recordOutcomeLocked(s, true, now)
			b.ejectIfFailingLocked(s, now)
		}
	case slipwick.EvidenceGood, slipwick.EvidenceError:
		s.lastActivityAt = now
		if evidence == slipwick.EvidenceGood {
			b.learnCompletionLocked(s)
		}
		b.recordOutcomeLocked(s, evidence == slipwick.EvidenceError, now)
		b.ejectIfFailingLocked(s, now)
	}
}

// hasFreeSlotLocked reports whether a server has a free slot, by the load known of all routers.
// A server that sheds requests in spite of that is as bad as one that fails: it responds at once,
// has no requests in flight and so looks the least loaded, until the retry budget is spent on it.
// A full server sheds because of its load, which an ejection would only move elsewhere.
func (b *Balancer) hasFreeSlotLocked(s *server, now time.Time) bool {
	slots := s.EffectiveSlots()
	if b.speedAware {
		slots = s.slots()
	}
	return b.loadsLocked([]*server{s}, now)[0] < float64(slots)
}

// ejectIfFailingLocked ejects a server that fails more often than the others.
func (b *Balancer) ejectIfFailingLocked(s *server, now time.Time) {
	if s.errors.rate < healthyRate {
		s.consecutiveEjections = 0
	}
	// errorRateLimitLocked is at least errorLimit and iterates over the pool, so the cheap
	// comparison comes first.
	if s.errors.rate <= errorLimit || s.errors.rate <= b.errorRateLimitLocked(s) || b.atEjectionLimitLocked(s, now) ||
		b.isEjectionWorseLocked(s, now) {
		return
	}
	if s.eject(now, errorEjection) {
		s.errors.restart(rateAfterEjection)
		s.ejectedForErrors = true
		b.OnEjected(s.Backend, s.ejectedUntil.Sub(now))
	}
}

// errorRateLimitLocked returns the highest error rate for which a server is not ejected, given
// the rates of the others in its pool.
func (b *Balancer) errorRateLimitLocked(s *server) float64 {
	others := b.otherServersErrorRateLocked(s)
	return max(errorLimit, errorFactor*others, others+chanceDeviations*s.errors.deviation(others))
}

// atEjectionLimitLocked reports whether the ejection of the server would exceed the limit of one in
// ejectableOneIn servers of its pool.
func (b *Balancer) atEjectionLimitLocked(s *server, now time.Time) bool {
	pool := b.pools[s.Pool]
	unavailable := 0
	for _, other := range pool {
		if other != s && (b.isUnavailableLocked(other, now) || other.notices.isPaused(now)) {
			unavailable++
		}
	}
	return ejectableOneIn*(unavailable+1) > len(pool)+ejectableOneIn-1
}

// otherServersErrorRateLocked returns the mean error rate of the pool's other servers.
func (b *Balancer) otherServersErrorRateLocked(s *server) float64 {
	sum, n := 0.0, 0
	for _, other := range b.pools[s.Pool] {
		if other != s {
			sum += other.errors.rate
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// RecordOverdue counts a failure for a backend server that has let a request wait for so long
// that the response will be late. The request goes on. It returns false, and counts nothing, if the server
// may take longer: because it reports that it is slow, or because other responses of its pool do.
func (b *Balancer) RecordOverdue(lease *Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	if !b.isOverdueLocked(lease, now) {
		return false
	}
	b.recordOutcomeLocked(lease.server, true, now)
	b.ejectIfFailingLocked(lease.server, now)
	return true
}

// ReceiveOutcomes takes the outcomes of requests of other routers.
func (b *Balancer) ReceiveOutcomes(outcomes []OutcomeCounts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	for _, o := range outcomes {
		s := b.serversByHash[o.Server]
		switch {
		case s == nil:
			b.receiveCanaryCountsLocked(&o)
		case s.outcomesCount(now):
			s.errors.add(o.Good, o.Failed, now)
			b.ejectIfFailingLocked(s, now)
		}
	}
}
