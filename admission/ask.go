package admission

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// ask is one Acquire in progress.
type ask struct {
	request  slipwick.Ask
	pool     *placement.Pool
	deadline time.Time
	// order holds the engines by rank, as indexes of the pool.
	order []int
	// asked marks the positions of order that were asked.
	asked []bool
	tries int
	// hinted says that the owner of the first choice sent it elsewhere.
	hinted bool
	// answered says that some owner answered; without any, the router helps
	// itself.
	answered bool

	// The try in progress.
	id       uint64
	position int
	try      tryKind
	owner    string
	timer    *time.Timer

	result chan askResult
}

type askResult struct {
	grant slipwick.Grant
	err   error
}

// engine is the hash of the engine asked for.
func (a *ask) engine() uint64 {
	return placement.IDHash(a.backend().ID)
}

func (a *ask) backend() *slipwick.Backend {
	return &a.pool.Backends[a.order[a.position]]
}

// positionOf finds an engine by its hash, or -1.
func (a *ask) positionOf(engine uint64) int {
	for position, index := range a.order {
		if placement.IDHash(a.pool.Backends[index].ID) == engine {
			return position
		}
	}
	return -1
}

func (a *ask) stopTimer() {
	if a.timer != nil {
		a.timer.Stop()
	}
}
