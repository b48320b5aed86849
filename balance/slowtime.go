package balance

import "time"

// maxSlowTime bounds how much more time a server gets because it reports that it is slow.
const maxSlowTime = 4

// slowTimeLocked returns by what factor a server may take longer than usual, by its own reports.
func (b *Balancer) slowTimeLocked(s *server, now time.Time) float64 {
	if !b.speedAware {
		return 1
	}
	return min(max(s.speed.reportedFactor(now), 1), maxSlowTime)
}

// isOverdueLocked reports whether the lease's request has waited for longer than its server may take.
// A server may have reported only after the request was sent that it is slow, and a request with little
// time may ask before the usual responses of the pool have begun.
func (b *Balancer) isOverdueLocked(lease *Lease, now time.Time) bool {
	if lease.sentAt.IsZero() {
		return true
	}
	elapsed := now.Sub(lease.sentAt)
	late := b.timingsLocked(lease.server.Pool).responseTimeQuantile(lateQuantile, lease.tokensToPrefill)
	if elapsed < late {
		return false
	}
	factor := b.slowTimeLocked(lease.server, now)
	return factor == 1 || float64(elapsed) >= factor*float64(b.firstByteTimeoutLocked(lease))
}
