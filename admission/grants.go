package admission

import (
	"math"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

func hashOf(backend *slipwick.Backend) uint64 {
	return placement.IDHash(backend.ID)
}

// onRequest decides on a request for a slot of an owned engine.
func (c *Coordinator) onRequest(from string, request *peerpb.SlotRequest) {
	key := leaseKey{
		router: from,
		id:     request.GetId(),
	}
	granted := false
	o := c.owned[request.GetEngine()]
	if o != nil {
		_, granted = o.leases[key]
	}
	switch {
	case o == nil:
		c.answer(key, peerpb.Decision_DECISION_NOT_OWNER, 0)
		return
	case granted:
		// The request came twice.
		c.answer(key, peerpb.Decision_DECISION_GRANTED, o.engine)
		return
	case o.queue.find(key) >= 0:
		return
	}
	now := time.Now()
	may := c.mayGrant(o)
	if may && o.queue.len() == 0 && c.roomFor(o, request.GetWorkspace(), now) {
		c.grant(o, key, request, now)
		return
	}
	if at, ok := c.hint(o, request); ok {
		c.answer(key, peerpb.Decision_DECISION_MOVE_ON, at)
		return
	}
	if rest := o.restUntil.Sub(now); rest > 0 {
		// Whoever has nowhere else to go is told when to come back.
		c.giveUp(o, key, request, rest)
		return
	}
	if !may {
		c.answer(key, peerpb.Decision_DECISION_MOVE_ON, 0)
		return
	}
	c.enqueue(o, key, request, now)
}

// hint gives the engine that served a chat when this one, its first choice, was
// full before: the chat may have its prefix cached there.
func (c *Coordinator) hint(o *owned, request *peerpb.SlotRequest) (engine uint64, ok bool) {
	if request.GetTry() != peerpb.Try_TRY_HOME {
		return 0, false
	}
	return c.recall(o.engine, request.GetChat())
}

// mayGrant tells whether the engine gets new work at all. An ejected one does
// when the view counts it as usable, because no other is left.
func (c *Coordinator) mayGrant(o *owned) bool {
	if time.Now().Before(o.restUntil) {
		return false
	}
	switch o.health.state {
	case HealthLeaving:
		return false
	case HealthGood:
		return true
	default:
		place, ok := c.view.Place(o.engine)
		return ok && place.MayGetWork() && len(place.Pool.Usable) == 1
	}
}

// roomFor tells whether a slot may be granted to the workspace now.
func (c *Coordinator) roomFor(o *owned, workspace string, now time.Time) bool {
	return o.room(c.bound(o), now) > 0 && !c.atWorkspaceLimit(o, workspace)
}

// bound is the most slots that the engine may have now.
func (c *Coordinator) bound(o *owned) int {
	place, ok := c.view.Place(o.engine)
	if !ok {
		return 0
	}
	return limit(place.Pool, o.backend, c.total(o.pool), c.Policy.Margin)
}

// atWorkspaceLimit keeps a workspace to its engine's part of max_in_flight,
// with the load factor as leeway, as chats do not spread evenly.
func (c *Coordinator) atWorkspaceLimit(o *owned, workspace string) bool {
	share := c.Share(workspace)
	if share.MaxInFlight == 0 {
		return false
	}
	place, ok := c.view.Place(o.engine)
	if !ok || place.Pool.Weight() == 0 {
		return false
	}
	part := float64(o.backend.EffectiveWeight()) / place.Pool.Weight()
	most := math.Ceil(float64(share.MaxInFlight) * place.Pool.MaxLoadFactor * part)
	return o.byWorkspace[workspace] >= int(most)
}

func (c *Coordinator) grant(o *owned, key leaseKey, request *peerpb.SlotRequest, now time.Time) {
	o.add(key, request.GetWorkspace(), now.Add(c.Policy.LeaseTime), now.Before(o.windowEnd))
	c.answer(key, peerpb.Decision_DECISION_GRANTED, o.engine)
	c.changed(o.pool)
}

// enqueue holds a request, or says at once that it can't be served in time.
func (c *Coordinator) enqueue(o *owned, key leaseKey, request *peerpb.SlotRequest, now time.Time) {
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	last := request.GetTry() == peerpb.Try_TRY_LAST
	expected := o.expectedWait(now)
	if wait <= 0 || (last && expected > wait) {
		c.giveUp(o, key, request, expected)
		return
	}
	if o.queue.len() >= c.Policy.QueueLimit {
		victim := o.queue.victim(request.GetWorkspace(), int(request.GetPriority()), c.weight)
		if victim < 0 {
			c.giveUp(o, key, request, expected)
			return
		}
		evicted := o.queue.take(victim, false)
		c.giveUp(o, evicted.key, evicted.request, expected)
	}
	w := &waiting{
		key:      key,
		request:  request,
		priority: int(request.GetPriority()),
		until:    now.Add(wait),
	}
	o.queue.push(w, c.weight(request.GetWorkspace()))
	c.answer(key, peerpb.Decision_DECISION_HELD, 0)
	time.AfterFunc(wait, func() { c.locked(func() { c.timeUp(o, w) }) })
	c.changed(o.pool)
	c.pump(o)
}

func (c *Coordinator) weight(workspace string) uint32 {
	return c.Share(workspace).Weight
}

// giveUp sends a request that is not held on, or refuses it on its last try.
func (c *Coordinator) giveUp(o *owned, key leaseKey, request *peerpb.SlotRequest, expected time.Duration) {
	if request.GetTry() != peerpb.Try_TRY_LAST {
		c.answer(key, peerpb.Decision_DECISION_MOVE_ON, 0)
		return
	}
	envelope := c.outbox.to(key.router)
	envelope.Answers = append(envelope.Answers, &peerpb.SlotAnswer{
		Id:             key.id,
		Decision:       peerpb.Decision_DECISION_REFUSED,
		RetryAfterMs:   uint32(min(expected, maxRetryAfter).Milliseconds()),
		WorkspaceLimit: c.atWorkspaceLimit(o, request.GetWorkspace()),
	})
}

// maxRetryAfter bounds what a refused caller is told to wait.
const maxRetryAfter = time.Minute

// timeUp ends the wait of a held request.
func (c *Coordinator) timeUp(o *owned, w *waiting) {
	index := o.queue.find(w.key)
	if index < 0 || o.queue.held[index] != w {
		return
	}
	o.queue.take(index, false)
	c.giveUp(o, w.key, w.request, o.expectedWait(time.Now()))
}

// pump grants what the bound allows to the requests held, fairest first.
func (c *Coordinator) pump(o *owned) {
	now := time.Now()
	for o.queue.len() > 0 && c.mayGrant(o) && o.room(c.bound(o), now) > 0 {
		index := o.queue.best(func(w *waiting) bool {
			return !c.atWorkspaceLimit(o, w.request.GetWorkspace())
		})
		if index < 0 {
			return
		}
		w := o.queue.take(index, true)
		c.grant(o, w.key, w.request, now)
	}
}

// clearQueue sends all held requests elsewhere.
func (c *Coordinator) clearQueue(o *owned, decision peerpb.Decision) {
	for o.queue.len() > 0 {
		c.answer(o.queue.take(0, false).key, decision, 0)
	}
}

func (c *Coordinator) answer(key leaseKey, decision peerpb.Decision, engine uint64) {
	envelope := c.outbox.to(key.router)
	envelope.Answers = append(envelope.Answers, &peerpb.SlotAnswer{
		Id:       key.id,
		Decision: decision,
		Engine:   engine,
	})
}

// onRelease takes a slot, or a place in the queue, back.
func (c *Coordinator) onRelease(from string, release *peerpb.SlotRelease) {
	o := c.owned[release.GetEngine()]
	if o == nil {
		return
	}
	key := leaseKey{
		router: from,
		id:     release.GetId(),
	}
	if index := o.queue.find(key); index >= 0 {
		o.queue.take(index, false)
	}
	if !o.remove(key) {
		return
	}
	o.pace.release(time.Now())
	c.observe(o, slipwick.Evidence(release.GetEvidence()))
	c.changed(o.pool)
	c.pump(o)
}

// expire drops leases that nobody renewed.
func (c *Coordinator) expire(o *owned, now time.Time) {
	for key, l := range o.leases {
		if now.After(l.expires) {
			o.remove(key)
			c.changed(o.pool)
		}
	}
	c.pump(o)
}
