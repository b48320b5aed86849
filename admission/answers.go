package admission

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// onAnswer handles an owner's answer to an attempt.
func (c *Coordinator) onAnswer(from string, answer *peerpb.SlotAnswer) {
	a := c.acquisitions[answer.GetId()]
	if a == nil || a.owner != from {
		c.releaseLateGrant(from, answer)
		return
	}
	a.stopTimer()
	switch answer.GetDecision() {
	case peerpb.Decision_DECISION_GRANTED:
		a.answered = true
		c.acceptGrant(a)
	case peerpb.Decision_DECISION_HELD:
		a.answered = true
		if a.owner != c.Self {
			c.startOwnerTimer(a, c.maxQueueTime(a)+c.Policy.OwnerTimeout)
		}
	case peerpb.Decision_DECISION_MOVE_ON:
		a.answered = true
		c.redirect(a, answer.GetEngine())
	case peerpb.Decision_DECISION_REFUSED:
		c.fail(a, refusal(answer))
	default:
		c.tryNext(a)
	}
}

// releaseLateGrant releases a slot that was granted to an attempt that is already over.
func (c *Coordinator) releaseLateGrant(from string, answer *peerpb.SlotAnswer) {
	if answer.GetDecision() != peerpb.Decision_DECISION_GRANTED || c.slots[answer.GetId()] != nil {
		return
	}
	c.sendRelease(from, answer.GetEngine(), answer.GetId(), slipwick.EvidenceNone)
}

// redirect sends the next attempt to the backend server that the owner names or, if it names none,
// to the next one of the ranking. Only the first redirection is followed.
func (c *Coordinator) redirect(a *acquisition, engine uint64) {
	position := -1
	if engine != 0 && !a.redirected {
		position = a.positionOf(engine)
	}
	if position < 0 {
		c.tryNext(a)
		return
	}
	a.redirected, a.redirectedTo = true, position
	// The first choice may be asked again if the redirection fails.
	a.tried[a.position] = false
	c.sendAttempt(a, position, peerpb.Try_TRY_OTHER)
}

// tryNext asks for a slot at the next backend server. If none is left, or MaxAttempts is reached, it
// makes the last attempt, in which the request waits in one owner's queue. If no owner has answered
// at all, or the last attempt failed too, the slot is granted locally.
func (c *Coordinator) tryNext(a *acquisition) {
	if a.kind == peerpb.Try_TRY_LAST {
		c.grantLocally(a)
		return
	}
	next := c.nextUntried(a)
	if next >= 0 && a.attempts < c.Policy.MaxAttempts {
		c.sendAttempt(a, next, peerpb.Try_TRY_OTHER)
		return
	}
	if a.answered {
		c.sendAttempt(a, c.waitPosition(a), peerpb.Try_TRY_LAST)
		return
	}
	c.grantLocally(a)
}

// nextUntried returns the best position of the ranking that was not tried and that is usable
// according to the current view, or -1.
func (c *Coordinator) nextUntried(a *acquisition) int {
	for position, tried := range a.tried {
		if !tried && c.isUsable(a, position) {
			return position
		}
	}
	return -1
}

// isUsable reports whether the backend server at the position may get new requests according to the
// current view.
func (c *Coordinator) isUsable(a *acquisition, position int) bool {
	location, ok := c.view.Locate(hashOf(&a.pool.Backends[a.ranking[position]]))
	return ok && location.IsUsable()
}

// waitPosition returns the position at which the request waits: the first choice or, if that is not
// usable, the next one that is.
func (c *Coordinator) waitPosition(a *acquisition) int {
	for position := range a.ranking {
		if c.isUsable(a, position) {
			return position
		}
	}
	return 0
}

// grantLocally grants a slot without asking an owner, since none could be reached or there is none.
// To stay below the limit it grants only one slot at a time for each backend server; beyond that the
// request is refused.
func (c *Coordinator) grantLocally(a *acquisition) {
	taken := make(map[uint64]bool)
	for _, s := range c.slots {
		if s.local {
			taken[s.engine] = true
		}
	}
	for position := range a.ranking {
		a.position = position
		if !taken[a.engine()] && c.isUsable(a, position) {
			c.recordSlot(a, true)
			id := a.id
			// The renewal reports the slot to the owner, if the owner can be reached.
			c.renewSlots(func(s *slot) bool { return s == c.slots[id] })
			return
		}
	}
	c.fail(a, overloaded(time.Second))
}
