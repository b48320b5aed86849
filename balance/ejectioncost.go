package balance

import "time"

// isEjectionWorseLocked reports whether an ejection would cost more requests than the failures of the
// server: the others of its pool have no room for what it serves. It compares requests in flight, of
// which those beyond the slots of the others would wait, and those that fail at the server. It applies
// only while the speed of servers decides, since only then the slots of servers bound their load.
func (b *Balancer) isEjectionWorseLocked(s *server, now time.Time) bool {
	if !b.speedAware {
		return false
	}
	var others []*server
	slots := 0
	for _, other := range b.pools[s.Pool] {
		if other != s && other.acceptsNew() && !other.notices.isPaused(now) && !b.isUnavailableLocked(other, now) {
			others = append(others, other)
			slots += other.learned.slots(other.slots())
		}
	}
	served := min(b.loadsLocked([]*server{s}, now)[0], float64(s.slots()))
	inFlight := served
	for i, load := range b.loadsLocked(others, now) {
		inFlight += min(load, float64(others[i].slots()))
	}
	displaced := min(max(inFlight-float64(slots), 0), served)
	return displaced > s.errors.rate*served
}
