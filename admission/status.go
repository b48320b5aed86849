package admission

import (
	"slices"
	"strings"
)

// Status is the state of a backend server at its owner, as shown to operators.
type Status struct {
	Backend  string `json:"backend"`
	Pool     string `json:"pool"`
	InFlight int    `json:"in_flight"`
	// Queued is the number of queued requests.
	Queued int `json:"held"`
	// Limit is the current limit on slots.
	Limit  int    `json:"limit"`
	Health string `json:"health"`
}

// Status returns the status of the backend servers that this router owns, sorted by ID.
func (c *Coordinator) Status() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := make([]Status, 0, len(c.owned))
	for _, o := range c.owned {
		statuses = append(statuses, Status{
			Backend:  o.backend.ID,
			Pool:     o.pool,
			InFlight: len(o.leases),
			Queued:   o.queue.len(),
			Limit:    c.slotLimit(o),
			Health:   o.health.state.String(),
		})
	}
	slices.SortFunc(statuses, func(a, b Status) int { return strings.Compare(a.Backend, b.Backend) })
	return statuses
}
