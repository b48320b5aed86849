package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// returnShare is the part of a workspace's slots that its refused callers are told to return for. The
	// rest is for first attempts.
	returnShare = 0.5
	// minRetryAfter and maxRetryAfter bound Retry-After.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retrySpread is the part of a Retry-After that is random.
	retrySpread = 0.5
	// bookingInterval is the time for which returns are planned together.
	bookingInterval = 250 * time.Millisecond
	// returnMemory is the time constant with which the plan learns which part of the callers returns.
	returnMemory = 2 * time.Second
	// minReturnPart bounds that part: callers who return to another router aren't recognised there.
	minReturnPart = 1.0 / 16
	// unplannedFrom is the part of the longest Retry-After that callers are told at least for whom there
	// is no capacity before it: if they return at once, they only repeat their requests.
	unplannedFrom = 0.25
	// minBookedWork is what a request without an estimate of its work counts as.
	minBookedWork = time.Millisecond
)

// bookings plans when the refused callers of a workspace return, so that they return while there is
// capacity for them. Work that is planned for a time that has passed is dropped, and of the work planned
// for later only the part counts that will probably return.
type bookings struct {
	// first is the number of the interval that planned begins with, counted from the zero time of Unix.
	first   int64
	planned []float64
	// due is the work, in seconds, that was planned for the recent past, returned that which returned.
	due, returned recent
}

// booking is a refused request whose return is planned.
type booking struct {
	// wait is the expected wait at the time of the refusal, limit the longest Retry-After.
	wait, limit time.Duration
	work        time.Duration
	// rate is the work that the workspace gets done, in seconds per second.
	rate float64
}

// book returns the Retry-After of a refused request. draw is a random number in [0, 1).
func (b *bookings) book(request *booking, now time.Time, draw float64) time.Duration {
	b.forgetPast(now)
	limit := request.limit
	least := min(minRetryAfter, limit/2)
	after := max(b.firstFree(request, now), request.wait, least)
	if after < limit {
		spread := time.Duration(retrySpread*float64(after)) + least
		after += time.Duration(draw * float64(min(spread, limit-after)))
	} else {
		// There is no capacity before the limit. The returns are spread over the time until then.
		after = b.lessPlanned(anyTime(limit, draw), anyTime(limit, math.Mod(draw+0.5, 1)), now)
	}
	b.add(now.Add(after), request.work)
	return after
}

// anyTime returns a random time for a caller for whom there is no capacity before a limit.
func anyTime(limit time.Duration, draw float64) time.Duration {
	return time.Duration((unplannedFrom + (1-unplannedFrom)*draw) * float64(limit))
}

// lessPlanned returns that of two times for whose interval less is planned, which evens out the returns.
func (b *bookings) lessPlanned(one, other time.Duration, now time.Time) time.Duration {
	if b.plannedAt(now.Add(other)) < b.plannedAt(now.Add(one)) {
		return other
	}
	return one
}

// firstFree returns the time until the first interval, after the expected wait, in which the work planned
// until its end is done. It stops at the limit.
func (b *bookings) firstFree(request *booking, now time.Time) time.Duration {
	part, backlog := b.returnPart(request.work, now), 0.0
	done := max(request.rate, minRate) * returnShare * bookingInterval.Seconds()
	for i, work := range b.planned {
		at := intervalStart(b.first + int64(i)).Sub(now)
		if at >= request.limit || backlog+work*part <= done && at >= request.wait {
			return at
		}
		backlog = max(backlog+work*part-done, 0)
	}
	after := intervalStart(b.first + int64(len(b.planned))).Sub(now)
	return after + time.Duration(backlog/done*float64(bookingInterval))
}

// returnPart returns the part of the planned work that will probably return. It is 1 at first; work is
// that of a usual request, few of which decide nothing.
func (b *bookings) returnPart(work time.Duration, now time.Time) float64 {
	b.due.decayWithin(returnMemory, now)
	b.returned.decayWithin(returnMemory, now)
	part := (b.returned.work + work.Seconds()) / (b.due.work + work.Seconds())
	return min(max(part, minReturnPart), 1)
}

// noteReturn counts a request whose caller returned.
func (b *bookings) noteReturn(work time.Duration, now time.Time) {
	b.returned.decayWithin(returnMemory, now)
	b.returned.addWork(work.Seconds())
}

func (b *bookings) add(at time.Time, work time.Duration) {
	index := int(intervalOf(at) - b.first)
	if missing := index + 1 - len(b.planned); missing > 0 {
		b.planned = append(b.planned, make([]float64, missing)...)
	}
	b.planned[index] += work.Seconds()
}

func (b *bookings) plannedAt(at time.Time) float64 {
	if index := int(intervalOf(at) - b.first); index >= 0 && index < len(b.planned) {
		return b.planned[index]
	}
	return 0
}

// forgetPast drops the intervals that have passed, and counts what was planned for them as due.
func (b *bookings) forgetPast(now time.Time) {
	b.due.decayWithin(returnMemory, now)
	current := intervalOf(now)
	passed := int(min(max(current-b.first, 0), int64(len(b.planned))))
	for _, work := range b.planned[:passed] {
		b.due.addWork(work)
	}
	b.planned = slices.Delete(b.planned, 0, passed)
	b.first = current
}

func intervalOf(at time.Time) int64 { return at.UnixNano() / int64(bookingInterval) }

func intervalStart(number int64) time.Time { return time.Unix(0, number*int64(bookingInterval)) }
