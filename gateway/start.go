package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/slipwick/slipwick/clock"
)

const (
	// startWait is how long a request waits for its prompt's home, and for a router that
	// has no configuration yet, which tells how long the request may take.
	startWait = 400 * time.Millisecond
	// startShare of its time is how long a request waits for a router that starts. The rest
	// is for another router, should this one not get what it needs.
	startShare = 0.5
	// longestStart bounds that: requests without a time limit are not held by a router that
	// reaches nobody.
	longestStart = 5 * time.Second
	// homePoll is how often it looks whether its prompt has a home meanwhile.
	homePoll = 20 * time.Millisecond
)

// awaitReady waits until the router can serve at all. Callers reach one that is not ready when
// few others are, such as after a loss of power: sent away soon, they would come back to the next
// that starts, and be refused for good, while a large fleet's list takes seconds to read.
func (g *Gateway) awaitReady(r *http.Request, arrived time.Time) {
	if g.Ready == nil || isClosed(g.Ready) {
		return
	}
	ticker := time.NewTicker(homePoll)
	defer ticker.Stop()
	for clock.Since(arrived) < g.startHold(r, arrived) {
		select {
		case <-g.Ready:
			return
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

// startHold is how long a request may wait for this router.
func (g *Gateway) startHold(r *http.Request, arrived time.Time) time.Duration {
	table := g.table.Load()
	if table == nil {
		return startWait
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := table.Route(r.Host, path)
	if route == nil {
		return 0
	}
	left := deadlineOf(r.Header.Get(g.Headers.Deadline), route, arrived).Sub(arrived)
	return min(time.Duration(startShare*float64(left)), longestStart)
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
