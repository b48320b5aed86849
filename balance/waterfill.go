package balance

import (
	"math"
	"slices"
)

// unreportedRequestsLocked estimates how many requests of all routers are in flight at the
// servers without having been reported in an update yet. It assumes that each router sends about as
// many as this one.
func (b *Balancer) unreportedRequestsLocked(servers []*server, decay float64) float64 {
	if len(servers) == 0 {
		return 0
	}
	perServer := meanSends(servers, decay)
	typical := b.timingsLocked(servers[0].Pool).responseTimeQuantile(medianQuantile, 0)
	if typical > 0 && typical < updateDelay {
		perServer *= float64(typical) / float64(updateDelay)
	}
	return perServer * float64(len(servers)) * float64(b.otherRouters+1)
}

// minUnreported is the least number of requests that chooseByWaterFilling distributes: the request
// itself.
const minUnreported = 1

// chooseByWaterFilling chooses a server by its cost at random, such that the requests that routers
// have not reported to each other yet fill the cheapest servers up to a common level. If all routers
// chose the cheapest server, it would get every request until the next update. It returns an index
// of costs. draw is a random number in [0, 1).
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

// fillLevel returns the common cost up to which the amount raises the cheapest servers.
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
