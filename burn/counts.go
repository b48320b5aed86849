package burn

// Counts are the numbers of requests of one workspace in one window.
type Counts struct {
	// Total is the number of accepted requests except those that ended with a client error (a 4xx
	// status), which do not count against the service level.
	Total uint64 `json:"total"`
	// Bad is the number of these requests that did not complete.
	Bad uint64 `json:"bad"`
	// FirstTokens is the number of these requests whose response had a first token, SlowFirstTokens
	// the number of those whose first token came later than the workspace's objective for it.
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
