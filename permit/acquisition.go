package permit

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/permit/permitpb"
)

// acquisition is one call of Acquire that waits for the coordinator.
type acquisition struct {
	*waitingRequest
	client *Client
	bound  time.Duration
	// askedAt is when the coordinator was asked last, askAgainAt when it is asked next, and answerBy the
	// time at which the request goes on without it.
	askedAt, askAgainAt, answerBy time.Time
	resendTime                    time.Duration
	queued, granted               bool
}

// untilNext returns the time until the request is repeated or goes on without the coordinator.
func (a *acquisition) untilNext() time.Duration {
	next := a.askAgainAt
	if a.answerBy.Before(next) {
		next = a.answerBy
	}
	return max(clock.Until(next), 0)
}

// ask sends the request to the pool's coordinator. It returns false if the coordinator is known not
// to answer.
func (a *acquisition) ask(now time.Time) bool {
	c := a.client
	_, address := c.fleet().coordinator(a.request.Pool, now)
	c.mu.Lock()
	state := c.coordinatorLocked(address, now)
	if state.down {
		ping := state.takePing(now)
		c.mu.Unlock()
		if ping {
			sendAll(c.Transport, []datagram{c.ping(address)})
		}
		return false
	}
	first := a.coordinator == ""
	if !first && c.waiting[a.id] == nil {
		// The answer has just arrived.
		c.mu.Unlock()
		return true
	}
	if !first && a.coordinator != address {
		// The coordinator has changed: the former one must not grant the permit too.
		c.releaseLocked(a.coordinator, &permitpb.Release{
			Id: a.id,
		})
	}
	c.waiting[a.id] = a.waitingRequest
	a.coordinator, a.askedAt, a.sentAt = address, now, time.Time{}
	if first {
		a.sentAt, a.resendTime = now, state.resendTime()
	}
	a.askAgainAt = now.Add(a.resendTime)
	message := a.message(now, state.usualRoundTrip())
	c.mu.Unlock()
	sendAll(c.Transport, []datagram{{
		address: address,
		packet: &permitpb.Packet{
			Run:  c.run,
			Asks: []*permitpb.Ask{message},
		},
	}})
	return true
}

// message returns the request as the coordinator needs it. The time that it and the answer are under
// way is taken from the times that are left.
func (a *acquisition) message(now time.Time, roundTrip time.Duration) *permitpb.Ask {
	r := a.request
	now = now.Add(roundTrip)
	return &permitpb.Ask{
		Id:          a.id,
		Pool:        r.Pool,
		Workspace:   r.Workspace,
		Weight:      r.Weight,
		MaxInFlight: uint32(max(r.MaxInFlight, 0)),
		MaxWork:     r.MaxWork,
		Priority:    uint32(max(r.Priority, 0)),
		WorkUs:      uint32(min(max(r.Work, 0), maxLease) / time.Microsecond),
		ObjectiveMs: timeLeft(r.Objective, now),
		DeadlineMs:  timeLeft(r.Deadline, now),
		Returning:   r.Returning,
		Retry:       r.Retry,
		Exclude:     r.Exclude,
		Repeatable:  r.Repeatable,
	}
}

// maxTimeLeft bounds the time left in an ask: the gateway caps callers' time limits to a day.
const maxTimeLeft = 24 * time.Hour

// timeLeft returns the milliseconds until a time, at least 1; 0 for the zero time.
func timeLeft(t, now time.Time) uint32 {
	if t.IsZero() {
		return 0
	}
	return max(uint32(min(max(t.Sub(now), 0), maxTimeLeft)/time.Millisecond), 1)
}

// confirm notes that the request is queued. It returns false if this router may not queue it.
func (a *acquisition) confirm(answer *permitpb.Answer) bool {
	now := clock.Now()
	a.pool.recordPressure(now)
	if !a.queued && !a.pool.addQueued(a.request.MaxQueued) {
		return false
	}
	a.queued = true
	valid := min(time.Duration(answer.WaitMs)*time.Millisecond, maxBound)
	if left := a.request.Objective.Sub(now); left > 0 {
		valid = min(valid, time.Duration(confirmationShare*float64(left)))
	}
	a.askAgainAt = now.Add(max(valid, a.bound))
	a.answerBy = a.askAgainAt.Add(a.bound)
	return true
}

// retry repeats the request. It returns false if the request has to go on without the coordinator.
func (a *acquisition) retry() bool {
	now := clock.Now()
	if !now.Before(a.answerBy) {
		a.client.mu.Lock()
		a.client.coordinatorLocked(a.coordinator, now).recordSilence(a.bound, now)
		a.client.mu.Unlock()
		return false
	}
	if now.Before(a.askAgainAt) {
		return true
	}
	// A confirmed request is asked for again at intervals, so that the time is bounded.
	a.resendTime = min(2*a.resendTime, a.bound)
	return a.ask(now)
}

// finish returns the result that the coordinator decided.
func (a *acquisition) finish(answer *permitpb.Answer) (slipwick.Permit, error) {
	c := a.client
	switch answer.Verdict {
	case permitpb.Verdict_VERDICT_GRANTED:
		a.granted = true
		if a.queued {
			c.Decisions.GrantedAfterWait.Add(1)
		} else {
			c.Decisions.Granted.Add(1)
		}
		return slipwick.Permit{
			Pool:           a.request.Pool,
			Backend:        answer.Backend,
			ID:             a.id,
			Probe:          answer.Probe,
			IgnoreEjection: answer.IgnoreEjection,
		}, nil
	case permitpb.Verdict_VERDICT_NO_SERVER:
		c.Decisions.Unserved.Add(1)
		return slipwick.Permit{}, nil
	default:
		a.pool.recordPressure(clock.Now())
		c.Decisions.recordRefusal(answer.Reason)
		after := time.Duration(answer.WaitMs) * time.Millisecond
		return slipwick.Permit{}, refusal(a.request.Pool, reasonText(answer.Reason), after)
	}
}

// decideLocally grants the request within this router's part of the pool's rate, or refuses it.
func (a *acquisition) decideLocally() (slipwick.Permit, error) {
	c, now := a.client, clock.Now()
	if !a.pool.hasServers() {
		c.Decisions.Unserved.Add(1)
		return slipwick.Permit{}, nil
	}
	ok, after := a.pool.allowLocal(c.fleet().size(now), a.request.Work, now)
	if !ok {
		c.Decisions.LocalRefused.Add(1)
		a.pool.recordPressure(now)
		return slipwick.Permit{}, refusal(a.request.Pool, "its coordinator does not answer, and this router's part is used",
			spread(after))
	}
	c.Decisions.LocalGranted.Add(1)
	// The ID differs from the one that the coordinator was asked with, which end releases.
	id := c.lastID.Add(1)
	c.mu.Lock()
	c.held[id] = &heldPermit{
		pool:    a.pool,
		granted: now,
	}
	c.mu.Unlock()
	return slipwick.Permit{
		Pool: a.request.Pool,
		ID:   id,
	}, nil
}

// end removes the request from those that wait, and tells the coordinator if it wasn't decided there or
// if the permit arrived too late.
func (a *acquisition) end() {
	if a.queued {
		a.pool.removeQueued()
	}
	c := a.client
	c.mu.Lock()
	defer c.mu.Unlock()
	_, undecided := c.waiting[a.id]
	_, granted := c.held[a.id]
	if undecided || (granted && !a.granted) {
		delete(c.waiting, a.id)
		delete(c.held, a.id)
		c.releaseLocked(a.coordinator, &permitpb.Release{
			Id: a.id,
		})
	}
}
