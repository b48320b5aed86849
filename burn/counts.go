package burn

// Counts are the numbers of requests of one workspace in one window.
type Counts struct {
	// Total is the number of all requests.
	Total uint64 `json:"total"`
	// Bad is the number of requests that did not complete for a reason other than the caller.
	Bad uint64 `json:"bad"`
	// FirstTokens is the number of requests that received a first token, SlowFirstTokens the
	// number of those that received it later than the objective.
	FirstTokens     uint64 `json:"tokens"`
	SlowFirstTokens uint64 `json:"slow"`
}

// Add adds each count of other to c.
func (c *Counts) Add(other Counts) {
	c.Total += other.Total
	c.Bad += other.Bad
	c.FirstTokens += other.FirstTokens
	c.SlowFirstTokens += other.SlowFirstTokens
}
