package balance

// scratch is the memory that one choice needs. It is used again by the next, so
// that a choice allocates nothing that grows with the pool.
type scratch struct {
	// usable are the servers that a request may go to, out those that are left
	// out, below the engines below the bound.
	usable, out, below []*server
	// costs are those of the usable servers, scores the ranks of those below.
	costs  []float64
	scores []uint64
}
