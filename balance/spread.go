package balance

import (
	"math"
	"slices"
)

// unheardLocked is how many requests all routers have at the servers that none
// has told of yet: those of the last moment that still run. Each router sends
// about as many as this one.
func (b *Balancer) unreportedRequestsLocked(servers []*server, decay float64) float64 {
	if len(servers) == 0 {
		return 0
	}
	each := meanSends(servers, decay)
	typical := b.paceLocked(servers[0].Pool).responseTimeQuantile(medianQuantile, 0)
	if typical > 0 && typical < updateDelay {
		each *= float64(typical) / float64(updateDelay)
	}
	return each * float64(len(servers)) * float64(b.otherRouters+1)
}

// leastUnheard is what is spread in any case: the request itself.
const minUnreported = 1

// chooseByWaterFilling chooses a server for a request, by what its choice costs, so that what
// the routers have not told each other yet fills the cheapest servers to one
// level: were all to choose the cheapest, it would get everything until the next
// telling. It gives an index; draw is a number from 0 to 1 by chance.
func chooseByWaterFilling(costs []float64, unreported, draw float64) int {
	level := fillLevel(costs, max(unreported, minUnreported))
	sum := 0.0
	for _, cost := range costs {
		sum += max(level-cost, 0)
	}
	draw *= sum
	for i, cost := range costs {
		draw -= max(level-cost, 0)
		if draw < 0 {
			return i
		}
	}
	return slices.Index(costs, slices.Min(costs))
}

// fillLevel is the level to which the amount fills the cheapest.
func fillLevel(costs []float64, amount float64) float64 {
	sorted := slices.Sorted(slices.Values(costs))
	below := 0.0
	for n, cost := range sorted {
		below += cost
		level := (amount + below) / float64(n+1)
		next := math.Inf(1)
		if n+1 < len(sorted) {
			next = sorted[n+1]
		}
		if level <= next {
			return level
		}
	}
	return 0
}
