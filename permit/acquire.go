package permit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/permit/permitpb"
)

const (
	// A router waits for an answer of the coordinator for 1 / boundDivisor of the objective, within
	// these bounds.
	boundDivisor = 8
	minBound     = 20 * time.Millisecond
	maxBound     = 100 * time.Millisecond
	// confirmationShare is the part of the time to the objective for which a confirmation of the
	// coordinator that a request is queued counts at most: the rest is left to decide without it.
	confirmationShare = 0.5
	// answerCapacity is one confirmation and the last answer.
	answerCapacity = 2
)

// Acquire returns a permit, which the caller must release. It returns the zero permit at once while
// the pool is not under pressure.
func (c *Client) Acquire(ctx context.Context, request *slipwick.PermitRequest) (slipwick.Permit, error) {
	p := c.pool(request.Pool)
	if !p.isUnderPressure(c.Capacity) {
		c.Decisions.Bypassed.Add(1)
		return slipwick.Permit{}, nil
	}
	return c.acquire(ctx, request, p)
}

// acquire asks the coordinator.
func (c *Client) acquire(ctx context.Context, request *slipwick.PermitRequest, p *poolState) (slipwick.Permit, error) {
	a := &acquisition{
		client: c,
		waitingRequest: &waitingRequest{
			request: request,
			id:      c.lastID.Add(1),
			pool:    p,
			answers: make(chan *permitpb.Answer, answerCapacity),
		},
		bound: boundedWait(request),
	}
	defer a.end()
	if !a.ask(clock.Now()) {
		return a.decideLocally()
	}
	a.answerBy = a.askedAt.Add(a.bound)
	timer := time.NewTimer(a.untilNext())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.Decisions.Cancelled.Add(1)
			return slipwick.Permit{}, cancelled(ctx.Err())
		case answer := <-a.answers:
			if answer.Verdict != permitpb.Verdict_VERDICT_QUEUED {
				return a.finish(answer)
			}
			if !a.confirm(answer) {
				c.Decisions.recordRefusal(permitpb.Reason_REASON_QUEUE_FULL)
				after := time.Duration(answer.WaitMs) * time.Millisecond
				return slipwick.Permit{}, refusal(p.name, "this router has max_queued requests waiting", spread(after))
			}
		case <-timer.C:
			if !a.retry() {
				return a.decideLocally()
			}
		}
		timer.Reset(a.untilNext())
	}
}

// boundedWait returns how long the request waits for an answer of the coordinator.
func boundedWait(request *slipwick.PermitRequest) time.Duration {
	if request.Objective.IsZero() {
		return maxBound
	}
	return min(max(request.Objective.Sub(request.Arrived)/boundDivisor, minBound), maxBound)
}

// spread returns a time from the given one to twice as much, at random.
func spread(after time.Duration) time.Duration {
	after = max(after, minRetryAfter)
	return min(after+time.Duration(rand.Float64()*float64(after)), maxRetryAfter)
}
