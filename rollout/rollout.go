package rollout

import "time"

// Rollout is one order as one router follows it. Routers tell each other their counts, so that
// each comes to the same verdict, and acts on it at once; whoever follows the store writes it.
type Rollout struct {
	Order      Order
	Plan       Plan
	comparison Comparison
	// verdict is this router's, StateRunning before.
	verdict State
}

// Begin makes a rollout of an order that was given so long ago.
func Begin(order *Order, exposure float64, now time.Time, age time.Duration) *Rollout {
	return &Rollout{
		Order: *order,
		Plan: Plan{
			Began:    now.Add(-age),
			Duration: order.Duration,
			Exposure: exposure,
		},
		verdict: StateRunning,
	}
}

// Observe takes the counts of both versions since the order, and gives the verdict. A final
// one, of this router or in the store, stays. Only a version that was found bad before its
// state is completed is rolled back: then the old one is gone.
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

// Share is the part of the pool's requests that the new version gets.
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

// ToWrite gives the state that is to be written to the store; ok is false if it has it.
func (r *Rollout) ToWrite() (state State, ok bool) {
	return r.verdict, r.verdict != r.Order.State && !r.Order.State.IsFinal()
}
