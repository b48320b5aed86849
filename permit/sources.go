package permit

import "github.com/slipwick/slipwick"

var (
	_ slipwick.PressureSource     = (*Client)(nil)
	_ slipwick.PermitStatusSource = (*Client)(nil)
)

// UnderPressure reports whether requests for the pool need permits of its coordinator.
func (c *Client) UnderPressure(pool string) bool {
	return c.pool(pool).isUnderPressure(c.Capacity)
}

// PermitStatus returns the permits that this router's requests hold, and how many of its requests wait
// at the coordinator.
func (c *Client) PermitStatus(pool string) slipwick.PermitStatus {
	status := c.PoolStatus(pool)
	return slipwick.PermitStatus{
		InFlight: status.Held,
		Waiting:  status.Queued,
	}
}
