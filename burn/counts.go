package burn

// Counts are the requests of one workspace in one window.
type Counts struct {
	Total uint64 `json:"total"`
	// Bad are those that did not complete, through no fault of the caller.
	Bad uint64 `json:"bad"`
	// Tokens are those that had a first token, Slow those of them whose
	// first token came later than the objective.
	Tokens uint64 `json:"tokens"`
	Slow   uint64 `json:"slow"`
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.Total += other.Total
	c.Bad += other.Bad
	c.Tokens += other.Tokens
	c.Slow += other.Slow
}
