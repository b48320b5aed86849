package gateway

import (
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/upstream"
)

const (
	// patienceFactor times the route's objective is how long a backend server
	// may say nothing before the request goes on elsewhere: an answer that
	// takes longer is late in any case.
	patienceFactor = 2
	// leastPatience is for routes with a very short objective or none.
	leastPatience = 400 * time.Millisecond
	// pausePatience is how long a stream that has begun may pause: callers
	// give up after 2 s.
	pausePatience = 1200 * time.Millisecond
	// askNextEvery is how often a send that hangs asks for the next one, while
	// none is granted.
	askNextEvery = 100 * time.Millisecond
)

// patience watches one send whose backend server says nothing: it tells the
// balancer, and gives the send up once the request may go on elsewhere. A send
// that has brought anything of an answer is given up only where the rest may
// come from elsewhere. It belongs to the goroutine that sends.
type patience struct {
	call  *call
	lease *balance.Lease
	// mayGoOn says that the route allows another send after this one, told
	// that the balancer knows of the silence.
	mayGoOn bool
	told    bool
}

// patienceFor makes the patience of a send that is about to be made.
func (c *call) patienceFor(lease *balance.Lease) upstream.Patience {
	p := &patience{
		call:    c,
		lease:   lease,
		mayGoOn: c.route.MayRepeat() && c.runs+1 < c.route.MaxAttempts,
	}
	bounds := upstream.Patience{
		First:   max(patienceFactor*c.route.Objective, leastPatience),
		Overdue: p.overdue,
	}
	if p.mayGoOn {
		bounds.Pause = pausePatience
	}
	return bounds
}

// overdue tells how long to wait on for a backend server that says nothing.
func (p *patience) overdue() time.Duration {
	c := p.call
	if !p.told {
		p.told = true
		c.gateway.Balancer.Overdue(p.lease)
	}
	if !p.mayGoOn || time.Until(c.deadline) < leastTime {
		return upstream.Forever
	}
	if c.next = c.grantNext(); c.next == nil {
		return askNextEvery
	}
	return 0
}

// grantNext grants another send while one runs; nil if there is no sound backend
// server for it, or no budget.
func (c *call) grantNext() *balance.Lease {
	ask := c.ask
	ask.Sound = true
	lease, err := c.gateway.Balancer.Acquire(&ask)
	if err != nil {
		return nil
	}
	if !c.gateway.Budget.Take(c.pool) {
		c.gateway.Balancer.Abandon(lease)
		return nil
	}
	return lease
}
