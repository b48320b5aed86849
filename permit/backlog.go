package permit

import (
	"math/rand/v2"
	"time"
)

const (
	// returnShare is the part of a pool's capacity that is planned for callers who return as their
	// refusal told them: it leaves room for those who come back at another time.
	returnShare = 0.8
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller should return.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retrySpread is the part of the time to return that is random.
	retrySpread = 0.2
)

// backlog plans when refused callers return, so that they don't all come back at once: each is told a
// time at which the pool has capacity for its work that isn't planned for others.
type backlog struct {
	// until is the end of the planned work.
	until time.Time
}

// plan returns after which time a caller with the work should return to a pool with that rate of work,
// in seconds per second, in which it would wait for the given time now.
func (b *backlog) plan(work, wait time.Duration, rate float64, now time.Time) time.Duration {
	if start := now.Add(wait); b.until.Before(start) {
		b.until = start
	}
	if latest := now.Add(maxRetryAfter); b.until.After(latest) {
		b.until = latest
	}
	if rate > 0 {
		b.until = b.until.Add(time.Duration(float64(work) / (rate * returnShare)))
	}
	after := b.until.Sub(now)
	after += time.Duration(retrySpread * rand.Float64() * float64(after))
	return min(max(after, minRetryAfter), maxRetryAfter)
}
