package balance

// scratch has the buffers that one choice needs. The next choice reuses them, so that no choice
// allocates memory in proportion to the pool.
type scratch struct {
	// usable has the servers that a request may go to, cold the cold servers that may get it as
	// well, unavailable those that are ejected or unresponsive, and below those whose load is below
	// the load bound.
	usable, cold, unavailable, below []*server
	// evacuatedOrPaused has the evacuated servers and those that asked for a pause.
	evacuatedOrPaused []*server
	// newVersion has the servers of a pool that have the version of its canary, oldVersion the
	// others that are not held back.
	oldVersion, newVersion []*server
	// costs has the loads of the usable servers, with remoteDataCentreCost added for a plain
	// service, weights how often each of these is drawn, scores the rendezvous scores of those below the load bound.
	costs   []float64
	weights []float64
	scores  []uint64
	// spread has the engines among which the requests for a prompt are spread.
	spread []spreadOption
}
