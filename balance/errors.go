package balance

import (
	"math"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

const (
	// outcomeWeight is the share of the latest outcome in the error rate: about
	// the last ten count, of all routers.
	outcomeWeight = 0.1
	// errorLimit is the error rate from which on a backend server is left out,
	// if it is errorFactor times as high as that of the others: what fails
	// everywhere is no reason to avoid one.
	errorLimit  = 0.2
	errorFactor = 2
	// chanceDeviations more than the others' is what no server fails by chance.
	chanceDeviations = 4
	// trialRate is the error rate that it comes back with: a few failures more
	// have it left out again, for longer.
	rateAfterEjection = 0.12
	// soundRate is the error rate below which earlier times out are forgotten.
	healthyRate = 0.05
	// errorOuting is how long one is left out the first time: failures that
	// come by chance are rare enough for it, and others take its work.
	errorEjection = time.Second
	// outShare is the part of a pool, one in so many and rounded up, that may be
	// left out for failures: the others have to carry its work.
	ejectableOneIn = 3
	// maxUntold bounds the good outcomes that are told with the next failure:
	// more would only say that it was sound long before.
	maxUnsentSuccesses = 20
)

// errorRate is the share of a backend server's latest requests that failed.
type errorRate struct {
	rate float64
	// good and failed are outcomes of this router that are not told yet.
	good, failed int
}

// add takes outcomes, of this router or others.
func (e *errorRate) add(good, failed int) {
	n := good + failed
	if n <= 0 {
		return
	}
	kept := math.Pow(1-outcomeWeight, float64(n))
	e.rate = e.rate*kept + float64(failed)/float64(n)*(1-kept)
}

// record takes an outcome of this router.
func (e *errorRate) record(failed bool) {
	if failed {
		e.failed++
		e.add(0, 1)
		return
	}
	e.good = min(e.good+1, maxUnsentSuccesses)
	e.add(1, 0)
}

// takeUnsent gives what there is to tell: nothing without a failure.
func (e *errorRate) takeUnsent() (good, failed int) {
	if e.failed == 0 {
		return 0, 0
	}
	good, failed = e.good, e.failed
	e.good, e.failed = 0, 0
	return good, failed
}

// noteOutcomeLocked takes how a request of this router ended, to be told.
func (b *Balancer) recordOutcomeLocked(s *server, failed bool) {
	s.errors.record(failed)
	b.active[s] = true
}

// observeLocked takes what one request of this router showed.
func (b *Balancer) recordEvidenceLocked(s *server, evidence slipwick.Evidence, now time.Time) {
	switch evidence {
	case slipwick.EvidenceNone:
	case slipwick.EvidenceUnreachable, slipwick.EvidenceTimeout, slipwick.EvidenceLeaving:
		if s.eject(now, shortEjection) {
			b.OnOut(s.Backend, s.ejectedUntil.Sub(now))
		}
	case slipwick.EvidenceRefused:
		// Other routers are told: each sends there so seldom that all would find
		// out for themselves. Of a way that is cut, routers tell nothing.
		b.recordOutcomeLocked(s, true)
		if s.eject(now, shortEjection) {
			b.OnOut(s.Backend, s.ejectedUntil.Sub(now))
		}
	case slipwick.EvidenceShed:
		s.lastActivityAt = now
		if s.notices.isResting(now) || b.hasFreeSlotLocked(s, now) {
			b.recordOutcomeLocked(s, true)
			b.ejectIfFailingLocked(s, now)
		}
	case slipwick.EvidenceGood, slipwick.EvidenceError:
		s.lastActivityAt = now
		b.recordOutcomeLocked(s, evidence == slipwick.EvidenceError)
		b.ejectIfFailingLocked(s, now)
	}
}

// hasRoomLocked tells whether a server has a slot free, by what is known of all routers.
// One that turns requests away though it has is as good as failing: it answers at once,
// holds nothing, and so looks the least loaded, until the budget of repeats is spent on it.
// One that is full refuses for its load, which leaving it out would only move.
func (b *Balancer) hasFreeSlotLocked(s *server, now time.Time) bool {
	return b.loadsLocked([]*server{s}, now)[0] < float64(s.EffectiveSlots())
}

// judgeLocked leaves a backend server out that fails more than the others.
func (b *Balancer) ejectIfFailingLocked(s *server, now time.Time) {
	if s.errors.rate < healthyRate {
		s.consecutiveEjections = 0
	}
	// The bound by the others' rates is errorLimit at least, and costs a look at each.
	if s.errors.rate <= errorLimit || s.errors.rate <= b.errorRateLimitLocked(s) || b.atEjectionLimitLocked(s, now) {
		return
	}
	if s.eject(now, errorEjection) {
		s.errors.rate, s.ejectedForErrors = rateAfterEjection, true
		b.OnOut(s.Backend, s.ejectedUntil.Sub(now))
	}
}

// errorBoundLocked is the error rate that a backend server may have, by that of
// the others of its pool.
func (b *Balancer) errorRateLimitLocked(s *server) float64 {
	others := b.otherServersErrorRateLocked(s)
	// The rate of a server that fails like the others deviates by so much.
	deviation := math.Sqrt(others * (1 - others) * outcomeWeight / (2 - outcomeWeight))
	return max(errorLimit, errorFactor*others, others+chanceDeviations*deviation)
}

// tooManyOutLocked tells whether the pool can spare no more of its servers.
func (b *Balancer) atEjectionLimitLocked(s *server, now time.Time) bool {
	pool := b.pools[s.Pool]
	out := 0
	for _, other := range pool {
		if other != s && (b.isUnavailableLocked(other, now) || other.notices.isResting(now)) {
			out++
		}
	}
	return ejectableOneIn*(out+1) > len(pool)+ejectableOneIn-1
}

// othersRateLocked is the mean error rate of the pool's other backend servers.
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

// Overdue notes that the backend server has let a request wait for so long that
// its answer would be late. The request goes on.
func (b *Balancer) Overdue(lease *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordOutcomeLocked(lease.server, true)
	b.ejectIfFailingLocked(lease.server, clock.Now())
}

// HearOutcomes takes how requests of other routers ended.
func (b *Balancer) HearOutcomes(outcomes []Outcomes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	for _, o := range outcomes {
		if s := b.hashes[o.Server]; s != nil {
			s.errors.add(o.Good, o.Failed)
			b.ejectIfFailingLocked(s, now)
		} else {
			b.receiveCanaryCountsLocked(&o)
		}
	}
}
