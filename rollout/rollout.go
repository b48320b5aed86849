package rollout

import "time"

// Rollout carries out one order at one router. Routers send each other their counts, so that each
// reaches the same verdict and acts on it at once; those that watch the store write it there.
// It is not safe for concurrent use.
type Rollout struct {
	Order      Order
	Plan       Plan
	comparison Comparison
	// verdict is the state that this router has determined: StateRunning until it is final.
	verdict State
}

// New returns the rollout of an order that was given age ago.
func New(order *Order, exposure float64, now time.Time, age time.Duration) *Rollout {
	return &Rollout{
		Order: *order,
		Plan: Plan{
			Start:    now.Add(-age),
			Duration: order.Duration,
			Exposure: exposure,
		},
		verdict: StateRunning,
	}
}

// Observe takes the counts of the old and the new version (target) since the order and returns the
// verdict. A final verdict stays, unless the store has another final state. A version is rolled back
// only if it is found bad before its rollout is completed: after that the old version is gone.
func (r *Rollout) Observe(now time.Time, old, target Counts) State {
	switch {
	case r.Order.State.IsFinal():
		r.verdict = r.Order.State
	case r.verdict.IsFinal():
	case r.comparison.Observe(old, target):
		r.verdict = StateRolledBack
	case r.Plan.IsDue(now):
		r.verdict = StateCompleted
	}
	return r.verdict
}

// Share returns the part of the pool's requests that the new version gets at a time, from 0 to 1.
func (r *Rollout) Share(now time.Time) float64 {
	switch r.verdict {
	case StateRolledBack:
		return 0
	case StateCompleted:
		return 1
	default:
		return r.Plan.Share(now)
	}
}

// PendingState returns the state to write to the store; ok is false if there is nothing to write,
// because the store has that state or a final one.
func (r *Rollout) PendingState() (state State, ok bool) {
	return r.verdict, r.verdict != r.Order.State && !r.Order.State.IsFinal()
}
