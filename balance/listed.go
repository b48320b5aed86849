package balance

import (
	"time"

	"github.com/slipwick/slipwick"
)

// Listed is a backend server as the list of backend servers has it.
type Listed struct {
	slipwick.Backend
	Pool string
	// Version is that of its software; empty if it tells none.
	Version string
	// Leaving says that it gets nothing new.
	Leaving bool
	// ColdTime is how much longer the backend server said that it is cold, when it
	// entered itself; ColdUntil is when that ends, counted from when the entry was
	// learnt.
	ColdTime  time.Duration
	ColdUntil time.Time
}
