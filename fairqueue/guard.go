package fairqueue

// guard is the starvation guard: it gives a part of the work to priorities below the one that is
// served.
type guard struct {
	// credit is the work, in seconds, that lower priorities may get out of order. It is negative
	// after a request that was larger than the credit.
	credit float64
}

// guardShare is the part of the work that the guard gives to lower priorities.
const guardShare = 1.0 / 16

// record notes served work. fromLower says that the guard chose the request, lowerWaits that requests
// of lower priorities wait. The credit is at most one request's work, so that a time in which no
// lower request was eligible isn't followed by a burst of them.
func (g *guard) record(work float64, fromLower, lowerWaits bool) {
	switch {
	case fromLower:
		g.credit -= work
	case lowerWaits:
		g.credit = min(g.credit+work*guardShare/(1-guardShare), work)
	default:
		g.credit = min(g.credit, 0)
	}
}
