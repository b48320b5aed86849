package quota

import (
	"math"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fairqueue"
)

const (
	// limitedMargin multiplies the expected wait when it is compared with the objective or deadline, for
	// a workspace that wants more than its share. Requests of others that arrive later come first, and
	// the limit may fall. With a smaller margin, many requests are accepted that miss their objective and
	// then wait for their deadline in vain; the queue is still long enough to keep all slots in use.
	limitedMargin = 5
	// waitMargin is the same for other requests, which are passed by few.
	waitMargin = 1.5
)

// maxWait bounds an expected wait, so that it can be added to a time.
const maxWait = time.Hour

// minRate keeps a wait finite, in slots or seconds of work per second.
const minRate = 0.01

// enqueue lets a request wait, or refuses it at once. It may also evict another one. value comes
// back with the decision.
func (p *pool) enqueue(arrived *slipwick.PermitRequest, value any, now time.Time) (*fairqueue.Item, error) {
	r := p.recordOf(arrived, now)
	p.noteArrival(r, arrived, now)
	request := *arrived
	request.Weight = r.localWeight
	item := &fairqueue.Item{
		Request: &request,
		Value: &waiting{
			record: r,
			value:  value,
		},
	}
	expected := p.expectedWait(r, &request, now)
	if reason := p.refusalReason(&request, &expected, now); reason != "" {
		return nil, p.refuse(r, &request, reason, expected.wait, now)
	}
	evicted, ok := p.queue.Push(item, now)
	if !ok {
		return nil, p.refuse(r, &request, "the queue of the pool is full", expected.wait, now)
	}
	r.addWaiting(item)
	p.waitingWork += request.Work
	p.waitingBy[r.priority]++
	if evicted != nil {
		p.refuseWaiting(evicted, "the queue of the pool is full, and others are further below their share", now)
	}
	return item, nil
}

// estimate is an expected wait, and by what it is multiplied when it is compared with the objective or the
// deadline.
type estimate struct {
	wait   time.Duration
	margin float64
}

// expectedWait returns how long a request will wait in the queue and for the limits of operators: in its
// turn, passed by what arrives later with a higher priority, or until the starvation guard serves it.
func (p *pool) expectedWait(r *record, request *slipwick.PermitRequest, now time.Time) estimate {
	left := p.rateLeft(p.arrivals.rate(request.Priority, now))
	expected := estimate{
		wait:   p.queue.ExpectedWait(request, now, left),
		margin: waitMargin,
	}
	if p.isPassedByOthers(r, request) {
		expected.wait = max(expected.wait, p.fairWait(r, now), p.timelyWait(request, left, now))
		expected.margin = limitedMargin
	}
	if request.Priority > p.urgentPriority {
		guarded := estimate{
			wait:   p.guardWait(request, now),
			margin: waitMargin,
		}
		if startAfter(guarded.wait, guarded.margin, now).Before(startAfter(expected.wait, expected.margin, now)) {
			expected = guarded
		}
	}
	if r.allowance != nil {
		r.allowance.refill(now)
		expected.wait = max(expected.wait, r.allowance.wait(r.waitingWork+request.Work))
	}
	return expected
}

// guardWait returns how long a request waits at most for the starvation guard, which gives the lower
// priorities a part of the work, the oldest request first, whatever arrives later.
func (p *pool) guardWait(request *slipwick.PermitRequest, now time.Time) time.Duration {
	wait := p.queue.WorkFrom(request.Priority, now) / (guardShare * p.rate())
	return time.Duration(min(wait, maxWait.Seconds()) * float64(time.Second))
}

// isPassedByOthers reports whether requests of other workspaces that arrive later will be served first:
// whether the workspace wants more than its share, or nothing is known of the shares.
func (p *pool) isPassedByOthers(r *record, request *slipwick.PermitRequest) bool {
	if r.claim == nil {
		return !p.hasShares
	}
	return r.claim.isLimited() && !request.Returning
}

// timelyWait returns how long a request would wait that comes after all others of its priority that can
// meet their objective. A request that passes others delays these, so that requests that already wait
// would miss their objective if each were accepted by its own place in the queue alone.
func (p *pool) timelyWait(request *slipwick.PermitRequest, slots float64, now time.Time) time.Duration {
	p.last = *request
	p.last.Retry = true
	p.last.Deadline = time.Time{}
	return p.queue.ExpectedWait(&p.last, now, slots)
}

// expectedLateWait returns how long a request will wait that can't meet its objective and is passed by
// all that can, now and later.
func (p *pool) expectedLateWait(now time.Time) time.Duration {
	wait := p.waitingWork.Seconds() / p.rateLeft(p.arrivals.rate(math.MaxInt, now))
	return time.Duration(min(wait, maxWait.Seconds()) * float64(time.Second))
}

// rateLeft returns the rate that arriving work of a given rate leaves to others, by the starvation guard
// at least.
func (p *pool) rateLeft(arriving float64) float64 {
	return max(p.rate()-arriving, p.rate()*guardShare)
}

// rate returns the seconds of work that this router's slots do in a second: its limit, or what it gets
// with the next updates if the fleet has free slots for all requests that wait.
func (p *pool) rate() float64 {
	return max(p.limit, p.attainable, minRate)
}

// refusalReason returns why a request that has to wait is refused; empty if it may wait. A request that
// can't meet its objective may wait for its deadline.
func (p *pool) refusalReason(request *slipwick.PermitRequest, expected *estimate, now time.Time) string {
	start := startAfter(expected.wait, expected.margin, now)
	if request.Objective.IsZero() || !start.After(request.Objective) {
		if canEnd(request, start) {
			return ""
		}
		return "the request can't be done by its deadline"
	}
	late := max(expected.wait, p.expectedLateWait(now))
	if !request.Deadline.IsZero() && canEnd(request, startAfter(late, limitedMargin, now)) {
		return ""
	}
	return "the response can't begin within its latency objective"
}

// startAfter returns when a request is expected to start at the latest.
func startAfter(wait time.Duration, margin float64, now time.Time) time.Time {
	return now.Add(time.Duration(min(wait.Seconds()*margin, maxWait.Seconds()) * float64(time.Second)))
}

// canEnd reports whether a request that starts at a time can be done by its deadline.
func canEnd(request *slipwick.PermitRequest, start time.Time) bool {
	return request.Deadline.IsZero() || !start.Add(request.Work).After(request.Deadline)
}
