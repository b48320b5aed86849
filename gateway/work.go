package gateway

import (
	"context"
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/pace"
)

// workEstimator returns the estimator of the work of requests.
func (g *Gateway) workEstimator() *pace.WorkEstimator {
	g.workOnce.Do(func() { g.work = pace.NewWorkEstimator(g.Balancer.FirstTokenTime) })
	return g.work
}

// estimateWork returns for how long the request will probably occupy a slot, and after what time its
// response begins. While nothing is known of the pool, the work is the latency objective, but at least
// the time to the start.
func (c *call) estimateWork() (total, start time.Duration) {
	tokens := c.gateway.Balancer.TokensToPrefill(&c.selection)
	total, start, known := c.gateway.workEstimator().Estimate(c.pool, c.route.Name, tokens)
	if objective := c.route.ResponseObjective; !known && objective > 0 {
		total = max(objective, start)
	}
	return total, start
}

// recordWork notes how long the request occupied its slot, if its response was delivered or it was cut off
// at its deadline: without the latter, the estimate would fall the more requests are cut off. A request
// whose prompt was fetched from another engine says nothing about the output time.
func (c *call) recordWork(lease *balance.Lease, sentAt time.Time, sendResult result) {
	if !c.gateway.usesPermits() || lease.FetchFrom != "" {
		return
	}
	isCutOff := c.ctx.Err() == context.DeadlineExceeded && (sendResult == resultBroken || sendResult == resultCut)
	total, start := clock.Since(sentAt), time.Duration(0)
	if !c.responseStart.IsZero() {
		start = c.responseStart.Sub(sentAt)
	}
	tokens := lease.TokensToPrefill()
	switch {
	case isCutOff:
		c.gateway.workEstimator().RecordCutOff(c.pool, c.route.Name, tokens, start, total)
	case sendResult == resultDelivered:
		c.gateway.workEstimator().Record(c.pool, c.route.Name, tokens, start, total)
	}
}
