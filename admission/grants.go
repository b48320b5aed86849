package admission

import (
	"math"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// hashOf returns the hash that identifies the backend server in messages.
func hashOf(backend *slipwick.Backend) uint64 {
	return placement.IDHash(backend.ID)
}

// onRequest decides on a router's request for a slot of an owned backend server: it grants, queues,
// redirects or refuses it.
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
		c.sendAnswer(key, peerpb.Decision_DECISION_NOT_OWNER, 0)
		return
	case granted:
		// The request is a duplicate.
		c.sendAnswer(key, peerpb.Decision_DECISION_GRANTED, o.engine)
		return
	case o.queue.indexOf(key) >= 0:
		return
	}
	now := time.Now()
	mayGrant := c.mayGrant(o)
	if mayGrant && o.queue.len() == 0 && c.hasHeadroom(o, request.GetWorkspace(), now) {
		c.grant(o, key, request, now)
		return
	}
	if target, ok := c.redirectTarget(o, request); ok {
		c.sendAnswer(key, peerpb.Decision_DECISION_MOVE_ON, target)
		return
	}
	if pause := o.pausedUntil.Sub(now); pause > 0 {
		// On its last attempt the request is refused with the time after which to try again.
		c.decline(o, key, request, pause)
		return
	}
	if !mayGrant {
		c.sendAnswer(key, peerpb.Decision_DECISION_MOVE_ON, 0)
		return
	}
	c.enqueue(o, key, request, now)
}

// redirectTarget returns the backend server that served the chat when this one, its first choice,
// was full: the chat's prefix may be cached there. ok is false if there is none, or if the request
// is not the attempt at the first choice.
func (c *Coordinator) redirectTarget(o *ownedBackend, request *peerpb.SlotRequest) (engine uint64, ok bool) {
	if request.GetTry() != peerpb.Try_TRY_HOME {
		return 0, false
	}
	return c.displacedTo(o.engine, request.GetChat())
}

// mayGrant reports whether the backend server may get new requests at all. An ejected one may only
// if it is the last usable one of the pool in the current view.
func (c *Coordinator) mayGrant(o *ownedBackend) bool {
	if time.Now().Before(o.pausedUntil) {
		return false
	}
	switch o.health.state {
	case HealthLeaving:
		return false
	case HealthGood:
		return true
	default:
		location, ok := c.view.Locate(o.engine)
		return ok && location.IsUsable() && len(location.Pool.Usable) == 1
	}
}

// hasHeadroom reports whether a slot may be granted to the workspace now.
func (c *Coordinator) hasHeadroom(o *ownedBackend, workspace string, now time.Time) bool {
	return o.headroom(c.slotLimit(o), now) > 0 && !c.atWorkspaceLimit(o, workspace)
}

// slotLimit returns the current limit on the slots of the backend server, before health and
// takeover reduce it.
func (c *Coordinator) slotLimit(o *ownedBackend) int {
	location, ok := c.view.Locate(o.engine)
	if !ok {
		return 0
	}
	return limit(location.Pool, o.backend, c.estimateTotal(o.pool), c.Policy.LimitMargin)
}

// atWorkspaceLimit reports whether the workspace has used up its max_in_flight at the backend
// server. Each backend server enforces its share by weight of the workspace's limit, times the load
// factor, because chats do not spread evenly.
func (c *Coordinator) atWorkspaceLimit(o *ownedBackend, workspace string) bool {
	share := c.Share(workspace)
	if share.MaxInFlight == 0 {
		return false
	}
	location, ok := c.view.Locate(o.engine)
	if !ok || location.Pool.Weight() == 0 {
		return false
	}
	fraction := float64(o.backend.EffectiveWeight()) / location.Pool.Weight()
	maxInFlight := math.Ceil(float64(share.MaxInFlight) * location.Pool.MaxLoadFactor * fraction)
	return o.byWorkspace[workspace] >= int(maxInFlight)
}

// grant grants a slot and answers the request.
func (c *Coordinator) grant(o *ownedBackend, key leaseKey, request *peerpb.SlotRequest, now time.Time) {
	o.addLease(key, request.GetWorkspace(), now.Add(c.Policy.LeaseTime), now.Before(o.windowEnd))
	c.sendAnswer(key, peerpb.Decision_DECISION_GRANTED, o.engine)
	c.scheduleReport(o.pool)
}

// enqueue queues a request. It declines one that may not wait and, on the last attempt, one that is
// not expected to get a slot in time. If the queue is full, it evicts another request or declines
// this one.
func (c *Coordinator) enqueue(o *ownedBackend, key leaseKey, request *peerpb.SlotRequest, now time.Time) {
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	last := request.GetTry() == peerpb.Try_TRY_LAST
	expected := o.expectedWait(now)
	if wait <= 0 || (last && expected > wait) {
		c.decline(o, key, request, expected)
		return
	}
	if o.queue.len() >= c.Policy.QueueLimit {
		victim := o.queue.evictionIndex(request.GetWorkspace(), int(request.GetPriority()), c.workspaceWeight)
		if victim < 0 {
			c.decline(o, key, request, expected)
			return
		}
		evicted := o.queue.remove(victim, false)
		c.decline(o, evicted.key, evicted.request, expected)
	}
	queued := &queuedRequest{
		key:      key,
		request:  request,
		priority: int(request.GetPriority()),
	}
	o.queue.push(queued, c.workspaceWeight(request.GetWorkspace()))
	c.sendAnswer(key, peerpb.Decision_DECISION_HELD, 0)
	time.AfterFunc(wait, func() { c.withLock(func() { c.expireQueued(o, queued) }) })
	c.scheduleReport(o.pool)
	c.grantQueued(o)
}

// workspaceWeight returns the weight of the workspace in the queue.
func (c *Coordinator) workspaceWeight(workspace string) uint32 {
	return c.Share(workspace).Weight
}

// decline answers a request that is not queued, or no longer: it sends the router elsewhere or,
// on the last attempt, refuses the request.
func (c *Coordinator) decline(o *ownedBackend, key leaseKey, request *peerpb.SlotRequest, retryAfter time.Duration) {
	if request.GetTry() != peerpb.Try_TRY_LAST {
		c.sendAnswer(key, peerpb.Decision_DECISION_MOVE_ON, 0)
		return
	}
	envelope := c.outbox.envelopeFor(key.router)
	envelope.Answers = append(envelope.Answers, &peerpb.SlotAnswer{
		Id:             key.id,
		Decision:       peerpb.Decision_DECISION_REFUSED,
		RetryAfterMs:   uint32(min(retryAfter, maxRetryAfter).Milliseconds()),
		WorkspaceLimit: c.atWorkspaceLimit(o, request.GetWorkspace()),
	})
}

// maxRetryAfter limits the time after which a refused caller is asked to try again.
const maxRetryAfter = time.Minute

// expireQueued declines a queued request whose time is over, if it is still queued.
func (c *Coordinator) expireQueued(o *ownedBackend, queued *queuedRequest) {
	index := o.queue.indexOf(queued.key)
	if index < 0 || o.queue.requests[index] != queued {
		return
	}
	o.queue.remove(index, false)
	c.decline(o, queued.key, queued.request, o.expectedWait(time.Now()))
}

// grantQueued grants slots to queued requests, in the queue's order, as far as the limit allows.
func (c *Coordinator) grantQueued(o *ownedBackend) {
	now := time.Now()
	for o.queue.len() > 0 && c.mayGrant(o) && o.headroom(c.slotLimit(o), now) > 0 {
		index := o.queue.next(func(r *queuedRequest) bool {
			return !c.atWorkspaceLimit(o, r.request.GetWorkspace())
		})
		if index < 0 {
			return
		}
		queued := o.queue.remove(index, true)
		c.grant(o, queued.key, queued.request, now)
	}
}

// flushQueue empties the queue and answers all requests with the decision.
func (c *Coordinator) flushQueue(o *ownedBackend, decision peerpb.Decision) {
	for o.queue.len() > 0 {
		c.sendAnswer(o.queue.remove(0, false).key, decision, 0)
	}
}

// sendAnswer answers a request. The engine is zero if the decision names no backend server.
func (c *Coordinator) sendAnswer(key leaseKey, decision peerpb.Decision, engine uint64) {
	envelope := c.outbox.envelopeFor(key.router)
	envelope.Answers = append(envelope.Answers, &peerpb.SlotAnswer{
		Id:       key.id,
		Decision: decision,
		Engine:   engine,
	})
}

// onRelease handles the release of a slot, or of a place in the queue.
func (c *Coordinator) onRelease(from string, release *peerpb.SlotRelease) {
	o := c.owned[release.GetEngine()]
	if o == nil {
		return
	}
	key := leaseKey{
		router: from,
		id:     release.GetId(),
	}
	if index := o.queue.indexOf(key); index >= 0 {
		o.queue.remove(index, false)
	}
	if !o.removeLease(key) {
		return
	}
	o.releases.record(time.Now())
	c.recordEvidence(o, slipwick.Evidence(release.GetEvidence()))
	c.scheduleReport(o.pool)
	c.grantQueued(o)
}

// grantQueuedInPool grants slots to queued requests at all of this router's backend servers of the
// pool.
func (c *Coordinator) grantQueuedInPool(pool string) {
	for _, o := range c.owned {
		if o.pool == pool {
			c.grantQueued(o)
		}
	}
}
