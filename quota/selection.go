package quota

import (
	"time"

	"github.com/slipwick/slipwick/fairqueue"
)

// selection accepts the requests of workspaces below their part, of the priority whose turn it is. The
// queue offers it requests in the order of service, and after an accepted one those of lower priorities
// that the starvation guard may serve instead.
type selection struct {
	pool *pool
	now  time.Time
	// priority is that of the first request offered, if hasPriority. hasAccepted says that a request of
	// it was accepted.
	priority                 int
	hasPriority, hasAccepted bool
}

func (s *selection) accept(item *fairqueue.Item) bool {
	request := item.Request
	if !s.pool.isPermitted(item) {
		return false
	}
	if !s.hasPriority {
		s.priority, s.hasPriority = request.Priority, true
	}
	if request.Priority != s.priority {
		return s.hasAccepted
	}
	isLate := !request.Objective.IsZero() && s.now.After(request.Objective)
	if isLate || !recordOfItem(item).isUnderLimit() {
		return false
	}
	s.hasAccepted = true
	return true
}
