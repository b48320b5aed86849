package admission

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

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
	if pool == nil || len(pool.Backends) == 0 {
		return nil, noBackend(name)
	}
	return pool, nil
}

func noBackend(pool string) error {
	return &slipwick.Error{
		Kind:       slipwick.KindNoBackend,
		Message:    "pool " + pool + " has no usable backend server",
		Remedy:     "try again later; operators: check the pool with slipwick status",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: 5 * time.Second,
	}
}

func overloaded(retryAfter time.Duration) error {
	return &slipwick.Error{
		Kind:       slipwick.KindOverloaded,
		Message:    "the pool is fully loaded",
		Remedy:     "try again after the time in Retry-After",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: retryAfter,
	}
}
