package balance

// scratch is the memory that one choice needs. It is used again by the next, so
// that a choice allocates nothing that grows with the pool.
type scratch struct {
	// usable are the servers that a request may go to, cold those that are cold and
	// may get it too, ejected those that are left ejected, below the engines below the
	// bound.
	usable, cold, ejected, below []*server
	// spared are those of evacuated data centres, and those that asked for rest.
	paused []*server
	// stable and canary are the servers of a pool on both sides of its trial.
	stable, canary []*server
	// costs are those of the usable servers, scores the ranks of those below.
	costs  []float64
	scores []uint64
}
