package gateway

import (
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/upstream"
)

const (
	// startFactor times the route's objective, and startPatience at least, is
	// how long a backend server may say nothing before the request goes on
	// elsewhere, until the pool's own times are known: an answer that takes
	// longer is late in any case.
	startFactor   = 2
	startPatience = 400 * time.Millisecond
	// nextShare of the time left is kept for the next send, if there may be one.
	nextShare = 0.5
	// pauseFactor times the pause that the route allows between events, and
	// startPause without one, is how long a stream that has begun may say
	// nothing: callers give up after some seconds.
	pauseFactor = 4
	startPause  = 1200 * time.Millisecond
	// mostPause bounds what the pauses of a slow pool make of it: callers do not
	// wait for longer.
	mostPause = 4 * time.Second
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
		mayGoOn: c.route.MayRepeat() && c.runs+1 < c.route.MaxAttempts && c.sends < c.mostSends(),
	}
	bounds := upstream.Patience{
		First:   c.gateway.Balancer.Patience(lease),
		Overdue: p.overdue,
	}
	if bounds.First == 0 {
		bounds.First = max(startFactor*c.route.Objective, startPatience)
	}
	if p.mayGoOn {
		left := time.Duration((1 - nextShare) * float64(clock.Until(c.deadline)))
		bounds.First = max(min(bounds.First, left), time.Millisecond)
		bounds.Pause = c.pausePatience(lease)
	}
	return bounds
}

// pausePatience is how long the rest of a stream may take to come.
func (c *call) pausePatience(lease *balance.Lease) time.Duration {
	wait := pauseFactor * c.route.Pause
	if wait == 0 {
		wait = startPause
	}
	return min(max(wait, c.gateway.Balancer.PausePatience(lease)), max(wait, mostPause))
}

// overdue tells how long to wait on for a backend server that says nothing.
func (p *patience) overdue() time.Duration {
	c := p.call
	if !p.told {
		p.told = true
		c.gateway.Balancer.Overdue(p.lease)
	}
	if !p.mayGoOn || clock.Until(c.deadline) < c.leastTime() {
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
	if !c.gateway.Budget.Allows(c.pool) {
		// A place that is given back again would count as one that was used.
		return nil
	}
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
