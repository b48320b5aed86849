package permit

import (
	"slices"
	"time"

	"github.com/slipwick/slipwick/fairqueue"
	"github.com/slipwick/slipwick/permit/permitpb"
)

// pump grants permits to waiting requests while servers have room.
func (p *pool) pump(now time.Time) {
	if p.waiting() == 0 {
		return
	}
	p.refresh(now)
	share := p.share(now)
	eligible := func(item *fairqueue.Item) bool {
		a := item.Value.(*waiter).asker
		return p.hasRoom(item.Request) && p.choose(item.Request.Exclude, a.dataCentre, share, now) != nil
	}
	for {
		p.crowded = p.waiting() > crowdedQueue
		if p.waiting() == 0 || p.choose(nil, "", share, now) == nil {
			return
		}
		item := p.next(eligible, now)
		if item == nil {
			return
		}
		w := item.Value.(*waiter)
		delete(w.asker.waiting, w.id)
		p.grant(w, item.Request, p.choose(item.Request.Exclude, w.asker.dataCentre, share, now), now)
	}
}

// waiting returns the number of waiting requests.
func (p *pool) waiting() int {
	return p.queue.Len() + len(p.overdue)
}

// next removes and returns the eligible request that is served next, or nil.
func (p *pool) next(eligible func(*fairqueue.Item) bool, now time.Time) *fairqueue.Item {
	if i := slices.IndexFunc(p.overdue, eligible); i >= 0 {
		item := p.overdue[i]
		p.overdue = slices.Delete(p.overdue, i, i+1)
		return item
	}
	return p.queue.Pop(now, eligible)
}

// remove removes a waiting request.
func (p *pool) remove(item *fairqueue.Item) {
	if !p.queue.Remove(item) {
		p.overdue = slices.DeleteFunc(p.overdue, func(other *fairqueue.Item) bool { return other == item })
	}
}

// expire refuses waiting requests that can't be served in time any more.
func (p *pool) expire(now time.Time) {
	for _, item := range p.queue.Expire(now) {
		p.refuseItem(item, permitpb.Reason_REASON_TOO_LATE, now)
	}
	for _, item := range slices.Clone(p.overdue) {
		if now.After(item.Request.Deadline) {
			p.remove(item)
			p.refuseItem(item, permitpb.Reason_REASON_TOO_LATE, now)
		}
	}
	for _, item := range p.late(now) {
		p.remove(item)
		if r := item.Request; now.After(r.Objective.Add(r.Work)) {
			p.overdue = append(p.overdue, item)
			continue
		}
		p.refuseItem(item, permitpb.Reason_REASON_TOO_LATE, now)
	}
}

// late returns the waiting requests that can no longer meet their objective, if the pool is overloaded:
// requests that can meet theirs will stay ahead of them.
func (p *pool) late(now time.Time) []*fairqueue.Item {
	if !p.isOverloaded(now) {
		return nil
	}
	var late []*fairqueue.Item
	for _, a := range p.coordinator.askers {
		for _, item := range a.waiting {
			objective := item.Request.Objective
			if item.Value.(*waiter).pool == p && !objective.IsZero() && now.After(objective) &&
				!slices.Contains(p.overdue, item) {
				late = append(late, item)
			}
		}
	}
	return late
}

// refuseItem refuses a request that has left the queue.
func (p *pool) refuseItem(item *fairqueue.Item, reason permitpb.Reason, now time.Time) {
	w := item.Value.(*waiter)
	delete(w.asker.waiting, w.id)
	waited := time.Duration(refusedFactor * float64(now.Sub(w.queued)))
	p.overtaking.record(classOf(item.Request), w.expected, waited)
	p.refuse(w, item.Request, reason, now)
}
