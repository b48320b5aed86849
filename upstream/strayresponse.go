package upstream

// StrayResponse describes a response that was skipped because it belongs to another request than the one
// that was sent last on its connection.
type StrayResponse struct {
	// Key is that of the backend server.
	Key string
	Use ConnectionUse
	// RequestID is the ID of the request that was sent last, ResponseID the one that the response names.
	RequestID, ResponseID string
	Status                int
}

func (c *Client) recordStray(stray *StrayResponse) {
	c.StrayResponses.Add(1)
	if c.OnStray != nil {
		c.OnStray(stray)
	}
}
