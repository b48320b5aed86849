package gateway

import (
	"context"
	"time"
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
// tried. It belongs to one goroutine.
type patience struct {
	ctx    context.Context
	cancel context.CancelFunc
	// timer is nil when there is no other to try.
	timer *time.Timer
}

// newPatience begins to wait for a send that is about to be made.
func (c *call) newPatience() *patience {
	ctx, cancel := context.WithCancel(c.ctx)
	p := &patience{
		ctx:    ctx,
		cancel: cancel,
	}
	if c.route.MayRepeat() && c.runs+1 < c.route.MaxAttempts {
		p.timer = time.AfterFunc(max(patienceFactor*c.route.Objective, leastPatience), cancel)
	}
	return p
}

// renew allows for the next pause of a stream.
func (p *patience) renew() {
	if p.timer != nil {
		p.timer.Reset(pausePatience)
	}
}

// end frees what waits.
func (p *patience) end() {
	if p.timer != nil {
		p.timer.Stop()
	}
	p.cancel()
}
