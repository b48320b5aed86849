package rollout

import (
	"time"

	"github.com/pkg/errors"
)

// Order asks to move a pool's traffic to backend servers of a version.
type Order struct {
	Pool    string
	Version string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// State is how far it is, as the store has it; StateOrdered if nobody wrote it.
	State State
	// Revision is that of the object, which a write of the state goes by.
	Revision uint64
}

// State is how far a rollout is. It only ever rises to a final one.
type State string

// The states. The last two are final.
const (
	StateOrdered    State = ""
	StateRunning    State = "running"
	StateCompleted  State = "completed"
	StateRolledBack State = "turned back"
)

// IsFinal tells whether nothing follows the state.
func (s State) IsFinal() bool {
	return s == StateCompleted || s == StateRolledBack
}

// Check tells what is wrong with an order that can't be followed.
func (o *Order) Check() error {
	switch {
	case o.Pool == "":
		return errors.New("the order names no pool; name the service whose traffic is to move")
	case o.Version == "":
		return errors.New("the order names no version; name the one that the traffic is to move to")
	case o.Duration <= 0:
		return errors.New("the order has no time; give the seconds until its deadline")
	}
	return nil
}
