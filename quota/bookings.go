package quota

import "time"

const (
	// returnShare is the part of the slots that refused callers are told to return for. The rest is for
	// first attempts.
	returnShare = 0.5
	// minRetryAfter and maxRetryAfter bound Retry-After.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retrySpread is the part of a Retry-After that is random.
	retrySpread = 0.5
)

// bookings spreads the returns of refused callers over the time in which there is capacity for them.
type bookings struct {
	// next is when the returns booked so far will have been served.
	next time.Time
}

// book returns the Retry-After of a refused request. wait is the expected wait at the time of the
// refusal, draw a random number in [0, 1).
func (b *bookings) book(now time.Time, wait, work time.Duration, slots, draw float64) time.Duration {
	begin := now.Add(min(wait, maxRetryAfter))
	if b.next.After(begin) {
		begin = b.next
	}
	after := begin.Sub(now)
	if after < maxRetryAfter {
		b.next = begin.Add(time.Duration(float64(work) / (max(slots, minRate) * returnShare)))
	}
	after = time.Duration(float64(after) * (1 + retrySpread*draw))
	after += time.Duration(float64(minRetryAfter) * draw)
	return min(max(after, minRetryAfter), maxRetryAfter)
}
