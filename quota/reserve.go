package quota

import "math"

const (
	// reserveShare and reserveDeviations bound the slots that a router keeps free for the most urgent
	// priority: a part of its limit, and a multiple of the limit's square root, which is how much the
	// requests that arrive at it vary by chance. Without them an urgent request has to wait until a less
	// urgent one ends, which is long at a router with few slots.
	reserveShare      = 0.25
	reserveDeviations = 1
)

// setReserve sets which requests may not use all slots, and how many they leave free.
func (p *pool) setReserve(claims []*claim) {
	p.reserve, p.urgentPriority = 0, math.MaxInt
	for _, c := range claims {
		p.urgentPriority = min(p.urgentPriority, c.priority)
	}
	reserve := min(reserveShare*p.limit, reserveDeviations*math.Sqrt(p.limit))
	p.reserve = int(reserve + dither(p.self, 1, p.round))
}

// hasSlotFor reports whether a request of a priority may start.
func (p *pool) hasSlotFor(priority int) bool {
	if priority > p.urgentPriority {
		return p.inFlight < p.allowed-p.reserve
	}
	return p.inFlight < p.allowed
}
