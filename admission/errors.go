package admission

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// poolOf returns the pool with the given name, or a *slipwick.Error if there is no view yet or the
// pool has no usable backend server.
func poolOf(view *placement.View, name string) (*placement.Pool, error) {
	if view == nil {
		return nil, &slipwick.Error{
			Kind:       slipwick.KindNotReady,
			Message:    "the router has no configuration yet",
			Remedy:     "try another router",
			Outcome:    slipwick.OutcomeNotRun,
			RetryAfter: time.Second,
		}
	}
	pool := view.Pools[name]
	if pool == nil || len(pool.Usable) == 0 {
		return nil, noBackend(name)
	}
	return pool, nil
}

// noBackend returns the error for a pool without a usable backend server.
func noBackend(pool string) error {
	return &slipwick.Error{
		Kind:       slipwick.KindNoBackend,
		Message:    "pool " + pool + " has no usable backend server",
		Remedy:     "try again later; operators: check the pool with slipwick status",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: 5 * time.Second,
	}
}

// overloaded returns the error for a request that gets no slot because of the load.
func overloaded(retryAfter time.Duration) error {
	return &slipwick.Error{
		Kind:       slipwick.KindOverloaded,
		Message:    "the pool is fully loaded",
		Remedy:     "try again after the time in Retry-After",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: retryAfter,
	}
}

// cancelled returns the error for a request whose caller disconnected while it waited for a slot.
func cancelled(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindCancelled,
		Message: "the caller disconnected before a slot was free",
		Remedy:  "send the request again",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   cause,
	}
}

// refusal converts an owner's refusal to an error for the caller.
func refusal(answer *peerpb.SlotAnswer) error {
	retryAfter := max(time.Duration(answer.GetRetryAfterMs())*time.Millisecond, time.Second)
	if !answer.GetWorkspaceLimit() {
		return overloaded(retryAfter)
	}
	return &slipwick.Error{
		Kind:       slipwick.KindWorkspaceLimit,
		Message:    "the workspace has as many requests in flight as it may",
		Remedy:     "try again after the time in Retry-After, or have max_in_flight raised",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: retryAfter,
	}
}
