package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/slipwick/slipwick/clock"
)

const (
	// startupWait is how long a request waits at most for the router to learn which engine has its
	// prompt cached. It is also how long a request waits for a router that has no configuration yet
	// and so cannot know the time limit of the request.
	startupWait = 400 * time.Millisecond
	// startupWaitShare is the share of its time limit for which a request waits until a starting
	// router is ready. The rest is left for a retry at another router, in case this one does not
	// become ready.
	startupWaitShare = 0.5
	// maxStartupWait caps that wait, so that a router that can read the configuration and the list
	// of backend servers neither from the store nor from other routers, and so cannot become ready,
	// does not hold requests that set no time limit.
	maxStartupWait = 5 * time.Second
	// usualStartupTime is how long after its start a router is expected to become ready: twice what a
	// start of the largest fleet took. One that is not ready by then reaches neither the store nor
	// a router that has a copy, and becomes ready at an unknown time: a request waits there
	// only for lateStartupShare of its objective or, without one, of its time limit.
	usualStartupTime = 10 * time.Second
	lateStartupShare = 0.25
	// startupPollInterval is how often a waiting request checks whether it can go on.
	startupPollInterval = 20 * time.Millisecond
)

// awaitReady blocks until the router is ready or the request has waited for too long. Callers reach
// a router that is not ready when few others are ready either, such as after a power failure: if
// refused early, they would retry at the next starting router and finally be refused for good,
// while a large fleet's list of backend servers takes seconds to read.
func (g *Gateway) awaitReady(r *http.Request, arrived time.Time) {
	if g.Ready == nil || isClosed(g.Ready) {
		return
	}
	ticker := time.NewTicker(startupPollInterval)
	defer ticker.Stop()
	for clock.Since(arrived) < g.maxReadyWait(r, arrived) {
		select {
		case <-g.Ready:
			return
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

// maxReadyWait returns how long after its arrival the request may wait for the router to become
// ready.
func (g *Gateway) maxReadyWait(r *http.Request, arrived time.Time) time.Duration {
	table, isLate := g.table.Load(), g.isStartLate()
	switch {
	case table == nil && isLate:
		return time.Duration(lateStartupShare * float64(startupWait))
	case table == nil:
		return startupWait
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := table.Route(r.Host, path)
	if route == nil {
		return 0
	}
	left := requestDeadline(r.Header.Get(g.Headers.Deadline), route, arrived).Sub(arrived)
	if isLate {
		limit := left
		if route.ResponseObjective > 0 {
			limit = min(limit, route.ResponseObjective)
		}
		return time.Duration(lateStartupShare * float64(limit))
	}
	return min(time.Duration(startupWaitShare*float64(left)), maxStartupWait)
}

// isStartLate reports whether the router should have become ready before now.
func (g *Gateway) isStartLate() bool {
	return !g.StartedAt.IsZero() && clock.Since(g.StartedAt) > usualStartupTime
}

// awaitCachedPrompt blocks until the router knows an engine that has the request's prompt cached,
// or knows that there is none: prefilling a long prompt again takes longer than the wait. It blocks
// for maxCachedPromptWait at most. Requests without a prompt do not wait.
func (c *call) awaitCachedPrompt() {
	cachesKnown := c.gateway.CachesKnown
	if len(c.selection.Prompt) == 0 || cachesKnown == nil || isClosed(cachesKnown) {
		return
	}
	timer := time.NewTimer(c.maxCachedPromptWait() - clock.Since(c.arrived))
	defer timer.Stop()
	ticker := time.NewTicker(startupPollInterval)
	defer ticker.Stop()
	for !c.gateway.Balancer.HasCachedPrompt(&c.selection) {
		select {
		case <-cachesKnown:
			return
		case <-timer.C:
			return
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// maxCachedPromptWait returns how long after its arrival the request may wait for an engine that
// has its prompt cached: not so long that the response misses the latency objective in any case
// and, unless the switch wait-for-homes (balance.Switches.WaitForCacheHolder) is set, no longer than
// an engine takes to prefill the prompt again, which would then be faster.
func (c *call) maxCachedPromptWait() time.Duration {
	balancer, limit := c.gateway.Balancer, startupWait
	if !balancer.Switches.WaitForCacheHolder {
		limit = min(limit, balancer.PrefillTime(&c.selection))
	}
	if c.route.ResponseObjective > 0 {
		limit = min(limit, c.route.ResponseObjective-balancer.MaxPrefillTime(&c.selection))
	}
	return limit
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
