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
		RetryAfter: p.bookings.book(now, wait, request.Work, p.rate(), p.random()),
	}
}

// refuseWaiting refuses a request that has left the queue.
func (p *pool) refuseWaiting(item *fairqueue.Item, reason string, now time.Time) {
	r := p.removeWaiting(item)
	p.decisions = append(p.decisions, decision{
		item: item,
		err:  p.refuse(r, item.Request, reason, p.expectedWait(r, item.Request, now), now),
	})
}
