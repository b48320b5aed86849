package quota

import (
	"math"
	"time"
)

const (
	// reserveShare and reserveDeviations bound the slots that a router keeps free for the most urgent
	// priority: a part of its limit, and a multiple of the square root of the slots that its requests
	// use, which is how much these vary by chance. Without them an urgent request has to wait until a
	// less urgent one ends, which is long at a router with few slots.
	reserveShare      = 0.35
	reserveDeviations = 2
	// reserveWaitShare is the part of their time to the objective for which urgent requests may wait for
	// a slot. What is released within it isn't kept free in addition. If they demand few of the fleet's
	// slots, few of them wait for the same released slot, and they may wait for up to reserveFreeShare: more
	// slots would be kept free than they need.
	reserveWaitShare = 1.0 / 8
	reserveFreeShare = 3.0 / 4
)

// setReserve sets which requests may not use all slots, and how many they leave free.
func (p *pool) setReserve(claims []*claim, now time.Time) {
	p.reserve, p.urgentPriority = 0, math.MaxInt
	for _, c := range claims {
		p.urgentPriority = min(p.urgentPriority, c.priority)
	}
	p.lessUrgent = 0
	for _, r := range p.records {
		if r.priority > p.urgentPriority {
			p.lessUrgent += r.inFlight
		}
	}
	p.guarded = int(guardShare*p.limit + dither(p.self, 2, p.round))
	if p.urgentPriority == math.MaxInt {
		return
	}
	p.releases.decay(now)
	patience := p.arrivals.patience(p.urgentPriority, now).Seconds()
	wait := max(reserveWaitShare, reserveFreeShare*(1-urgentPart(claims, p.slots))) * patience
	released := p.releases.count / recentTime.Seconds() * wait
	needed := reserveDeviations*math.Sqrt(p.arrivals.rate(p.urgentPriority+1, now)) - released
	reserve := max(min(reserveShare*p.limit, needed), 0)
	p.reserve = int(reserve + dither(p.self, 1, p.round))
}

// urgentPart returns the part of the slots that the most urgent priority of the claims, which come first, demands.
func urgentPart(claims []*claim, slots float64) float64 {
	demand := 0.0
	for _, c := range claims {
		if c.priority == claims[0].priority {
			demand += c.demand()
		}
	}
	return min(ratio(demand, slots), 1)
}

// hasSlotFor reports whether a request of a priority may start. The less urgent ones may always use the part
// of the slots that the starvation guard gives them.
func (p *pool) hasSlotFor(priority int) bool {
	if priority > p.urgentPriority && p.lessUrgent >= p.guarded {
		return p.inFlight < p.allowed-p.reserve
	}
	return p.inFlight < p.allowed
}
