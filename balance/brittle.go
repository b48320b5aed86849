package balance

import (
	"time"

	"github.com/slipwick/slipwick/clock"
)

// brittleTTL is how long the servers of a pool count as brittle after a response last said so. In a large fleet a
// router gets a response of a pool every second or so.
const brittleTTL = 5 * time.Second

// RecordBrittle takes what the response to the lease's request says of how brittle its server is: the server falls
// over if it rejects more than so many requests within a second. 0 says that it isn't brittle.
func (b *Balancer) RecordBrittle(lease *Lease, rejections int) {
	if rejections <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now, pool := clock.Now(), lease.server.Pool
	if !b.isBrittleLocked(pool, now) {
		b.OnBrittle(pool, rejections)
	}
	b.brittleUntil[pool] = now.Add(brittleTTL)
}

// isBrittleLocked reports whether servers of the pool have said lately that they are brittle.
func (b *Balancer) isBrittleLocked(pool string, now time.Time) bool {
	return now.Before(b.brittleUntil[pool])
}

// BrittlePools returns the number of pools whose servers have said lately that they are brittle.
func (b *Balancer) BrittlePools() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, count := clock.Now(), 0
	for pool := range b.brittleUntil {
		if b.isBrittleLocked(pool, now) {
			count++
		}
	}
	return count
}
