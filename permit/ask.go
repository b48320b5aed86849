package permit

import (
	"slices"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fairqueue"
	"github.com/slipwick/slipwick/permit/permitpb"
)

const (
	// travelMargin is the time that a grant and the request are under way.
	travelMargin = 8 * time.Millisecond
	// deadlineMargin is how much longer than its request's deadline a lease lasts.
	deadlineMargin = 20 * time.Millisecond
	// maxLease is how long a lease of a request without a deadline lasts.
	maxLease = time.Minute
	// waitShare is the part of the time to the objective that the expected wait of a request may take, and of
	// the time to its latest start that the expected wait of a late request may take. The estimates of the
	// work are inexact: with 0.75 every twentieth response was late.
	waitShare = 0.5
	// patience is the part of the time to its deadline after which a late request that still waits is queued
	// with those that can meet their objective.
	patience = 0.5
)

// askLocked handles an ask. One that was received before is answered as the first time.
func (c *Coordinator) askLocked(a *asker, ask *permitpb.Ask, now time.Time) {
	if d, ok := a.decided[ask.Id]; ok {
		c.repeatLocked(a, d)
		return
	}
	if l := a.leases[ask.Id]; l != nil {
		l.pool.answer(&waiter{
			asker: a,
		}, l.answer())
		return
	}
	p := c.poolLocked(ask.Pool, now)
	if item := a.waiting[ask.Id]; item != nil {
		p.confirm(item, now)
		return
	}
	request := requestOf(ask, p.usualWork(), now)
	p.admit(&waiter{
		asker:    a,
		id:       ask.Id,
		pool:     p,
		deadline: request.Deadline,
	}, request, now)
}

// repeatLocked answers an ask for a request that was decided before.
func (c *Coordinator) repeatLocked(a *asker, d decision) {
	if d.answer == nil {
		return
	}
	packet := c.out.packet(a.address, a.run)
	packet.Answers = append(packet.Answers, d.answer)
}

func (c *Coordinator) poolLocked(name string, now time.Time) *pool {
	p := c.pools[name]
	if p == nil {
		p = newPool(c, name, now)
		c.pools[name] = p
	}
	p.usedAt = now
	p.refresh(now)
	return p
}

// usualWork is taken for the work of requests without an estimate.
func (p *pool) usualWork() time.Duration {
	return time.Duration(p.held.or(initialHeld.Seconds()) * float64(time.Second))
}

// requestOf returns the request of an ask. Its Objective is the latest time for the grant with which the
// response can begin in time.
func requestOf(ask *permitpb.Ask, usualWork time.Duration, now time.Time) *slipwick.PermitRequest {
	r := &slipwick.PermitRequest{
		Pool:        ask.Pool,
		Workspace:   ask.Workspace,
		Weight:      ask.Weight,
		MaxInFlight: int(ask.MaxInFlight),
		MaxWork:     ask.MaxWork,
		Priority:    int(ask.Priority),
		Work:        time.Duration(ask.WorkUs) * time.Microsecond,
		Arrived:     now,
		Deadline:    now.Add(maxLease),
		Returning:   ask.Returning,
		Retry:       ask.Retry,
		Exclude:     ask.Exclude,
		Repeatable:  ask.Repeatable,
	}
	if r.Work <= 0 {
		r.Work = usualWork
	}
	if ask.ObjectiveMs > 0 {
		r.Objective = now.Add(time.Duration(ask.ObjectiveMs)*time.Millisecond - travelMargin)
	}
	if ask.DeadlineMs > 0 {
		r.Deadline = now.Add(time.Duration(ask.DeadlineMs) * time.Millisecond)
	}
	return r
}

// admit grants, queues or refuses a new request.
func (p *pool) admit(w *waiter, request *slipwick.PermitRequest, now time.Time) {
	if p.excludesAll(request) {
		// The router's balancer may send it to a server that is ejected.
		p.decide(w, &permitpb.Answer{
			Id:      w.id,
			Verdict: permitpb.Verdict_VERDICT_NO_SERVER,
		}, now)
		return
	}
	share := p.share(now)
	free := p.hasRoom(request) && p.choose(request, w.asker.dataCentre, share, now) != nil
	switch {
	case !free && !p.fits(request, share, now) && !p.makeLate(request, share, now):
		p.refuse(w, request, permitpb.Reason_REASON_TOO_LATE, now)
		return
	case !p.takeWork(request, now):
		p.refuse(w, request, permitpb.Reason_REASON_WORK_LIMIT, now)
		return
	}
	p.enqueue(w, request, now)
}

func (p *pool) enqueue(w *waiter, request *slipwick.PermitRequest, now time.Time) {
	// The queue returns a request that has used up its patience. The work has no part in it, so that requests
	// with equal deadlines stay in the order of their arrival.
	patient := now.Add(time.Duration(patience * float64(request.Deadline.Sub(now))))
	if !request.Objective.IsZero() && patient.Add(-request.Work).After(request.Objective) {
		request.Deadline = patient
	}
	item := &fairqueue.Item{
		Request: request,
		Value:   w,
	}
	w.objective, w.class = request.Objective, classOf(request, now)
	w.expected = p.queueWait(request, p.share(now), now)
	evicted, ok := p.queue.Push(item, now)
	if !ok {
		p.refuse(w, request, permitpb.Reason_REASON_QUEUE_FULL, now)
		return
	}
	if evicted != nil {
		p.refuseItem(evicted, permitpb.Reason_REASON_QUEUE_FULL, now)
	}
	w.asker.waiting[w.id] = item
	w.queued = now
	p.pump(now)
	if w.asker.waiting[w.id] == item {
		p.confirm(item, now)
	}
}

// confirm tells the router that its request waits, and for how long probably.
func (p *pool) confirm(item *fairqueue.Item, now time.Time) {
	w := item.Value.(*waiter)
	p.answer(w, &permitpb.Answer{
		Id:      w.id,
		Verdict: permitpb.Verdict_VERDICT_QUEUED,
		WaitMs:  milliseconds(p.expectedWait(item.Request, p.share(now), now)),
	})
}

// excludesAll reports whether no usable server may get the request. A suspected server counts only for requests
// that may be repeated: it may be suspected until after the deadline of others.
func (p *pool) excludesAll(request *slipwick.PermitRequest) bool {
	for _, s := range p.order {
		if !slices.Contains(request.Exclude, s.ID) && (request.Repeatable || !p.isSuspected(s)) {
			return false
		}
	}
	return true
}

// expectedWait returns for how long the request would wait for those ahead of it, and for those that come
// later and overtake it.
func (p *pool) expectedWait(request *slipwick.PermitRequest, share float64, now time.Time) time.Duration {
	wait := float64(p.queueWait(request, share, now)) * p.overtaking.factor(classOf(request, now), now)
	return time.Duration(min(wait, float64(maxLease)))
}

func classOf(request *slipwick.PermitRequest, now time.Time) waitClass {
	return waitClass{
		workspace: request.Workspace,
		priority:  request.Priority,
		late:      !request.Objective.IsZero() && now.After(request.Objective),
	}
}

// queueWait returns for how long the request would wait for those ahead of it.
func (p *pool) queueWait(request *slipwick.PermitRequest, share float64, now time.Time) time.Duration {
	return p.queue.ExpectedWait(request, now, p.rate(share, now))
}

// fits reports whether the request will probably be granted within its objective or, without one, by its
// deadline.
func (p *pool) fits(request *slipwick.PermitRequest, share float64, now time.Time) bool {
	wait := p.expectedWait(request, share, now)
	if request.Objective.IsZero() {
		return wait <= request.Deadline.Add(-request.Work).Sub(now)
	}
	return wait <= time.Duration(waitShare*float64(request.Objective.Sub(now)))
}

// makeLate turns a request that can't meet its objective into a late one, which comes after all that can
// meet theirs. It returns false if the request will probably not be granted by its deadline.
func (p *pool) makeLate(request *slipwick.PermitRequest, share float64, now time.Time) bool {
	late := *request
	late.Objective = now.Add(-time.Nanosecond)
	left := request.Deadline.Add(-request.Work).Sub(now)
	if p.expectedWait(&late, share, now) > time.Duration(waitShare*float64(left)) {
		return false
	}
	*request = late
	return true
}

// refuse tells the router that the request is refused, and after which time its caller should return.
func (p *pool) refuse(w *waiter, request *slipwick.PermitRequest, reason permitpb.Reason, now time.Time) {
	share := p.share(now)
	after := p.backlog.plan(request.Work, p.expectedWait(request, share, now), p.rate(share, now), now)
	p.decide(w, &permitpb.Answer{
		Id:      w.id,
		Verdict: permitpb.Verdict_VERDICT_REFUSED,
		WaitMs:  milliseconds(after),
		Reason:  reason,
	}, now)
}

// decide sends the last answer for a request that gets no permit, and remembers it.
func (p *pool) decide(w *waiter, answer *permitpb.Answer, now time.Time) {
	w.asker.decided[w.id] = decision{
		at:     now,
		answer: answer,
	}
	p.answer(w, answer)
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0), maxLease) / time.Millisecond)
}
