package balance

import (
	"math"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

const (
	// roomInterval is how often a router computes how many requests it may have in flight at a brittle server: that
	// of the updates between routers.
	roomInterval = 200 * time.Millisecond
	// newsDelay is how late routers know of each other's requests at most. A server may get several times the mean
	// number of requests meanwhile: enginePeak times at an engine, as prompts that it has cached attract requests,
	// plainPeak times at another one.
	newsDelay  = 600 * time.Millisecond
	enginePeak = 3
	plainPeak  = 1.5
	// rateDeviations is by how many standard deviations a second has to have more requests than usual to count as the
	// beginning of a higher rate.
	rateDeviations = 3
	// stayWeight is the weight of a request in the moving average of how long they are in flight.
	stayWeight = 0.1
	// stepFactor is how many times as many requests may suddenly arrive before routers share the room.
	stepFactor = 3
	// usedRoomShare is the part of a brittle server's slots that routers use. The rest is for differences between
	// what they know.
	usedRoomShare = 0.9
	// closedTime is for how long a router sends nothing to a brittle server that has rejected one of its requests: the
	// number of rejections within that time decides whether the server falls over.
	closedTime = time.Second
	// maxBrittleSends is how often a request is sent at most that brittle servers rejected.
	maxBrittleSends = 2
	// minReturnDelay is the Retry-After while nothing is refused, maxReturnDelay the longest.
	minReturnDelay = 400 * time.Millisecond
	maxReturnDelay = 5 * time.Second
)

// room says how many requests this router may have in flight at a brittle server.
type room struct {
	allowed    float64
	computedAt time.Time
	// closedUntil is until when this router sends nothing to the server, as that has rejected one of its requests.
	// Rejections of other routers' requests don't count: if all routers left a server out, its load would move to
	// the others, which would reject requests too.
	closedUntil time.Time
}

// refusals counts this router's requests for a brittle pool in the current second.
type refusals struct {
	since             time.Time
	admitted, refused float64
	// ratio is that of the refused to the admitted requests in the second before, rate a moving average of the number
	// of both in a second.
	ratio, rate float64
	// stay is a moving average of how long requests are in flight; 0 if unknown.
	stay time.Duration
}

// withRoomLocked returns the usable servers at which this router may have another request in flight. While servers
// are brittle, the routers share the free room of each server that is known with an update, and each may replace the
// requests of its own that end. So their requests exceed the room of no server, though they know of each
// other's late.
func (b *Balancer) withRoomLocked(usable []*server, request *Request, now time.Time) []*server {
	if request.Backend != "" || !b.isBrittleLocked(request.Pool, now) {
		return usable
	}
	var rest []*server
	if b.isThrottledLocked(request.Pool, now) {
		rest = b.throttledLocked(request.Pool, usable, now)
	} else {
		rest = b.withSharesLocked(request, usable, now)
	}
	b.refusalsLocked(request.Pool, now).count(len(rest) > 0)
	return rest
}

// withSharesLocked returns the usable servers of whose room this router has a free part.
func (b *Balancer) withSharesLocked(request *Request, usable []*server, now time.Time) []*server {
	peak := plainPeak
	if len(request.Prompt) > 0 {
		peak = enginePeak
	}
	rest := usable[:0]
	for _, s := range usable {
		if b.hasRoomLocked(s, peak, now) {
			rest = append(rest, s)
		}
	}
	return rest
}

func (b *Balancer) hasRoomLocked(s *server, peak float64, now time.Time) bool {
	if now.Before(s.room.closedUntil) {
		return false
	}
	if now.Sub(s.room.computedAt) >= roomInterval {
		s.room.allowed, s.room.computedAt = b.allowedLocked(s, peak, now), now
	}
	return float64(s.inFlight) < s.room.allowed
}

// allowedLocked returns how many requests this router may have in flight at a brittle server, which may get peak times
// the mean number of requests.
func (b *Balancer) allowedLocked(s *server, peak float64, now time.Time) float64 {
	slots := float64(s.learned.slots(s.slots()))
	limit, load := max(usedRoomShare*slots, 1), b.loadsLocked([]*server{s}, now)[0]
	switch own := float64(s.inFlight); {
	case load+peak*b.unknownRequestsLocked(s.Pool, now) <= limit:
		return limit
	case load > limit:
		return own * limit / load
	default:
		// A share below one request is drawn, so that the sum over all routers is right on average.
		share := (limit - load) / float64(b.otherRouters+1)
		return own + math.Floor(share+b.Random())
	}
}

// unknownRequestsLocked returns how many requests of which no router knows yet a server of the pool has in flight on
// average, if the other routers send as many as this one.
func (b *Balancer) unknownRequestsLocked(pool string, now time.Time) float64 {
	r := b.refusalsLocked(pool, now)
	rate, current, seconds := r.rate, r.admitted+r.refused, max(now.Sub(r.since), roomInterval).Seconds()
	if usual := rate * seconds; current > usual+rateDeviations*math.Sqrt(usual+1) {
		rate = current / seconds
	}
	unknownFor := newsDelay
	if r.stay > 0 {
		unknownFor = min(unknownFor, stepFactor*r.stay)
	}
	return rate * float64(b.otherRouters+1) * unknownFor.Seconds() / float64(max(len(b.pools[pool]), 1))
}

// recordStayLocked notes how long a request to a brittle server was in flight.
func (b *Balancer) recordStayLocked(lease *Lease, now time.Time) {
	if lease.sentAt.IsZero() || !b.isBrittleLocked(lease.server.Pool, now) {
		return
	}
	r, stay := b.refusalsLocked(lease.server.Pool, now), now.Sub(lease.sentAt)
	if r.stay == 0 {
		r.stay = stay
	}
	r.stay += time.Duration(stayWeight * float64(stay-r.stay))
}

// count counts a request that was admitted or refused.
func (r *refusals) count(admitted bool) {
	if admitted {
		r.admitted++
		return
	}
	r.refused++
}

// refusalsLocked returns the counts of a pool.
func (b *Balancer) refusalsLocked(pool string, now time.Time) *refusals {
	r := b.refusals[pool]
	if r == nil {
		r = &refusals{
			since: now,
		}
		b.refusals[pool] = r
	}
	if passed := now.Sub(r.since); passed >= time.Second {
		*r = refusals{
			since: now,
			ratio: r.refused / max(r.admitted, 1),
			rate:  average(r.rate, (r.admitted+r.refused)/passed.Seconds()),
			stay:  r.stay,
		}
	}
	return r
}

// returnDelayLocked returns a random Retry-After for a request that brittle servers have no room for: the more
// requests are refused, the later callers return, and not all at once.
func (b *Balancer) returnDelayLocked(pool string, now time.Time) time.Duration {
	r := b.refusalsLocked(pool, now)
	delay := float64(minReturnDelay) * (1 + r.ratio) * (0.5 + b.Random())
	return time.Duration(min(delay, float64(maxReturnDelay)))
}

// average returns the moving average after another value.
func average(before, value float64) float64 {
	if before == 0 {
		return value
	}
	return (before + value) / 2
}

// noRoomErrorLocked returns the error of a request for which no brittle server has room.
func (b *Balancer) noRoomErrorLocked(pool string, now time.Time) error {
	return &slipwick.Error{
		Kind:       slipwick.KindOverloaded,
		Message:    "the backend servers of pool " + pool + " fall over if they reject requests, and have no room",
		Remedy:     "retry after the time given; add backend servers if this happens often",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: b.returnDelayLocked(pool, now),
	}
}

// MayResend reports whether a request that a full server rejected may be sent to another one, after this number of
// sends. If not, retryAfter is the Retry-After for its caller.
func (b *Balancer) MayResend(request *Request, sends int) (retryAfter time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	if !b.isBrittleLocked(request.Pool, now) || sends < maxBrittleSends {
		return 0, true
	}
	return b.returnDelayLocked(request.Pool, now), false
}
