package fairqueue

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/slipwick/slipwick"
)

// Queue holds the requests that wait for one pool. It is not safe for concurrent use.
type Queue struct {
	limits Limits
	// levels is sorted by priority, the most urgent first, and has only levels with requests.
	levels  []*level
	guard   guard
	history history
	// served is the work served so far, in seconds.
	served float64
	// slots has the rate of service, in slots, that ExpectedWait was told last for each priority, since urgent
	// requests may use slots that others may not, and lastSlots that for any; 0 before that.
	slots     map[int]float64
	lastSlots float64
	sequence  uint64
	bytes     int64
	// objectives has the items that can meet their objective, expiries those that have a deadline.
	objectives, expiries itemHeap
	length               int
}

// Unbounded is the expected wait while nothing is served.
const Unbounded = time.Duration(math.MaxInt64)

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{
		limits: limits,
		slots:  make(map[int]float64),
		objectives: itemHeap{
			which: heapObjective,
			key:   func(i *Item) time.Time { return i.Request.Objective },
		},
		expiries: itemHeap{
			which: heapExpiry,
			key:   func(i *Item) time.Time { return i.expiry },
		},
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.length
}

// Bytes returns the memory that the waiting requests hold.
func (q *Queue) Bytes() int64 {
	return q.bytes
}

// Push adds an item. If the queue is full, it evicts the newest request of the workspace that is
// furthest above its share, of the lowest priority, and returns it. ok is false if that is the item
// itself, which is then not added, or if it is in a queue already. One item at most is evicted: a
// request that needs the bytes of several is not added.
func (q *Queue) Push(item *Item, now time.Time) (evicted *Item, ok bool) {
	if item.level != nil {
		return nil, false
	}
	request := item.Request
	if !q.limits.fits(q.length+1, request.MaxQueued, q.bytes+request.Bytes) {
		if evicted = q.victim(request); evicted == nil {
			return nil, false
		}
		q.Remove(evicted)
	}
	q.insert(item, now)
	return evicted, true
}

// victim returns the item to evict for a request, or nil if the request is the one not to queue.
func (q *Queue) victim(request *slipwick.PermitRequest) *Item {
	if !q.limits.fits(q.length, request.MaxQueued, request.Bytes) || len(q.levels) == 0 {
		return nil
	}
	needed := int64(0)
	if q.limits.MaxBytes > 0 {
		needed = q.bytes + request.Bytes - q.limits.MaxBytes
	}
	lowest := q.levels[len(q.levels)-1]
	switch {
	case lowest.priority < request.Priority:
		return nil
	case lowest.priority > request.Priority:
		request = nil
	}
	furthest := lowest.furthestAbove(request)
	if furthest == nil || (request != nil && furthest.workspace == request.Workspace) {
		return nil
	}
	return lowest.newest(furthest, needed)
}

func (q *Queue) insert(item *Item, now time.Time) {
	q.sequence++
	item.sequence = q.sequence
	item.class = classOf(item.Request, now)
	q.levelOf(item.Request.Priority).insert(item, now, q.served)
	q.length++
	q.bytes += item.Request.Bytes
	item.positions = [heaps]int{notInHeap, notInHeap}
	if item.class != classLate && !item.Request.Objective.IsZero() {
		heap.Push(&q.objectives, item)
	}
	if item.expiry = latestStart(item.Request); !item.expiry.IsZero() {
		heap.Push(&q.expiries, item)
	}
}

// levelOf returns the level of a priority, and adds it if it doesn't exist.
func (q *Queue) levelOf(priority int) *level {
	index, found := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int {
		return cmp.Compare(l.priority, p)
	})
	if !found {
		q.levels = slices.Insert(q.levels, index, newLevel(priority))
	}
	return q.levels[index]
}

// Remove removes an item, as when its caller disconnects. It reports whether the item was in the
// queue.
func (q *Queue) Remove(item *Item) bool {
	l := item.level
	if l == nil {
		return false
	}
	l.remove(item)
	q.forget(item, l)
	return true
}

// forget removes an item that has left its level from the counts and heaps.
func (q *Queue) forget(item *Item, l *level) {
	if l.len() == 0 {
		q.levels = slices.DeleteFunc(q.levels, func(other *level) bool { return other == l })
	}
	if q.length--; q.length == 0 {
		q.history = history{}
	}
	q.bytes -= item.Request.Bytes
	for _, h := range []*itemHeap{&q.objectives, &q.expiries} {
		if position := item.positions[h.which]; position != notInHeap {
			heap.Remove(h, position)
		}
	}
}

// Pop removes and returns the eligible item that is served next, or nil. It passes over requests that
// can't be served by their deadline any more; Expire returns these. eligible may be nil. It is called
// for each waiting item that would come first.
func (q *Queue) Pop(now time.Time, eligible func(*Item) bool) *Item {
	q.moveLate(now)
	accept := func(i *Item) bool { return !i.isExpired(now) && (eligible == nil || eligible(i)) }
	item := q.next(accept)
	if item == nil {
		return nil
	}
	starved := q.starved(item, accept)
	q.guard.record(workOf(cmp.Or(starved, item).Request), starved != nil, q.waitsBelow(item.level))
	item = cmp.Or(starved, item)
	q.serve(item, now)
	return item
}

// serve removes an item that is served and records its work.
func (q *Queue) serve(item *Item, now time.Time) {
	l, work := item.level, workOf(item.Request)
	q.history.decay(now)
	q.served += work
	l.serve(item)
	q.forget(item, l)
	q.history.record(l.priority, item.class == classLate, work)
}

// next returns the accepted item that comes first without regard to starvation.
func (q *Queue) next(accept func(*Item) bool) *Item {
	for _, l := range q.levels {
		if item := l.nextTimely(accept); item != nil {
			return item
		}
	}
	for _, l := range q.levels {
		if item := l.next((*account).late, accept); item != nil {
			return item
		}
	}
	return nil
}

// starved returns the oldest accepted item of a priority below that of the item that would be served,
// if the guard has credit for it. Items that can meet their objective come first.
func (q *Queue) starved(served *Item, accept func(*Item) bool) *Item {
	if q.guard.credit <= 0 {
		return nil
	}
	var timely, late *Item
	for _, l := range q.levels {
		if l.priority > served.level.priority {
			timely = older(timely, l.timely.first(accept))
			late = older(late, l.late.first(accept))
		}
	}
	if timely == nil && served.class != classLate {
		// Late requests come after all that can meet their objective, also for the guard.
		return nil
	}
	return cmp.Or(timely, late)
}

// older returns the item that arrived first; either may be nil.
func older(a, b *Item) *Item {
	if a == nil || (b != nil && byArrival(b, a) < 0) {
		return b
	}
	return a
}

// waitsBelow reports whether requests of lower priorities wait.
func (q *Queue) waitsBelow(l *level) bool {
	return len(q.levels) > 0 && q.levels[len(q.levels)-1].priority > l.priority
}

// moveLate moves the items that can't meet their objective any more behind those that can.
func (q *Queue) moveLate(now time.Time) {
	for q.objectives.Len() > 0 && now.After(q.objectives.items[0].Request.Objective) {
		item := heap.Pop(&q.objectives).(*Item)
		l := item.level
		l.remove(item)
		item.class = classLate
		l.insert(item, now, q.served)
		q.checkHope(item, now)
	}
}

// checkHope lets an item expire that has become late and will probably not be served by its deadline,
// as others that can meet their objective keep arriving: it must not wait only to be refused later.
func (q *Queue) checkHope(item *Item, now time.Time) {
	slots, isTold := q.slots[item.Request.Priority]
	if !isTold {
		slots = q.lastSlots
	}
	if slots <= 0 || item.expiry.IsZero() {
		return
	}
	if wait := q.expectedWait(item.Request, classLate, slots, now); wait > item.expiry.Sub(now) {
		item.expiry = item.Request.Objective
		heap.Fix(&q.expiries, item.positions[heapExpiry])
	}
}

// WorkFrom returns the work, in seconds, of the waiting requests of a priority and those below it that can
// meet their objective: what the starvation guard has to serve before a new request of the priority.
func (q *Queue) WorkFrom(priority int, now time.Time) float64 {
	q.moveLate(now)
	work := 0.0
	for _, l := range q.levels {
		if l.priority >= priority {
			work += l.timely.work
		}
	}
	return work
}

// Expire removes and returns the requests that can't be served by their deadline any more, and those
// that have become late and probably won't be.
func (q *Queue) Expire(now time.Time) []*Item {
	q.moveLate(now)
	var expired []*Item
	for q.expiries.Len() > 0 && now.After(q.expiries.items[0].expiry) {
		item := q.expiries.items[0]
		q.Remove(item)
		expired = append(expired, item)
	}
	return expired
}

// ExpectedWait returns how long a request that arrives now would wait: the work that comes before it,
// divided by the slots, which is the slot-seconds of work served per second. It assumes that as much
// keeps arriving ahead of it as was served lately. It is Unbounded if there are no slots.
func (q *Queue) ExpectedWait(request *slipwick.PermitRequest, now time.Time, slots float64) time.Duration {
	q.slots[request.Priority], q.lastSlots = slots, slots
	if slots <= 0 {
		return Unbounded
	}
	q.moveLate(now)
	return q.expectedWait(request, classOf(request, now), slots, now)
}

func (q *Queue) expectedWait(request *slipwick.PermitRequest, c class, slots float64, now time.Time) time.Duration {
	if q.length == 0 {
		return 0
	}
	q.history.decay(now)
	work, fair, lowerWaits := 0.0, 0.0, false
	for _, l := range q.levels {
		switch {
		case l.priority < request.Priority:
			work += l.work(c)
		case l.priority == request.Priority:
			work += l.workAhead(request, c)
			if c != classLate {
				fair = l.fairWork(request, c, now, q.served)
			}
		default:
			lowerWaits = true
			if c == classLate {
				work += l.timely.work
			}
		}
	}
	if lowerWaits {
		work /= 1 - guardShare
	}
	work = max(work/q.history.shareLeft(request.Priority, c == classLate, slots), fair)
	if wait := work / slots * float64(time.Second); wait < float64(Unbounded) {
		return time.Duration(wait)
	}
	return Unbounded
}
