package gateway

import (
	"context"
	"time"

	"github.com/slipwick/slipwick/clock"
)

const (
	// startWait is how long a request waits for a router that has just started:
	// it learns what it needs within some 200 ms.
	startWait = 400 * time.Millisecond
	// homePoll is how often it looks whether its prompt has a home meanwhile.
	homePoll = 20 * time.Millisecond
)

// awaitReady waits until the router can serve at all.
func (g *Gateway) awaitReady(ctx context.Context) {
	if g.Ready == nil || isClosed(g.Ready) {
		return
	}
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case <-g.Ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitHome waits until an engine is known that keeps the request's prompt, or
// until it is known that none does: to read a long prompt again takes longer.
// Requests without a prompt do not wait.
func (c *call) awaitHome() {
	homes := c.gateway.Homes
	if len(c.ask.Prompt) == 0 || homes == nil || isClosed(homes) {
		return
	}
	timer := time.NewTimer(c.homeWait() - clock.Since(c.arrived))
	defer timer.Stop()
	ticker := time.NewTicker(homePoll)
	defer ticker.Stop()
	for !c.gateway.Balancer.HasHome(&c.ask) {
		select {
		case <-homes:
			return
		case <-timer.C:
			return
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// homeWait is how long after its arrival the request may wait for its prompt's
// home: no longer than an engine takes to read the prompt again, which would have
// been the quicker way, nor so long that it is late in any case.
func (c *call) homeWait() time.Duration {
	balancer, wait := c.gateway.Balancer, startWait
	if !balancer.Switches.WaitForHomes {
		wait = min(wait, balancer.ReadingTime(&c.ask))
	}
	if c.route.Objective > 0 {
		wait = min(wait, c.route.Objective-balancer.ReadTime(&c.ask))
	}
	return wait
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
