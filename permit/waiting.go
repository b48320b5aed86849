package permit

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fairqueue"
	"github.com/slipwick/slipwick/permit/permitpb"
)

// anyRequest is one that each server with room may get.
var anyRequest = slipwick.PermitRequest{
	Repeatable: true,
}

// pump grants permits to waiting requests while servers have room.
func (p *pool) pump(now time.Time) {
	if p.queue.Len() == 0 {
		return
	}
	p.refresh(now)
	share := p.share(now)
	eligible := func(item *fairqueue.Item) bool {
		a := item.Value.(*waiter).asker
		return p.hasRoom(item.Request) && p.choose(item.Request, a.dataCentre, share, now) != nil
	}
	for {
		p.crowded = p.queue.Len() > crowdedQueue
		if p.queue.Len() == 0 || p.choose(&anyRequest, "", share, now) == nil {
			return
		}
		item := p.queue.Pop(now, eligible)
		if item == nil {
			return
		}
		w := item.Value.(*waiter)
		delete(w.asker.waiting, w.id)
		p.grant(w, item.Request, p.choose(item.Request, w.asker.dataCentre, share, now), now)
	}
}

// expire ends the wait of requests that will probably not be served in time, or that have used up their
// patience: one that was held beyond its objective is queued with those that can meet theirs, as a refusal
// would come too late; the others are refused.
func (p *pool) expire(now time.Time) {
	for _, item := range p.queue.Expire(now) {
		w, r := item.Value.(*waiter), item.Request
		latest := w.deadline.Add(-r.Work)
		if !w.objective.IsZero() && !w.promoted && now.After(w.objective.Add(r.Work)) && now.Before(latest) {
			w.promoted = true
			r.Objective, r.Deadline = latest, w.deadline
			if _, ok := p.queue.Push(item, now); ok {
				continue
			}
		}
		p.refuseItem(item, permitpb.Reason_REASON_TOO_LATE, now)
	}
}

// refuseItem refuses a request that has left the queue.
func (p *pool) refuseItem(item *fairqueue.Item, reason permitpb.Reason, now time.Time) {
	w := item.Value.(*waiter)
	delete(w.asker.waiting, w.id)
	w.queued = w.queued.Add(-time.Duration((refusedFactor - 1) * float64(now.Sub(w.queued))))
	p.recordWait(w, now)
	p.refuse(w, item.Request, reason, now)
}
