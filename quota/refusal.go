package quota

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fairqueue"
)

// refuse notes a refusal and returns its error.
func (p *pool) refuse(
	r *record, request *slipwick.PermitRequest, reason string, wait time.Duration, now time.Time,
) error {
	r.refused.add(request.Work, now)
	return &slipwick.Error{
		Kind:       slipwick.KindOverloaded,
		Message:    "no slot of pool " + p.name + " is free in time: " + reason,
		Remedy:     "retry after the time given; add backend servers, or raise the workspace's share, if this happens often",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: p.planReturn(r, request, wait, now),
	}
}

// planReturn returns the Retry-After of a refused request. Callers wait no longer than until the deadline that
// they set, so they are not told to return after more than the time from the arrival to it.
func (p *pool) planReturn(
	r *record, request *slipwick.PermitRequest, wait time.Duration, now time.Time,
) time.Duration {
	limit := maxRetryAfter
	if request.Deadline.After(request.Arrived) {
		limit = min(request.Deadline.Sub(request.Arrived), limit)
	}
	rate := min(p.fairRates.of(r), p.rateLeft(p.arrivals.rate(request.Priority, now)))
	if r.allowance != nil {
		rate = min(rate, r.allowance.slots())
	}
	return r.bookings.book(&booking{
		wait:  wait,
		limit: limit,
		work:  max(request.Work, minBookedWork),
		rate:  rate,
	}, now, p.random())
}

// refuseWaiting refuses a request that has left the queue.
func (p *pool) refuseWaiting(item *fairqueue.Item, reason string, now time.Time) {
	r := p.removeWaiting(item)
	p.decisions = append(p.decisions, decision{
		item: item,
		err:  p.refuse(r, item.Request, reason, p.expectedWait(r, item.Request, now).wait, now),
	})
}
