package rollout

import (
	"time"

	"github.com/pkg/errors"
)

// Order is an operator's order to move a pool's traffic to backend servers of a version.
type Order struct {
	// Pool is the name of the pool, which on the platform is that of its service.
	Pool string
	// Version is the version to move the traffic to.
	Version string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// State is the progress recorded in the store; StatePending if none is recorded.
	State State
	// Revision is the store's revision of the order. Writing the state is conditional on it.
	Revision uint64
}

// State is the progress of a rollout. It never leaves a final state.
type State string

// The states of a rollout, as logs have them; the platform has names of its own. The last two are
// final.
const (
	StatePending    State = ""
	StateRunning    State = "running"
	StateCompleted  State = "completed"
	StateRolledBack State = "turned back"
)

// IsFinal reports whether the rollout is over in this state.
func (s State) IsFinal() bool {
	return s == StateCompleted || s == StateRolledBack
}

// Check returns an error that says what is missing if the order can't be carried out.
func (o *Order) Check() error {
	switch {
	case o.Pool == "":
		return errors.New("the rollout order names no service; set the service whose traffic is to move")
	case o.Version == "":
		return errors.New("the rollout order names no version; set the version to move the traffic to")
	case o.Duration <= 0:
		return errors.New("the rollout order has no duration; set the seconds until its deadline")
	}
	return nil
}
