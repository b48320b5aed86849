package gateway

import (
	"context"
	"time"

	"github.com/slipwick/slipwick/balance"
)

const (
	// patienceFactor times the route's objective is how long a backend server
	// may take to answer before the request goes on elsewhere: an answer that
	// takes longer is late in any case.
	patienceFactor = 2
	// leastPatience is for routes with a very short objective or none.
	leastPatience = 400 * time.Millisecond
	// pausePatience is how long a stream that has begun may pause: callers
	// give up after 2 s.
	pausePatience = 1200 * time.Millisecond
)

// patience ends one send when its backend server hangs and another may be
// tried; where none may, it tells the balancer. It belongs to one goroutine.
type patience struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	// goesOn says that the request may go on elsewhere.
	goesOn bool
}

// newPatience begins to wait for a send that is about to be made.
func (c *call) newPatience(lease *balance.Lease) *patience {
	ctx, cancel := context.WithCancel(c.ctx)
	p := &patience{
		ctx:    ctx,
		cancel: cancel,
		goesOn: c.route.MayRepeat() && c.runs+1 < c.route.MaxAttempts,
	}
	passed := cancel
	if !p.goesOn {
		passed = func() { c.gateway.Balancer.Overdue(lease) }
	}
	p.timer = time.AfterFunc(max(patienceFactor*c.route.Objective, leastPatience), passed)
	return p
}

// renew allows for the next pause of a stream. Where the request may not go on
// elsewhere, the balancer notices by itself that nothing comes.
func (p *patience) renew() {
	if p.goesOn {
		p.timer.Reset(pausePatience)
	} else {
		p.timer.Stop()
	}
}

// end frees what waits.
func (p *patience) end() {
	p.timer.Stop()
	p.cancel()
}
