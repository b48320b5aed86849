package admission

import (
	"slices"
	"strings"
)

// Status is what an owner tells operators of one backend server.
type Status struct {
	Backend  string `json:"backend"`
	Pool     string `json:"pool"`
	InFlight int    `json:"in_flight"`
	Held     int    `json:"held"`
	// Limit is the most slots it may have now.
	Limit  int    `json:"limit"`
	Health string `json:"health"`
}

// String names the health as operators see it.
func (h Health) String() string {
	switch h {
	case HealthEjected:
		return "ejected"
	case HealthLeaving:
		return "leaving"
	default:
		return "good"
	}
}

// Status lists the backend servers that this router owns, by ID.
func (c *Coordinator) Status() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := make([]Status, 0, len(c.owned))
	for _, o := range c.owned {
		statuses = append(statuses, Status{
			Backend:  o.backend.ID,
			Pool:     o.pool,
			InFlight: len(o.leases),
			Held:     o.queue.len(),
			Limit:    c.bound(o),
			Health:   o.health.state.String(),
		})
	}
	slices.SortFunc(statuses, func(a, b Status) int { return strings.Compare(a.Backend, b.Backend) })
	return statuses
}
