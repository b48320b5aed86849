package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/upstream"
)

const (
	// objectiveFactor times the route's latency objective, and at least defaultFirstByteTimeout, is
	// how long a backend server may take to start its response before the request is retried at
	// another one. It applies until the balancer knows the usual response times of the pool: a
	// response that takes longer is late in any case.
	objectiveFactor         = 2
	defaultFirstByteTimeout = 400 * time.Millisecond
	// retryTimeShare is the share of the remaining time that is kept for a retry, if one may
	// follow.
	retryTimeShare = 0.5
	// gapObjectiveFactor times the gap that the route allows between events is how long a
	// stream may stay silent after it has begun; defaultIdleTimeout applies if the route sets no
	// such gap. Callers give up after some seconds.
	gapObjectiveFactor = 4
	defaultIdleTimeout = 1200 * time.Millisecond
	// maxIdleTimeout caps an idle timeout that is derived from the gaps of a slow pool: callers
	// do not wait for longer.
	maxIdleTimeout = 4 * time.Second
	// retryPollInterval is how often a timed-out send that still waits tries to acquire the lease
	// for a retry, or asks whether its server has had all the time that it may take.
	retryPollInterval = 100 * time.Millisecond
)

// timeoutHandler handles the timeouts of one send whose backend server stays silent: it reports the
// silence to the balancer, and ends the send once the request can be sent to another backend
// server. After a part of the response has arrived, a send is ended only if another backend server
// can continue the response. It must be used only by the goroutine that sends.
type timeoutHandler struct {
	call  *call
	lease *balance.Lease
	// mayRetry says that the route allows another send after this one, reported that the balancer
	// knows of the silence.
	mayRetry bool
	reported bool
}

// timeoutsFor returns the timeouts of the send that is about to be made.
func (c *call) timeoutsFor(lease *balance.Lease) upstream.Timeouts {
	h := &timeoutHandler{
		call:     c,
		lease:    lease,
		mayRetry: c.mayRepeatAfter(c.sends),
	}
	timeouts := upstream.Timeouts{
		FirstByte:     c.firstByteTimeout(lease),
		OnTimeout:     h.onTimeout,
		OnSilentRoute: h.retry,
	}
	if h.mayRetry {
		left := time.Duration((1 - retryTimeShare) * float64(clock.Until(c.deadline)))
		timeouts.FirstByte = max(min(timeouts.FirstByte, left), time.Millisecond)
		timeouts.Idle = c.idleTimeout(lease)
	}
	return timeouts
}

// firstByteTimeout returns how long the backend server may take to start its response.
func (c *call) firstByteTimeout(lease *balance.Lease) time.Duration {
	if timeout := c.gateway.Balancer.FirstByteTimeout(lease); timeout > 0 {
		return timeout
	}
	return max(objectiveFactor*c.route.ResponseObjective, defaultFirstByteTimeout)
}

// idleTimeout returns how long the backend server may stay silent in the middle of a stream.
func (c *call) idleTimeout(lease *balance.Lease) time.Duration {
	timeout := gapObjectiveFactor * c.route.GapObjective
	if timeout == 0 {
		timeout = defaultIdleTimeout
	}
	return min(max(timeout, c.gateway.Balancer.StreamIdleTimeout(lease)), max(timeout, maxIdleTimeout))
}

// onTimeout returns how much longer to wait for an unresponsive backend server: 0 ends the send,
// and upstream.NoTimeout waits until the deadline of the request.
func (h *timeoutHandler) onTimeout() time.Duration {
	c := h.call
	if !h.reported {
		h.reported = c.gateway.Balancer.RecordOverdue(h.lease)
		c.overdue = h.reported
	}
	return h.retry()
}

// retry returns how much longer to wait, like onTimeout, without a report to the balancer.
func (h *timeoutHandler) retry() time.Duration {
	c := h.call
	if !h.mayRetry || c.timeLeft() < c.minRetryTime() {
		if !h.reported {
			return retryPollInterval
		}
		return upstream.NoTimeout
	}
	if c.nextLease = c.acquireNextLease(); c.nextLease == nil {
		return retryPollInterval
	}
	return 0
}

// acquireNextLease acquires the lease of a retry while a send is still waiting. It returns nil if
// the retry budget is spent or no healthy backend server is available.
func (c *call) acquireNextLease() *balance.Lease {
	if !c.gateway.Budget.Allows(c.pool) {
		// Check the budget first: the balancer would count a lease that is abandoned again as used.
		return nil
	}
	selection := c.selection
	selection.HealthyOnly = true
	lease, permit, err := c.acquireHedge(selection)
	if err != nil {
		return nil
	}
	if !c.gateway.Budget.Take(c.pool) {
		c.gateway.Balancer.Abandon(lease)
		permit.release(slipwick.EvidenceNone)
		return nil
	}
	c.nextPermit = permit
	return lease
}

// acquireHedge acquires a lease while a send is still waiting. With a permit source it does so only
// while the pool is not under pressure or the current send is a probe, and without a long wait.
func (c *call) acquireHedge(selection balance.Request) (*balance.Lease, heldPermit, error) {
	if !c.gateway.usesPermits() {
		lease, err := c.gateway.Balancer.Acquire(&selection)
		return lease, heldPermit{}, err
	}
	wait := hedgePermitWait
	switch {
	case c.permit.permit.Probe:
		wait = probeRetryWait
	case c.isUnderPressure():
		return nil, heldPermit{}, errUnderPressure
	}
	ctx, cancel := context.WithTimeout(c.ctx, wait)
	defer cancel()
	return c.acquireWithPermit(ctx, selection, true)
}

var errUnderPressure = errors.New("the pool is under pressure")
