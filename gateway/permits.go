package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
)

const (
	// ReasonOverloaded is the reason for which a request that certainly was not run is refused for
	// lack of capacity. reasonRetryOverloaded is the reason for which a request that may have run is
	// not sent again.
	ReasonOverloaded      = "overloaded"
	reasonRetryOverloaded = "retry-overloaded"
	// maxPermitAsks is how often a request asks for a permit for one send, if the servers that its
	// permits name are not usable: the source learns of an unusable server within an update.
	maxPermitAsks = 3
	// hedgePermitWait bounds the wait for the permit of a send that is made while another still
	// waits, whose response is not read meanwhile.
	hedgePermitWait = 5 * time.Millisecond
	// probeRetryWait is the same for a send to a server that was known to fail: its response is less likely
	// to come, and the answer of a coordinator in another data centre takes 7 ms.
	probeRetryWait = 20 * time.Millisecond
	// minCountedWait is the shortest wait for a permit that counts: a permit that is granted at once
	// takes microseconds.
	minCountedWait = time.Millisecond
	// maxStartShare is the part of the latency objective that the usual time to the start of a
	// response may take of the time that a request may wait: in an overload, responses of engines
	// begin late, and without a bound all requests would count as late on arrival.
	maxStartShare = 0.5
)

// heldPermit is a permit that has to be released once.
type heldPermit struct {
	source slipwick.PermitSource
	permit slipwick.Permit
	pool   string
}

// release releases the permit; further calls have no effect.
func (h *heldPermit) release(evidence slipwick.Evidence) {
	if h.source == nil {
		return
	}
	// A rejection of a request that needed no permit tells the source that the pool is full.
	if h.permit.ID != 0 || evidence == slipwick.EvidenceShed {
		h.permit.Pool = h.pool
		h.source.Release(h.permit, evidence)
	}
	*h = heldPermit{}
}

// refusedPermit is an error of the permit source, as distinct from one of the balancer.
type refusedPermit struct{ cause error }

func (e *refusedPermit) Error() string { return e.cause.Error() }
func (e *refusedPermit) Unwrap() error { return e.cause }

// acquireWithPermit waits for a permit and returns a lease that keeps to it, and the permit. It asks
// again if the server that the permit names is not usable. isRetry says that the request was sent
// before and may have run.
func (c *call) acquireWithPermit(
	ctx context.Context, selection balance.Request, isRetry bool,
) (*balance.Lease, heldPermit, error) {
	request := c.newPermitRequest(&selection, isRetry)
	for asks := 1; ; asks++ {
		permit, err := c.gateway.Permits.Acquire(ctx, request)
		if err != nil {
			return nil, heldPermit{}, &refusedPermit{
				cause: err,
			}
		}
		held := heldPermit{
			source: c.gateway.Permits,
			permit: permit,
			pool:   request.Pool,
		}
		selection.Backend, selection.IgnoreEjection = permit.Backend, permit.IgnoreEjection
		lease, err := c.gateway.Balancer.Acquire(&selection)
		if err == nil {
			return lease, held, nil
		}
		held.release(slipwick.EvidenceNone)
		if permit.Backend == "" || asks == maxPermitAsks {
			return nil, heldPermit{}, err
		}
		next := *request
		next.Exclude = append(slices.Clip(next.Exclude), permit.Backend)
		request = &next
	}
}

// newPermitRequest returns the description of the next send. The source may keep it, so that each
// send after the first has a description of its own.
func (c *call) newPermitRequest(selection *balance.Request, isRetry bool) *slipwick.PermitRequest {
	request := &c.permitRequest
	if request.Pool == "" {
		c.describe(request)
	} else {
		other := *request
		request = &other
	}
	request.Exclude = c.gateway.Balancer.Withheld(selection)
	if len(selection.Exclude) > 0 {
		request.Exclude = append(request.Exclude, selection.Exclude...)
	}
	request.Retry = isRetry || c.progress.lastID != ""
	request.Repeatable = c.mayRepeatAfter(c.sends + 1)
	return request
}

// mayRepeatAfter reports whether the request may be sent once more if that many sends were made and the last
// one fails.
func (c *call) mayRepeatAfter(sends int) bool {
	return c.route.MayRepeat() && c.possibleRuns+1 < c.route.MaxAttempts && sends < c.maxSends()
}

// permitEvidence returns what the send says about the server to the source of its permit. The balancer has
// counted a response that is overdue already.
func (c *call) permitEvidence(sendResult result, evidence slipwick.Evidence) slipwick.Evidence {
	if sendResult == resultBroken && evidence == slipwick.EvidenceNone && c.overdue {
		return slipwick.EvidenceTimeout
	}
	return evidence
}

// describe sets what is the same for all sends of the request.
func (c *call) describe(request *slipwick.PermitRequest) {
	work, start := c.estimateWork()
	*request = slipwick.PermitRequest{
		Pool:      c.pool,
		Workspace: c.workspaceName(),
		Bytes:     int64(len(c.body)) + headerBytes(c.request),
		Priority:  c.priority(),
		Work:      work,
		Arrived:   c.arrived,
		Deadline:  c.deadline,
		Returning: c.gateway.refused.takeReturning(c.key),
		Key:       uint64(c.key),
	}
	if objective := c.route.ResponseObjective; objective > 0 {
		start = min(start, time.Duration(maxStartShare*float64(objective)))
		request.Objective = c.arrived.Add(objective - start)
	}
	if c.workspace != nil {
		request.Weight = c.workspace.Share
		request.MaxInFlight, request.MaxWork = c.workspace.MaxInFlight, c.workspace.MaxWork
	}
	if pool := c.table.Pools[c.pool]; pool != nil {
		request.MaxQueued = pool.MaxQueued
	}
}

// usesPermits reports whether requests need permits at this moment.
func (g *Gateway) usesPermits() bool {
	return g.Permits != nil && (g.PermitsActive == nil || g.PermitsActive())
}

// isUnderPressure reports whether admission control is active and the pool is under pressure.
func (c *call) isUnderPressure() bool {
	source, ok := c.gateway.Permits.(slipwick.PressureSource)
	return ok && source.UnderPressure(c.pool)
}

// noteRejection finds out whether a full server rejected the request under admission control. The
// request then has to ask for a permit again, within the retry budget, rather than be sent to the
// other servers of the full pool, and may be sent to the same server again.
func (c *call) noteRejection(sendResult result, evidence slipwick.Evidence) {
	if c.gateway.usesPermits() && sendResult == resultNotRun && evidence == slipwick.EvidenceShed &&
		(c.permit.permit.ID != 0 || c.isUnderPressure()) {
		c.selection.Exclude = c.selection.Exclude[:len(c.selection.Exclude)-1]
	}
}

// releasePermits releases the permits that the request still holds when it ends, as after a panic.
func (c *call) releasePermits() {
	c.permit.release(slipwick.EvidenceNone)
	c.nextPermit.release(slipwick.EvidenceNone)
}

// unservedReason returns why a request without a lease ends.
func (c *call) unservedReason(err error) string {
	var refused *refusedPermit
	switch {
	case c.isWithdrawn():
		return reasonStopping
	case !errors.As(err, &refused) && !slipwick.IsKind(err, slipwick.KindOverloaded):
		return "no-backend"
	case c.request.Context().Err() != nil:
		return "left"
	default:
		return c.overloadReason()
	}
}

// overloadReason returns why a request ends for lack of capacity.
func (c *call) overloadReason() string {
	if c.possibleRuns > 0 {
		return reasonRetryOverloaded
	}
	return ReasonOverloaded
}
