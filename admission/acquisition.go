package admission

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// acquisition is the state of one call of Acquire.
type acquisition struct {
	request  slipwick.AcquireRequest
	pool     *placement.Pool
	deadline time.Time
	// ranking holds the backend servers as indexes of the pool, the best for the chat first.
	// Positions are indexes of ranking.
	ranking []int
	// tried marks the positions that were tried.
	tried    []bool
	attempts int
	// redirected is true if the owner of the first choice named another backend server, which was
	// then asked, at the position redirectedTo.
	redirected   bool
	redirectedTo int
	// answered is true if any router has answered as the owner of a backend server. If none has, this
	// router grants itself a slot.
	answered bool

	// The current attempt. Each attempt has its own request ID.
	id       uint64
	position int
	kind     attemptKind
	owner    string
	timer    *time.Timer

	result chan acquireResult
}

// acquireResult is what Acquire returns.
type acquireResult struct {
	grant slipwick.Grant
	err   error
}

// engine returns the hash of the ID of the backend server that the current attempt asks for.
func (a *acquisition) engine() uint64 {
	return placement.IDHash(a.backend().ID)
}

// backend returns the backend server that the current attempt asks for.
func (a *acquisition) backend() *slipwick.Backend {
	return &a.pool.Backends[a.ranking[a.position]]
}

// positionOf returns the position of the backend server whose ID has the given hash, or -1.
func (a *acquisition) positionOf(engine uint64) int {
	for position, index := range a.ranking {
		if placement.IDHash(a.pool.Backends[index].ID) == engine {
			return position
		}
	}
	return -1
}

// stopTimer stops the timer of the current attempt, if any.
func (a *acquisition) stopTimer() {
	if a.timer != nil {
		a.timer.Stop()
	}
}
