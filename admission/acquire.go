package admission

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// attemptKind distinguishes the attempts of an acquisition: the one at the chat's first choice
// (TRY_HOME), those at other choices (TRY_OTHER), and the last one (TRY_LAST), which may wait in the
// owner's queue until the deadline.
type attemptKind = peerpb.Try

// defaultAcquireTimeout limits how long Acquire waits if the context has no deadline.
const defaultAcquireTimeout = 10 * time.Second

// Acquire asks the owners of the pool's backend servers for a slot, in the order of the chat's
// ranking, until one grants it. The last attempt waits in the owner's queue. Acquire blocks until
// it has a slot, is refused or ctx ends; errors are *slipwick.Error with OutcomeNotRun.
func (c *Coordinator) Acquire(ctx context.Context, request slipwick.AcquireRequest) (slipwick.Grant, error) {
	a, err := c.startAcquire(ctx, request)
	if err != nil {
		return slipwick.Grant{}, err
	}
	select {
	case result := <-a.result:
		return result.grant, result.err
	case <-ctx.Done():
	}
	c.withLock(func() { c.cancelAttempt(a) })
	select {
	case result := <-a.result:
		// The grant arrived while ctx ended.
		return result.grant, result.err
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return slipwick.Grant{}, overloaded(time.Second)
	}
	return slipwick.Grant{}, cancelled(ctx.Err())
}

// startAcquire ranks the backend servers for the request and sends the first attempt.
func (c *Coordinator) startAcquire(ctx context.Context, request slipwick.AcquireRequest) (*acquisition, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool, err := poolOf(c.view, request.Pool)
	if err != nil {
		return nil, err
	}
	a := &acquisition{
		request: request,
		pool:    pool,
		result:  make(chan acquireResult, 1),
	}
	var ok bool
	if a.deadline, ok = ctx.Deadline(); !ok {
		a.deadline = time.Now().Add(defaultAcquireTimeout)
	}
	a.ranking = slices.DeleteFunc(pool.Rank(make([]int, 0, len(pool.Usable)), request.Chat), func(index int) bool {
		return slices.Contains(request.Exclude, pool.Backends[index].ID)
	})
	if len(a.ranking) == 0 {
		return nil, noBackend(pool.Name)
	}
	a.tried = make([]bool, len(a.ranking))
	c.sendAttempt(a, 0, peerpb.Try_TRY_HOME)
	c.flush()
	return a, nil
}

// sendAttempt asks for a slot at a position of the ranking, under a new request ID. It replaces the
// previous attempt, if any.
func (c *Coordinator) sendAttempt(a *acquisition, position int, kind attemptKind) {
	a.stopTimer()
	delete(c.acquisitions, a.id)
	a.id, a.position, a.kind = c.nextID(), position, kind
	a.tried[position] = true
	a.attempts++
	engine := a.engine()
	a.owner = c.view.Owner(engine)
	if a.owner == "" {
		c.grantLocally(a)
		return
	}
	c.acquisitions[a.id] = a
	wait := c.maxQueueTime(a)
	envelope := c.outbox.envelopeFor(a.owner)
	envelope.Requests = append(envelope.Requests, &peerpb.SlotRequest{
		Id:        a.id,
		Engine:    engine,
		Chat:      a.request.Chat,
		Workspace: a.request.Workspace,
		Priority:  uint32(max(a.request.Priority, 0)),
		WaitMs:    uint32(wait.Milliseconds()),
		Try:       kind,
	})
	if a.owner != c.Self {
		c.startOwnerTimer(a, c.Policy.OwnerTimeout)
	}
}

// maxQueueTime returns how long the owner may hold the current attempt in its queue.
func (c *Coordinator) maxQueueTime(a *acquisition) time.Duration {
	wait := max(0, time.Until(a.deadline))
	switch a.kind {
	case peerpb.Try_TRY_HOME:
		return min(wait, c.Policy.FirstChoiceWait)
	case peerpb.Try_TRY_OTHER:
		return min(wait, c.Policy.OtherChoiceWait)
	default:
		return wait
	}
}

// startOwnerTimer makes the acquisition try the next backend server if the owner does not answer the
// current attempt within the limit.
func (c *Coordinator) startOwnerTimer(a *acquisition, limit time.Duration) {
	id := a.id
	a.timer = time.AfterFunc(limit, func() {
		c.withLock(func() {
			if c.acquisitions[id] == a {
				c.releaseAttempt(a)
				c.tryNext(a)
			}
		})
	})
}

// releaseAttempt reports to the owner that the current attempt is over, in case the owner holds it in
// its queue or has granted it.
func (c *Coordinator) releaseAttempt(a *acquisition) {
	c.sendRelease(a.owner, a.engine(), a.id, slipwick.EvidenceNone)
}

// cancelAttempt ends an acquisition whose caller no longer waits, unless it is complete.
func (c *Coordinator) cancelAttempt(a *acquisition) {
	if c.acquisitions[a.id] != a {
		return
	}
	a.stopTimer()
	delete(c.acquisitions, a.id)
	c.releaseAttempt(a)
}

// acceptGrant completes an acquisition with the slot that an owner granted. If the slot is not at
// the chat's first choice, it notifies the owner of that choice, unless that owner named the backend
// server itself.
func (c *Coordinator) acceptGrant(a *acquisition) {
	if a.position != 0 && (!a.redirected || a.position != a.redirectedTo) {
		c.sendPlaced(a)
	}
	c.recordSlot(a, false)
}

// recordSlot stores the slot of the current attempt and returns it to the caller of Acquire. local
// means that no owner granted it.
func (c *Coordinator) recordSlot(a *acquisition, local bool) {
	c.slots[a.id] = &slot{
		engine:    a.engine(),
		workspace: a.request.Workspace,
		since:     time.Now(),
		local:     local,
	}
	a.finish(acquireResult{
		grant: slipwick.Grant{
			ID:      a.id,
			Backend: *a.backend(),
		},
	})
	delete(c.acquisitions, a.id)
}

// fail completes an acquisition with an error.
func (c *Coordinator) fail(a *acquisition, err error) {
	delete(c.acquisitions, a.id)
	a.finish(acquireResult{
		err: err,
	})
}

// finish returns the result to the caller of Acquire.
func (a *acquisition) finish(result acquireResult) {
	a.stopTimer()
	a.result <- result
}

// ownerOf returns the ID of the backend server's owner in the current view, or an empty string if
// there is none.
func (c *Coordinator) ownerOf(engine uint64) string {
	if c.view == nil {
		return ""
	}
	return c.view.Owner(engine)
}
