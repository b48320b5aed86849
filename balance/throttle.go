package balance

import "time"

const (
	// throttleIntervals is over how many roomIntervals a router measures the rate of its requests, recentIntervals over
	// how many it notices that the rate rises.
	throttleIntervals = 10
	recentIntervals   = 3
	// throttleLoad is the part of the room of a pool in use from which on its requests are throttled, throttleTime how
	// long they are throttled after that: while servers reject requests, few are in flight and the load seems low.
	throttleLoad = 0.5
	throttleTime = 2 * time.Second
	// minPart is how many requests a router's part of the room of a pool has to have at least, so that routers share the
	// room.
	minPart = 2
	// unusedRoomGain is by which part of the unused room a router may exceed its equal part of the rate, which other
	// routers may not use.
	unusedRoomGain = 0.3
)

// throttle admits a random part of this router's requests for a pool of brittle servers.
type throttle struct {
	// arrivals counts the requests of the latest intervals, the first of which began at beganAt.
	arrivals [throttleIntervals]float64
	beganAt  time.Time
	// activeUntil is until when requests are throttled.
	activeUntil time.Time
}

// isThrottledLocked reports whether routers share the rate of requests that a pool can serve, and not the room of its
// servers. They do if a router's part of the room is too small, and requests end before other routers know of them, so
// that what routers know of the use of the room is out of date.
func (b *Balancer) isThrottledLocked(pool string, now time.Time) bool {
	stay := b.refusalsLocked(pool, now).stay
	return stay > 0 && stay < newsDelay && usedRoom(b.pools[pool]) < minPart*float64(b.otherRouters+1)
}

// usedRoom returns how many requests routers may have in flight at brittle servers.
func usedRoom(servers []*server) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += usedRoomShare * float64(s.learned.slots(s.slots()))
	}
	return sum
}

// throttledLocked returns the servers that may get a request for a pool, none if the request isn't admitted.
func (b *Balancer) throttledLocked(pool string, usable []*server, now time.Time) []*server {
	open := usable[:0]
	for _, s := range usable {
		if !now.Before(s.room.closedUntil) {
			open = append(open, s)
		}
	}
	t := b.throttles[pool]
	if t == nil {
		t = &throttle{}
		b.throttles[pool] = t
	}
	t.count(now)
	if b.Random() >= b.admittedShareLocked(t, pool, open, now) {
		return nil
	}
	return open
}

// admittedShareLocked returns which part of this router's requests may be sent to the open servers of a pool: its equal
// part of the rate that they can serve, and more while there is unused room. Each is admitted or not by chance, so that
// the requests of many routers arrive independently of each other.
func (b *Balancer) admittedShareLocked(t *throttle, pool string, open []*server, now time.Time) float64 {
	room, load := usedRoom(open), 0.0
	if room == 0 {
		return 0
	}
	for _, l := range b.loadsLocked(open, now) {
		load += l
	}
	if load >= throttleLoad*room {
		t.activeUntil = now.Add(throttleTime)
	}
	if !now.Before(t.activeUntil) {
		return 1
	}
	equal := room / b.refusalsLocked(pool, now).stay.Seconds() / float64(b.otherRouters+1)
	return equal * (1 + unusedRoomGain*max(1-load/room, 0)) / t.rate()
}

// randomLocked returns a random server. Routers that know of few of each other's requests would all choose the one with
// the lowest known load.
func (b *Balancer) randomLocked(servers []*server) *server {
	return servers[min(int(b.Random()*float64(len(servers))), len(servers)-1)]
}

// count counts a request.
func (t *throttle) count(now time.Time) {
	if passed := now.Sub(t.beganAt); passed >= roomInterval {
		t.shift(int(min(passed/roomInterval, throttleIntervals)))
		t.beganAt = now
	}
	t.arrivals[0]++
}

// shift begins a number of intervals.
func (t *throttle) shift(intervals int) {
	copy(t.arrivals[intervals:], t.arrivals[:])
	clear(t.arrivals[:intervals])
}

// rate returns how many requests a second there are, the higher of the rates over all and over the recent intervals.
// The current interval counts half.
func (t *throttle) rate() float64 {
	all, recent := 0.0, 0.0
	for i, n := range t.arrivals {
		all += n
		if i < recentIntervals {
			recent += n
		}
	}
	return max(all/(throttleIntervals-0.5), recent/(recentIntervals-0.5)) / roomInterval.Seconds()
}
