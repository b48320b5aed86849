package quota

// guardShare is the part of the slots that is reserved for lower priorities that have requests, so
// that they are not starved. The local queue reserves the same part of the work.
const guardShare = 1.0 / 16

// allocate sets the targets of the claims: the slots go to the priorities in order, less the guard's
// part of all slots, and within a priority to the workspaces by weight. The claims are sorted by
// priority. It returns the slots that nobody wants.
func allocate(slots float64, claims []*claim) (spare float64) {
	lower, guarded := 0.0, slots*guardShare
	for _, c := range claims {
		lower += c.demand()
	}
	for len(claims) > 0 {
		n, demand := 0, 0.0
		for n < len(claims) && claims[n].priority == claims[0].priority {
			demand += claims[n].demand()
			n++
		}
		lower = max(lower-demand, 0)
		// Priorities that have no more than the guard's part together divide it by demand.
		available := slots - min(guarded, lower, slots*ratio(lower, lower+demand))
		slots -= fill(min(available, demand), claims[:n])
		claims = claims[n:]
	}
	return max(slots, 0)
}

// fillSteps is the number of bisections by which the level is found; the error is then far below a
// slot.
const fillSteps = 40

// fill divides slots over claims of one priority: each gets the same for its weight, but no more than
// its demand. One slot for each claim comes first. It returns the slots given out.
func fill(slots float64, claims []*claim) (given float64) {
	floors := 0.0
	for _, c := range claims {
		floors += min(c.demand(), 1)
	}
	floor := 1.0
	if floors > slots {
		floor = slots / floors
	}
	level := bisect(slots, claims, floor)
	for _, c := range claims {
		c.target = c.atLevel(level, floor)
		given += c.target
	}
	return given
}

// levelOf returns the slots that a claim with the weight 1 gets without a floor.
func levelOf(slots float64, claims []*claim) float64 {
	return bisect(slots, claims, 0)
}

// bisect returns the highest level at which the claims get no more than the slots.
func bisect(slots float64, claims []*claim, floor float64) float64 {
	low, high := 0.0, 0.0
	for _, c := range claims {
		high = max(high, c.demand()/c.weight)
	}
	for range fillSteps {
		level := (low + high) / 2
		if sumAtLevel(claims, level, floor) > slots {
			high = level
		} else {
			low = level
		}
	}
	return low
}

// atLevel returns what a claim gets at a level, which is the slots for a weight of 1.
func (c *claim) atLevel(level, floor float64) float64 {
	return max(min(c.demand(), level*c.weight), min(c.demand(), 1)*floor)
}

func sumAtLevel(claims []*claim, level, floor float64) float64 {
	sum := 0.0
	for _, c := range claims {
		sum += c.atLevel(level, floor)
	}
	return sum
}
