package quota

const (
	// driftShare is the part of the slots in use that is divided over the routers anew, by demand, at
	// each update. The rest stays where it is. Counts of few requests vary by chance, and each slot that
	// changes its router is idle until the next update.
	driftShare = 0.25
	// equalShare is the part of the free slots that is divided equally over the routers, for requests
	// that the sums don't show yet, after those for requests that wait. The rest is divided by demand.
	equalShare = 0.5
)

// share sets this router's limit for each claim, and returns their sum, its part of the spare slots
// included. The results of all routers that have the same sums add up to the slots.
func share(claims []*claim, spare float64, queued queuedPart, routers int) float64 {
	n, missing := float64(max(routers, 1)), 0.0
	for _, c := range claims {
		missing += c.missing()
	}
	free := missing + spare
	forQueued := min(queued.fleet, free)
	byDemand := min((1-equalShare)*(free-forQueued), missing)
	atAnyRouter := forQueued*ratio(queued.own, queued.fleet) + (free-forQueued-byDemand)/n
	sum := atAnyRouter
	for _, c := range claims {
		kept, part := (c.target-c.missing())*c.ownPart(), ratio(c.missing(), missing)
		demanded := kept + byDemand*part*ratio(c.ownWanted, c.wanted)
		c.limit = demanded + atAnyRouter*part
		sum += demanded
	}
	return sum
}

// missing returns the slots that the claim gets in addition to those in use.
func (c *claim) missing() float64 {
	return max(c.target-c.inFlight, 0)
}

// ownPart returns this router's part of the slots in use.
func (c *claim) ownPart() float64 {
	return (1-driftShare)*ratio(c.ownInFlight, c.inFlight) + driftShare*ratio(c.ownDemand(), c.demand())
}

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}
