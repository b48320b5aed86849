package balance

import (
	"math"
	"time"
)

const (
	// minUsualSamples is how many response times of a pool are needed before others are compared with
	// them.
	minUsualSamples = 8
	// initialUsualTime is the usual response time until then.
	initialUsualTime = 50 * time.Millisecond
	// minFullTime and maxFullTime bound the time for which a server counts as full after a rejection.
	minFullTime = 10 * time.Millisecond
	maxFullTime = time.Second
)

// noteLoadLocked notes the load that the lease's request finds at its server: a response that is later
// for it says nothing about the speed of the server.
func (b *Balancer) noteLoadLocked(lease *Lease, now time.Time) {
	s := lease.server
	lease.loadBefore = b.loadsLocked([]*server{s}, now)[0]
	lease.tokensBefore = max(s.prefillTokens+s.remotePrefillTokens, 0)
}

// observeSpeedLocked compares the time until a response began with the usual one of such a request.
// An engine prefills one prompt after the other. A request that finds all slots in use, at its send or
// by the report in its response, waits for its turn: at a plain service for as long as those before it
// take, at an engine for an unknown part of their output, so that its response time is not used.
func (b *Balancer) observeSpeedLocked(lease *Lease, elapsed time.Duration, now time.Time) {
	s, p := lease.server, b.timingsLocked(lease.server.Pool)
	load := max(lease.loadBefore, float64(lease.loadReported-1))
	utilization := (load + 1) / float64(s.slots())
	if p.hasPrompts && utilization > 1 {
		return
	}
	elapsed = time.Duration(float64(elapsed) / max(1, utilization))
	tokens := lease.tokensToPrefill + lease.tokensBefore
	if usual := p.usualTime(tokens); usual > 0 {
		limit := math.Log(maxPaceFactor)
		slowdown := math.Log(float64(max(elapsed, 1)) / float64(usual))
		b.countSpeedLocked(s, &SpeedCounts{
			Responses:   1,
			LogSlowdown: int(math.Round(logUnits * min(max(slowdown, -limit), limit))),
		}, now)
	}
	p.usual.Record(tokens, elapsed)
}

// usualTime returns how long a response usually takes to begin at a server that isn't full, 0 while
// too few were measured.
func (p *poolTimings) usualTime(tokens int) time.Duration {
	if p.usual.Len() < minUsualSamples {
		return 0
	}
	return p.usual.Usual(tokens)
}

// usualTimeLocked returns how long a response of a pool usually takes to begin, with nothing to
// prefill.
func (b *Balancer) usualTimeLocked(pool string) time.Duration {
	if usual := b.timingsLocked(pool).usualTime(0); usual > 0 {
		return usual
	}
	return initialUsualTime
}

// markFullLocked counts a server as full for a usual service time: a rejection says that all its slots
// and its queue are in use, which no count of requests shows as early.
func (b *Balancer) markFullLocked(s *server, now time.Time) {
	usual := b.usualTimeLocked(s.Pool)
	fast, _ := s.speed.paces(now)
	full := min(max(time.Duration(float64(usual)*fast), minFullTime), maxFullTime)
	if until := now.Add(full); until.After(s.speed.fullUntil) {
		s.speed.fullUntil = until
	}
}

// isFull reports whether the server rejected a request within the last usual service time.
func (s *server) isFull(now time.Time) bool {
	return !s.speed.fullUntil.IsZero() && now.Before(s.speed.fullUntil)
}
